package parser

import "time"

// A Tree is a parsed settings tree.
type Tree struct {
	Root     Root
	Services []Service
	Accounts []Account
}

// A Root is the topmost level: the default values, and the limits of platform
// resources that all services share.
type Root struct {
	Kind    string  `yaml:"kind"`
	Values  Values  `yaml:"values"`
	Weights Weights `yaml:"weights"`
}

// Weights are the limits of the weight store.
type Weights struct {
	Rate     float64 `yaml:"rate"`     // loads per second over all failure domains
	Together int     `yaml:"together"` // concurrent loads that do not slow each other down
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
	Slots   int    `yaml:"slots"`   // adapters that the engine can hold
	Batch   int    `yaml:"batch"`   // requests that it runs concurrently
	Fencing bool   `yaml:"fencing"` // whether it rejects orders with an outdated fencing token
}

// An Account is a client account: its API keys, its adapters and its settings for
// each service.
type Account struct {
	Kind     string  `yaml:"kind"`
	Name     string  `yaml:"name"`
	Keys     []Key   `yaml:"keys"`
	Values   Values  `yaml:"values"`
	Services []Use   `yaml:"services"`
	Adapters []Group `yaml:"adapters"`
}

// A Key is an API key of an account, stored as its SHA-256 digest.
type Key struct {
	Hash string `yaml:"hash"` // hexadecimal
	Desk string `yaml:"desk"` // the desk that uses the key; empty for none
}

// A Use is an account's settings for one service.
type Use struct {
	Name    string   `yaml:"name"`
	Values  Values   `yaml:"values"`
	Domains []Domain `yaml:"domains"`
}

// A Domain is an account's settings for a service in one failure domain.
type Domain struct {
	Name   string `yaml:"name"`
	Values Values `yaml:"values"`
	Desks  []Desk `yaml:"desks"`
}

// A Desk is the innermost level: one source of requests within an account.
type Desk struct {
	Name   string `yaml:"name"`
	Values Values `yaml:"values"`
}

// A Group declares any number of adapters: with a Count they are named name-0 to
// name-(count-1), without one the group is a single adapter.
type Group struct {
	Name     string `yaml:"name"`
	Count    int    `yaml:"count"`
	Versions []int  `yaml:"versions"`
	Service  string `yaml:"service"`
	Base     string `yaml:"base"` // base model
}

// Values are the settings that every level may override; nil means inherited.
type Values struct {
	Batch    *float64       `yaml:"batch"`    // weight of batch efficiency
	Body     *int           `yaml:"body"`     // maximum request body in bytes
	Deadline *time.Duration `yaml:"deadline"` // of requests that do not set one
	Keep     *time.Duration `yaml:"keep"`     // retention of the outcomes of requests with an idempotency key
	Policy   *string        `yaml:"policy"`   // routing policy: cost, hash or least
	Queue    *int           `yaml:"queue"`    // maximum requests that wait for a runner
	Retries  *int           `yaml:"retries"`  // maximum retries after not_run
	Share    *float64       `yaml:"share"`    // maximum fraction of a queue that one account may use
	Stall    *float64       `yaml:"stall"`    // weight of load stalls
	Streams  *int           `yaml:"streams"`  // maximum concurrent requests of an account at one instance
}
