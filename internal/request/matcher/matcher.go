// Package matcher finds the route of a request in the current configuration.
package matcher

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/account/identifier"
)

// A Kind states whether the requests of a route may be retried after they may have run.
type Kind int

// The kinds. The zero value is the most restrictive: a request of an unknown kind is never
// run again.
const (
	NonIdempotent Kind = iota // at most one execution for each attempt of the caller
	Idempotent                // may be executed more than once
	Streaming                 // a stream of events; retried only if the route can resume streams
)

// A Catalog is one version of the operator's configuration. It is immutable once it is in
// force.
type Catalog struct {
	Accounts *identifier.Directory // nil: no authentication
	Version  uint64
	Routes   []Route
	Services map[string]Service
}

// A Route describes where the requests of one host and path prefix go, and their limits.
type Route struct {
	Name          string
	Host          string
	Prefix        string // starts and ends with a slash
	Kind          Kind
	MaxExecutions int           // maximum number of executions for one attempt of the caller
	MaxGap        time.Duration // maximum gap between events that is still on time; 0 if not a stream
	LatencyTarget time.Duration // latency target of the response, or of its first event, for full credit
	Priority      int           // 0 is the most urgent
	Public        bool          // callers need no key
	Resumable     bool          // a stream may be resumed at another runner after its last event
	Shares        []WeightedService
	Timeout       time.Duration // within which the caller must have a response
}

// A WeightedService is the weight of a service in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// A Service is a group of upstreams that serve the same requests.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// An Engine describes what the runners of a service can hold.
type Engine struct {
	Memory       int // MB for models and adapters together
	Models       []Model
	AdapterSlots int
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

// Match returns the route with the longest matching path prefix among those of the host.
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

// Service returns the service that a request is routed to. It is the same for each call
// with the same request, so that a retry does not move between versions of a service.
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

// Repeatable reports whether a request that may have run may be retried before any part of
// its response has reached the caller.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
