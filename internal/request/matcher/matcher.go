// Package matcher finds the route of a request in the configuration in force.
package matcher

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/account/identifier"
)

// A Kind says what may be repeated of a route's requests.
type Kind int

// The kinds. The zero value is the one that promises least to the system: a
// route whose kind is unknown is never repeated.
const (
	NonIdempotent Kind = iota // at most one run for each client attempt
	Idempotent                // may run more than once
	Streaming                 // a series of events; repeated only where the route resumes
)

// A Catalog is one version of the operator's configuration. It is not changed
// once it is in force.
type Catalog struct {
	Accounts *identifier.Directory // nil: anybody may call
	Version  uint64
	Routes   []Route
	Services map[string]Service
}

// A Route says where the requests of one host and path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Attempts int           // runners that one client attempt may be sent to
	Gap      time.Duration // longest pause between events that is still on time; 0 if not a stream
	Goal     time.Duration // to the answer, or the first event, for full worth
	Priority int           // 0 is the most urgent
	Public   bool          // callers need no key
	Resumes  bool          // a stream may go on at another runner after its last event
	Shares   []Share
	Timeout  time.Duration // after which the caller must have an answer
}

// A Share is a service that a part of a route's requests go to.
type Share struct {
	Service string
	Weight  int
}

// A Service is a group of upstreams that run the same requests.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// An Engine says what the runners of a service can hold.
type Engine struct {
	Memory int // MB for models and adapters together
	Models []Model
	Places int // for adapters
}

// A Model is a base model that runners of a service may hold.
type Model struct {
	Name        string
	AdapterSize int // MB of each of its adapters
	Size        int // MB
}

// Find returns a model of the engine by name.
func (e *Engine) Find(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Match returns the route with the longest prefix of the path among those of
// the host.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}

// Service returns the service that a request goes to. The same request always
// gets the same one, so that a retry does not move between versions of a
// service.
func (r *Route) Service(request string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Repeatable reports whether a request that may have run may be sent again
// before any of its answer has reached the caller.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumes
}
