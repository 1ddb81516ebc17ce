package configurer

import (
	"fmt"
	"net"
	"os"
	"time"
)

// A Gateway is the settings of an instance that sends requests straight to
// runners and takes routes from the platform.
type Gateway struct {
	ID        string   `yaml:"id"`        // of the instance; kept over restarts
	Domain    string   `yaml:"domain"`    // failure domain
	Caller    string   `yaml:"caller"`    // host:port for callers
	Ready     string   `yaml:"ready"`     // host:port where the balancer asks whether to send callers here
	Peer      string   `yaml:"peer"`      // host:port for peers
	Advertise string   `yaml:"advertise"` // host:port by which peers reach this instance; peer if empty
	Metrics   string   `yaml:"metrics"`   // host:port for counters; empty for none
	Platform  string   `yaml:"platform"`  // host:port of the platform's store
	Domains   []string `yaml:"domains"`   // every failure domain
	Bounds    Bounds   `yaml:"bounds"`
}

// Bounds are the limits that a deployment sets.
type Bounds struct {
	Grace  time.Duration `yaml:"grace"`  // from the signal to stop to the end of the process
	Part   float64       `yaml:"part"`   // retries that one request pays for
	Quiet  time.Duration `yaml:"quiet"`  // between the orders of two instances to one runner
	Slack  float64       `yaml:"slack"`  // retries of a service beyond the part, over all instances in a window
	Window time.Duration `yaml:"window"` // in which retries are counted
}

// GatewayDefaults hold for what the file leaves out.
var GatewayDefaults = Gateway{
	Caller: "127.0.0.1:8080",
	Ready:  "127.0.0.1:8081",
	Peer:   "127.0.0.1:8082",
	Bounds: Bounds{
		Grace: 8 * time.Second, Part: 0.2, Quiet: 3 * time.Second,
		Slack: 50, Window: 10 * time.Second,
	},
}

// Reached returns the address by which peers reach the instance.
func (g *Gateway) Reached() string {
	if g.Advertise != "" {
		return g.Advertise
	}
	return g.Peer
}

// ReadGateway reads a file of settings. The result has been checked.
func ReadGateway(file string) (Gateway, error) {
	g := GatewayDefaults
	data, err := os.ReadFile(file)
	if err != nil {
		return g, fmt.Errorf("%s: %w; name the file with --settings", file, err)
	}
	if err := decode(file, data, &g); err != nil {
		return g, err
	}
	return g, g.Check(file)
}

// Check returns the first fault with the file, the field and the fix.
func (g *Gateway) Check(file string) error {
	fault := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %s: %s", file, field, fmt.Sprintf(format, args...))
	}
	for _, f := range []struct{ field, value string }{{"id", g.ID}, {"domain", g.Domain}} {
		if !name.MatchString(f.value) {
			return fault(f.field, "%q is no name; use a-z, 0-9 and -, at most 63", f.value)
		}
	}
	for _, f := range []struct{ field, value string }{
		{"caller", g.Caller}, {"ready", g.Ready}, {"peer", g.Peer}, {"platform", g.Platform},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return fault(f.field, "%q is no address; write host:port", f.value)
		}
	}
	if _, _, err := net.SplitHostPort(g.Advertise); g.Advertise != "" && err != nil {
		return fault("advertise", "%q is no address; write host:port, or leave it out", g.Advertise)
	}
	if _, _, err := net.SplitHostPort(g.Metrics); g.Metrics != "" && err != nil {
		return fault("metrics", "%q is no address; write host:port, or leave it out", g.Metrics)
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.grace", g.Bounds.Grace},
		{"bounds.quiet", g.Bounds.Quiet},
		{"bounds.window", g.Bounds.Window},
	} {
		if f.value <= 0 {
			return fault(f.field, "%s is too short; write a time such as 3s", f.value)
		}
	}
	if g.Bounds.Part < 0 || g.Bounds.Slack < 0 {
		return fault("bounds", "part and slack cannot be negative")
	}
	return nil
}
