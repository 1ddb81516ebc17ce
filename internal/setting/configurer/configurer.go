// Package configurer reads the settings of one daemon: its addresses, its
// failure domain, its keys and where the platform is.
package configurer

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/sardinetiller/sardinetiller/internal/setting/decoder"
)

// A Daemon is the settings of one daemon. Each field may be overridden by an
// environment variable, SARDINETILLER_ and the field's name in capitals, and by
// a flag of serve.
type Daemon struct {
	ID        string        `yaml:"id"`        // of the instance; kept over restarts
	Domain    string        `yaml:"domain"`    // failure domain
	Caller    string        `yaml:"caller"`    // host:port for callers
	Peer      string        `yaml:"peer"`      // host:port for peers
	Advertise string        `yaml:"advertise"` // host:port by which peers reach this instance; peer if empty
	Operator  string        `yaml:"operator"`  // host:port for operators
	Platform  string        `yaml:"platform"`  // host:port of the platform
	Seeds     []string      `yaml:"seeds"`     // host:port of instances to ask for settings when the platform is away
	Secret    string        `yaml:"secret"`    // file with the secret that instances share
	Token     string        `yaml:"token"`     // file with the operators' key
	TLS       TLS           `yaml:"tls"`       // for links between instances
	Lease     time.Duration `yaml:"lease"`     // time of a lease on the roster
	Beat      time.Duration `yaml:"beat"`      // between heartbeats
	Poll      time.Duration `yaml:"poll"`      // between looks at the table and the list
	Notice    time.Duration `yaml:"notice"`    // for the balancer to see that the instance leaves
	Drain     time.Duration `yaml:"drain"`     // for requests in flight after that
	Format    string        `yaml:"format"`    // of the log: logfmt or json
	Level     string        `yaml:"level"`     // of the log: debug, info, warn or error
}

// TLS names the files of the mutual TLS between instances. All empty: none.
type TLS struct {
	Cert string `yaml:"cert"` // certificate of this instance
	Key  string `yaml:"key"`  // its private key
	CA   string `yaml:"ca"`   // certificate that signs all instances'
}

// Defaults hold for what the file leaves out.
var Defaults = Daemon{
	Caller:   "127.0.0.1:8080",
	Peer:     "127.0.0.1:8081",
	Operator: "127.0.0.1:8082",
	Lease:    10 * time.Second,
	Beat:     time.Second,
	Poll:     2 * time.Second,
	Notice:   2 * time.Second,
	Drain:    time.Minute,
	Format:   "logfmt",
	Level:    "info",
}

// name is what instances and domains may be called.
var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Read reads a file of settings and applies the environment and the overrides
// of the command line, given by field name. The result has been checked.
func Read(file string, environ []string, overrides map[string]string) (Daemon, error) {
	d := Defaults
	data, err := os.ReadFile(file)
	if err != nil {
		return d, fmt.Errorf("%s: %w; name the file with --settings", file, err)
	}
	if err := decode(file, data, &d); err != nil {
		return d, err
	}
	if err := override(&d, fromEnvironment(environ)); err != nil {
		return d, err
	}
	if err := override(&d, overrides); err != nil {
		return d, err
	}
	return d, d.Check(file)
}

// Check returns the first fault with the file, the field and the fix.
func (d *Daemon) Check(file string) error {
	c := checker{file}
	err := first(
		c.names(field[string]{"id", d.ID}, field[string]{"domain", d.Domain}),
		c.addresses(field[string]{"caller", d.Caller}, field[string]{"peer", d.Peer}, field[string]{"operator", d.Operator}, field[string]{"platform", d.Platform}),
		c.optional(field[string]{"advertise", d.Advertise}),
		c.seeds(d.Seeds),
		c.times("10s", field[time.Duration]{"lease", d.Lease}, field[time.Duration]{"beat", d.Beat}, field[time.Duration]{"poll", d.Poll}),
	)
	if err != nil {
		return err
	}
	if d.Lease < 4*d.Poll {
		return c.fault("lease", "%s is less than four times poll (%s); a lease must outlive lost renewals", d.Lease, d.Poll)
	}
	if d.Format != "logfmt" && d.Format != "json" {
		return c.fault("format", "%q is unknown; write logfmt or json", d.Format)
	}
	if t := d.TLS; (t.Cert == "") != (t.Key == "") || (t.Cert == "") != (t.CA == "") {
		return c.fault("tls", "cert, key and ca go together; set all or none")
	}
	if d.Secret == "" && d.TLS.Cert == "" {
		return c.fault("secret", "no secret and no tls; name a file with the secret that all instances share, or set tls")
	}
	return nil
}

// Fields returns the names of the fields that flags and the environment may
// override, in order.
func Fields() []string {
	var names []string
	t := reflect.TypeFor[Daemon]()
	for i := range t.NumField() {
		if kind := t.Field(i).Type.Kind(); kind == reflect.String || kind == reflect.Int64 {
			names = append(names, t.Field(i).Tag.Get("yaml"))
		}
	}
	return names
}

func decode(file string, data []byte, d any) error {
	err := decoder.Strict(data, d)
	if err == nil {
		return nil
	}
	var known yaml.Error
	if !errors.As(err, &known) || known.GetToken() == nil {
		return fmt.Errorf("%s%s: %w; write times such as 10s; see docs/SETTINGS.md for the fields", file, lineOf(data, err), err)
	}
	token := known.GetToken()
	return fmt.Errorf("%s:%d: %s: %s; see docs/SETTINGS.md for the fields", file, token.Position.Line, token.Value, known.GetMessage())
}

// quoted is the value that an error complains of.
var quoted = regexp.MustCompile(`"([^"]+)"`)

// lineOf returns a colon and the line of the value that an error quotes, or
// nothing. The library names no line for a value that is not a time.
func lineOf(data []byte, err error) string {
	value := quoted.FindStringSubmatch(err.Error())
	if value == nil {
		return ""
	}
	for n, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, value[1]) {
			return fmt.Sprintf(":%d", n+1)
		}
	}
	return ""
}

// fromEnvironment returns the overrides among environment variables. Others
// with the same prefix are left alone: an orchestrator may set some of its own.
func fromEnvironment(environ []string) map[string]string {
	const prefix = "SARDINETILLER_"
	overrides := make(map[string]string)
	for _, pair := range environ {
		key, value, _ := strings.Cut(pair, "=")
		field, ok := strings.CutPrefix(key, prefix)
		if field = strings.ToLower(field); ok && slices.Contains(Fields(), field) {
			overrides[field] = value
		}
	}
	return overrides
}

func override(d *Daemon, overrides map[string]string) error {
	v := reflect.ValueOf(d).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i).Tag.Get("yaml")
		text, ok := overrides[field]
		if !ok {
			continue
		}
		delete(overrides, field)
		switch v.Field(i).Interface().(type) {
		case string:
			v.Field(i).SetString(text)
		case time.Duration:
			duration, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%s: %q is no time; write one such as 10s", field, text)
			}
			v.Field(i).SetInt(int64(duration))
		}
	}
	for field := range overrides {
		return fmt.Errorf("%s: no such setting; the settings are %s", field, strings.Join(Fields(), ", "))
	}
	return nil
}
