package parser

import "time"

// A Tree is a whole set of settings.
type Tree struct {
	Root     Root
	Services []Service
	Accounts []Account
}

// A Root is the topmost level: defaults for everything, and the limits of the
// platform that all share.
type Root struct {
	Kind    string  `yaml:"kind"`
	Values  Values  `yaml:"values"`
	Weights Weights `yaml:"weights"`
}

// Weights are the limits of the weight store.
type Weights struct {
	Rate     float64 `yaml:"rate"`     // loads a second, all domains together
	Together int     `yaml:"together"` // loads at once at full speed
}

// A Service is a group of upstreams that do the same work.
type Service struct {
	Kind      string     `yaml:"kind"`
	Name      string     `yaml:"name"`
	Type      string     `yaml:"type"` // engine or plain
	Values    Values     `yaml:"values"`
	Upstreams []Upstream `yaml:"upstreams"`
}

// The types of service.
const (
	TypeEngine = "engine"
	TypePlain  = "plain"
)

// An Upstream is one back end of a service.
type Upstream struct {
	Name    string `yaml:"name"`
	Domain  string `yaml:"domain"`
	Address string `yaml:"address"` // host:port
	Slots   int    `yaml:"slots"`   // adapters that an engine holds
	Batch   int    `yaml:"batch"`   // requests that it runs at once
	Fencing bool   `yaml:"fencing"` // whether it refuses orders with an old fencing number
}

// An Account is a client account: who may call, what it has, what it needs.
type Account struct {
	Kind     string  `yaml:"kind"`
	Name     string  `yaml:"name"`
	Keys     []Key   `yaml:"keys"`
	Values   Values  `yaml:"values"`
	Services []Use   `yaml:"services"`
	Adapters []Group `yaml:"adapters"`
}

// A Key is an API key of an account, kept as its SHA-256.
type Key struct {
	Hash string `yaml:"hash"` // hexadecimal
	Desk string `yaml:"desk"` // empty for none
}

// A Use is what an account needs of one service.
type Use struct {
	Name    string   `yaml:"name"`
	Values  Values   `yaml:"values"`
	Domains []Domain `yaml:"domains"`
}

// A Domain is what an account needs of a service in one failure domain.
type Domain struct {
	Name   string `yaml:"name"`
	Values Values `yaml:"values"`
	Desks  []Desk `yaml:"desks"`
}

// A Desk is the last level: one place that calls.
type Desk struct {
	Name   string `yaml:"name"`
	Values Values `yaml:"values"`
}

// A Group declares adapters by the thousand: with a Count they are named
// name-0 to name-(count-1), without one the group is a single adapter.
type Group struct {
	Name     string `yaml:"name"`
	Count    int    `yaml:"count"`
	Versions []int  `yaml:"versions"`
	Service  string `yaml:"service"`
	Base     string `yaml:"base"` // base model
}

// Values are what every level may set; nil is inherited.
type Values struct {
	Batch    *float64       `yaml:"batch"`    // weight of batch efficiency
	Body     *int           `yaml:"body"`     // largest request body in bytes
	Deadline *time.Duration `yaml:"deadline"` // for requests that name none
	Keep     *time.Duration `yaml:"keep"`     // how long outcomes of keyed requests are kept
	Policy   *string        `yaml:"policy"`   // choice of runner: cost, hash or least
	Queue    *int           `yaml:"queue"`    // requests that may wait for a runner
	Retries  *int           `yaml:"retries"`  // further tries after not_run
	Share    *float64       `yaml:"share"`    // part of a queue that one account may hold
	Stall    *float64       `yaml:"stall"`    // weight of load stalls
	Streams  *int           `yaml:"streams"`  // requests of an account at one instance at once
}
