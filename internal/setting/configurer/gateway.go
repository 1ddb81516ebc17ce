package configurer

import (
	"fmt"
	"os"
	"time"
)

// A Gateway holds the settings of the gateway command, an instance that forwards
// requests directly to runners and gets its routes from the platform.
type Gateway struct {
	ID        string   `yaml:"id"`        // of the instance; stable across restarts
	Domain    string   `yaml:"domain"`    // failure domain
	Caller    string   `yaml:"caller"`    // host:port for callers
	Ready     string   `yaml:"ready"`     // host:port of the readiness check for the load balancer
	Peer      string   `yaml:"peer"`      // host:port for peers
	Advertise string   `yaml:"advertise"` // host:port under which peers reach this instance; peer if empty
	Metrics   string   `yaml:"metrics"`   // host:port of the metrics endpoint; empty for none
	Outbound  string   `yaml:"outbound"`  // local IP address of connections to runners; empty: chosen by the system
	Platform  string   `yaml:"platform"`  // host:port of the platform's table service
	Domains   []string `yaml:"domains"`   // all failure domains
	Link      Link     `yaml:"link"`      // network link of the instance
	Memory    int      `yaml:"memory"`    // that the process may use, in MB; 0: unknown
	First     bool     `yaml:"first"`     // first start of the whole deployment: no instance holds a lease yet
	Bounds    Bounds   `yaml:"bounds"`
	Contracts []string `yaml:"contracts"` // parts of the platform's rules that are in force, by its names
	Load      Load     `yaml:"load"`
}

// A Link is the bandwidth of a network link in Mbit/s; 0 means unknown.
type Link float64

const (
	// takeoverDelayAt1Mbit is the extra delay before an instance with a link of
	// 1 Mbit/s takes over a lease. The delay is inversely proportional to the
	// bandwidth and at most maxTakeoverDelay. As the leader publishes to all
	// instances of its failure domain, one with a larger link should win: the
	// delays for 20 and 200 Mbit/s are 450 ms apart, and others observe a takeover
	// after some 30 ms.
	takeoverDelayAt1Mbit = 10 * time.Second
	maxTakeoverDelay     = time.Second
)

// TakeoverDelay returns the extra delay before an instance with this link takes over a
// lease, so that one with a larger link can take it over first.
func (l Link) TakeoverDelay() time.Duration {
	if l <= 0 {
		return 0
	}
	return min(maxTakeoverDelay, time.Duration(float64(takeoverDelayAt1Mbit)/float64(l)))
}

// BytesPerSecond returns the bandwidth in bytes a second; 0 if it is unknown.
func (l Link) BytesPerSecond() float64 { return float64(l) * 1e6 / 8 }

// Bounds are the limits of a deployment.
type Bounds struct {
	Grace  time.Duration `yaml:"grace"`  // time from the stop signal to the end of the process
	Over   float64       `yaml:"over"`   // fraction by which an account may exceed its quota
	Part   float64       `yaml:"part"`   // retry budget ratio: retries allowed per request
	Quota  time.Duration `yaml:"quota"`  // window over which account quotas are enforced
	Quiet  time.Duration `yaml:"quiet"`  // minimum time between the orders of two leaders to one runner
	Slack  float64       `yaml:"slack"`  // retries of a service allowed beyond Part, per window over all instances
	Spare  float64       `yaml:"spare"`  // units by which an account may exceed its quota in addition to Over
	Window time.Duration `yaml:"window"` // window of the retry budget
}

// GatewayDefaults are the values of settings that the file omits.
var GatewayDefaults = Gateway{
	Caller: "127.0.0.1:8080",
	Ready:  "127.0.0.1:8081",
	Peer:   "127.0.0.1:8082",
	Bounds: Bounds{
		Grace: 8 * time.Second, Part: 0.2, Quiet: 3 * time.Second, Quota: 8 * time.Second,
		Slack: 50, Window: 10 * time.Second,
	},
	Load: Load{Ahead: Auto, Order: Auto, Pace: Auto, Quota: Auto},
}

// AdvertisedAddress returns the address under which peers reach the instance.
func (g *Gateway) AdvertisedAddress() string {
	if g.Advertise != "" {
		return g.Advertise
	}
	return g.Peer
}

// ReadGateway reads and validates a settings file.
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

// Check validates the settings. It returns the first error, which names the file,
// the field and the fix.
func (g *Gateway) Check(file string) error {
	c := checker{file}
	err := firstError(
		c.names(field[string]{"id", g.ID}, field[string]{"domain", g.Domain}),
		c.addresses(field[string]{"caller", g.Caller}, field[string]{"ready", g.Ready}, field[string]{"peer", g.Peer}, field[string]{"platform", g.Platform}),
		c.optionalAddresses(field[string]{"advertise", g.Advertise}, field[string]{"metrics", g.Metrics}),
		c.optionalIPs(field[string]{"outbound", g.Outbound}),
		c.durations("3s", field[time.Duration]{"bounds.grace", g.Bounds.Grace}, field[time.Duration]{"bounds.quiet", g.Bounds.Quiet},
			field[time.Duration]{"bounds.quota", g.Bounds.Quota}, field[time.Duration]{"bounds.window", g.Bounds.Window}),
		g.Load.check(c),
	)
	if err != nil {
		return err
	}
	if g.Link < 0 {
		return c.fault("link", "the bandwidth is negative; write it in Mbit/s, or omit it")
	}
	if g.Memory < 0 {
		return c.fault("memory", "the limit is negative; write it in MB, or omit it")
	}
	if b := g.Bounds; b.Part < 0 || b.Slack < 0 || b.Over < 0 || b.Spare < 0 {
		return c.fault("bounds", "part, slack, over and spare must not be negative")
	}
	return nil
}
