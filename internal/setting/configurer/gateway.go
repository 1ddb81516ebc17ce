package configurer

import (
	"fmt"
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
	Link      Link     `yaml:"link"`      // of the instance to the network
	First     bool     `yaml:"first"`     // the whole deployment starts for the first time: nobody holds anything yet
	Bounds    Bounds   `yaml:"bounds"`
}

// A Link is how much a link carries, in Mbit/s; 0 if unknown.
type Link float64

const (
	// linkLate is how much later than one without bounds an instance with a link of
	// 1 Mbit/s takes a tenure over, and mostLate bounds it. Whoever holds a tenure tells
	// all instances of its domain: of 20 and 200 Mbit/s the larger one comes first, as
	// others take some 30 ms to hear of it.
	linkLate = 10 * time.Second
	mostLate = time.Second
)

// Late returns how much later than others an instance takes a tenure over that a
// better placed one could hold.
func (l Link) Late() time.Duration {
	if l <= 0 {
		return 0
	}
	return min(mostLate, time.Duration(float64(linkLate)/float64(l)))
}

// Bounds are the limits that a deployment sets.
type Bounds struct {
	Grace  time.Duration `yaml:"grace"`  // from the signal to stop to the end of the process
	Over   float64       `yaml:"over"`   // part by which the quota of an account may be exceeded
	Part   float64       `yaml:"part"`   // retries that one request pays for
	Quota  time.Duration `yaml:"quota"`  // over which the quotas of accounts are judged
	Quiet  time.Duration `yaml:"quiet"`  // between the orders of two instances to one runner
	Slack  float64       `yaml:"slack"`  // retries of a service beyond the part, over all instances in a window
	Spare  float64       `yaml:"spare"`  // units by which the quota of an account may be exceeded beyond that
	Window time.Duration `yaml:"window"` // in which retries are counted
}

// GatewayDefaults hold for what the file leaves out.
var GatewayDefaults = Gateway{
	Caller: "127.0.0.1:8080",
	Ready:  "127.0.0.1:8081",
	Peer:   "127.0.0.1:8082",
	Bounds: Bounds{
		Grace: 8 * time.Second, Part: 0.2, Quiet: 3 * time.Second, Quota: 8 * time.Second,
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
	c := checker{file}
	err := first(
		c.names(field[string]{"id", g.ID}, field[string]{"domain", g.Domain}),
		c.addresses(field[string]{"caller", g.Caller}, field[string]{"ready", g.Ready}, field[string]{"peer", g.Peer}, field[string]{"platform", g.Platform}),
		c.optional(field[string]{"advertise", g.Advertise}, field[string]{"metrics", g.Metrics}),
		c.times("3s", field[time.Duration]{"bounds.grace", g.Bounds.Grace}, field[time.Duration]{"bounds.quiet", g.Bounds.Quiet},
			field[time.Duration]{"bounds.quota", g.Bounds.Quota}, field[time.Duration]{"bounds.window", g.Bounds.Window}),
	)
	if err != nil {
		return err
	}
	if g.Link < 0 {
		return c.fault("link", "give the Mbit/s of the link, or leave it out")
	}
	if b := g.Bounds; b.Part < 0 || b.Slack < 0 || b.Over < 0 || b.Spare < 0 {
		return c.fault("bounds", "part, slack, over and spare cannot be negative")
	}
	return nil
}
