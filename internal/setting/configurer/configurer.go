// Package configurer reads and validates the settings file of one process, such
// as its addresses, its failure domain, its secrets and the platform's address.
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

// A Daemon holds the settings of the serve command. Each field of type string or
// time.Duration may be overridden by an environment variable, SARDINETILLER_
// followed by the field's name in capitals, and by a flag.
type Daemon struct {
	ID        string        `yaml:"id"`        // of the instance; stable across restarts
	Domain    string        `yaml:"domain"`    // failure domain
	Caller    string        `yaml:"caller"`    // host:port for callers
	Peer      string        `yaml:"peer"`      // host:port for peers
	Advertise string        `yaml:"advertise"` // host:port under which peers reach this instance; peer if empty
	Operator  string        `yaml:"operator"`  // host:port for operators
	Platform  string        `yaml:"platform"`  // host:port of the platform
	Seeds     []string      `yaml:"seeds"`     // host:port of instances to fetch settings from when the platform is unavailable
	Secret    string        `yaml:"secret"`    // file with the shared secret of the instances
	Token     string        `yaml:"token"`     // file with the operators' bearer token
	TLS       TLS           `yaml:"tls"`       // for connections between instances
	Lease     time.Duration `yaml:"lease"`     // duration of a membership lease on the roster
	Beat      time.Duration `yaml:"beat"`      // heartbeat interval
	Poll      time.Duration `yaml:"poll"`      // poll interval of the table service and the instance list
	Notice    time.Duration `yaml:"notice"`    // delay before draining, for the load balancer to notice that the instance is not ready
	Drain     time.Duration `yaml:"drain"`     // time for in-flight requests after Notice
	Format    string        `yaml:"format"`    // log format: logfmt or json
	Level     string        `yaml:"level"`     // log level: debug, info, warn or error
}

// TLS names the files for mutual TLS between instances. If all are empty, TLS is
// not used.
type TLS struct {
	Cert string `yaml:"cert"` // certificate of this instance
	Key  string `yaml:"key"`  // private key of the certificate
	CA   string `yaml:"ca"`   // CA certificate that issued the certificates of all instances
}

// Defaults are the values of settings that the file omits.
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

// namePattern matches a valid name of an instance or failure domain.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Read reads a settings file and applies overrides, first those in the
// environment and then those of the command line, given by field name. It
// validates the result.
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

// Check validates the settings. It returns the first error, which names the file,
// the field and the fix.
func (d *Daemon) Check(file string) error {
	c := checker{file}
	err := firstError(
		c.names(field[string]{"id", d.ID}, field[string]{"domain", d.Domain}),
		c.addresses(field[string]{"caller", d.Caller}, field[string]{"peer", d.Peer}, field[string]{"operator", d.Operator}, field[string]{"platform", d.Platform}),
		c.optionalAddresses(field[string]{"advertise", d.Advertise}),
		c.seeds(d.Seeds),
		c.durations("10s", field[time.Duration]{"lease", d.Lease}, field[time.Duration]{"beat", d.Beat}, field[time.Duration]{"poll", d.Poll}),
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
		return c.fault("tls", "cert, key and ca must be set together; set all or none")
	}
	if d.Secret == "" && d.TLS.Cert == "" {
		return c.fault("secret", "no secret and no tls; name a file with the secret that all instances share, or set tls")
	}
	return nil
}

// Fields returns the names of the fields that flags and environment variables
// may override, in order of declaration.
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
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		return fmt.Errorf("%s%s: %w; write times such as 10s; see docs/SETTINGS.md for the fields", file, lineOf(data, err), err)
	}
	token := yamlErr.GetToken()
	return fmt.Errorf("%s:%d: %s: %s; see docs/SETTINGS.md for the fields", file, token.Position.Line, token.Value, yamlErr.GetMessage())
}

// quotedValue matches the invalid value that an error message quotes.
var quotedValue = regexp.MustCompile(`"([^"]+)"`)

// lineOf returns a colon and the line number of the value that an error quotes,
// or "" if it is not found. The YAML library gives no line number for an invalid
// duration.
func lineOf(data []byte, err error) string {
	value := quotedValue.FindStringSubmatch(err.Error())
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

// fromEnvironment returns the overrides in the environment. Other variables with
// the prefix are ignored, as an orchestrator may set its own.
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
				return fmt.Errorf("%s: %q is not a valid duration; write one such as 10s", field, text)
			}
			v.Field(i).SetInt(int64(duration))
		}
	}
	for field := range overrides {
		return fmt.Errorf("%s: no such setting; the settings are %s", field, strings.Join(Fields(), ", "))
	}
	return nil
}
