// Package monitor tracks the runners of an instance's failure domain: the owner,
// resident adapters and load of each. Owners publish these in their heartbeats;
// between two heartbeats the instance counts the requests it sent itself.
package monitor

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
)

// A Fleet is an instance's view of the runners. Domain is set before use; it is safe
// for concurrent use.
type Fleet struct {
	Domain string

	mu         sync.Mutex
	numbers    map[string]map[int]string // by owner, then by the runner's number on links: runner name
	runners    map[string]*runner        // that the settings in force here declare
	undeclared map[string]*runner        // published by owners whose settings are ahead of those in force here
}

// A runner is one engine of the failure domain.
type runner struct {
	declared    parser.Upstream
	drained     bool
	free        int
	loadUpdated time.Time
	leaving     bool
	loading     map[string]bool
	owner       string // incarnation; empty if unknown
	ramp        float64
	resident    map[string]bool
	running     int
	sent        int
	service     string
	wait        time.Duration
	waiting     int
}

// A RunnerStatus is the status of a runner.
type RunnerStatus struct {
	Runner   string   `json:"runner" yaml:"runner"`
	Service  string   `json:"service" yaml:"service"`
	Owner    string   `json:"owner" yaml:"owner"` // incarnation
	Resident []string `json:"resident" yaml:"resident"`
	Running  int      `json:"running" yaml:"running"`
	Waiting  int      `json:"waiting" yaml:"waiting"`
	Leaving  bool     `json:"leaving" yaml:"leaving"`
	Drained  bool     `json:"drained" yaml:"drained"`
}

// Candidates returns the runners of a service that can accept a request for the
// adapter, except those in tried and those whose owner alive rejects.
//
// Alive is called without the fleet's lock, because it takes the server's lock.
// Calling it under the fleet's lock deadlocked with a call to the fleet under the
// server's lock; this occurred in the demo.
func (f *Fleet) Candidates(service, adapter string, tried []string, alive func(owner string) bool) []router.Candidate {
	candidates, owners := f.ownedCandidates(service, adapter, tried)
	ownerAlive := make(map[string]bool)
	for _, owner := range owners {
		if _, checked := ownerAlive[owner]; !checked {
			ownerAlive[owner] = alive(owner)
		}
	}
	kept := candidates[:0]
	for i, c := range candidates {
		if ownerAlive[owners[i]] {
			kept = append(kept, c)
		}
	}
	return kept
}

// ownedCandidates returns the runners of a service that have an owner and accept new
// requests, and the owner of each.
func (f *Fleet) ownedCandidates(service, adapter string, tried []string) (candidates []router.Candidate, owners []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range f.runners {
		if r.service != service || r.owner == "" || r.leaving || r.drained || slices.Contains(tried, name) {
			continue
		}
		owners = append(owners, r.owner)
		candidates = append(candidates, router.Candidate{
			Runner: name, Resident: r.resident[adapter], Loading: r.loading[adapter], Free: r.free,
			Batch: r.declared.Batch, Running: r.running, Waiting: r.waiting, Sent: r.sent, Ramp: r.ramp,
			LoadWait: r.wait,
		})
	}
	return candidates, owners
}

// Copies returns how many runners of the failure domain have the adapter resident.
func (f *Fleet) Copies(adapter string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copies := 0
	for _, r := range f.runners {
		if r.resident[adapter] {
			copies++
		}
	}
	return copies
}

// Declare applies the engines of the settings for the failure domain and removes
// all others.
func (f *Fleet) Declare(services []parser.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]*runner)
	for _, s := range services {
		for _, u := range s.Upstreams {
			if s.Type != parser.TypeEngine || u.Domain != f.Domain {
				continue
			}
			r, ok := f.runners[u.Name]
			if !ok {
				r = f.undeclared[u.Name]
				delete(f.undeclared, u.Name)
			}
			if r == nil {
				r = &runner{ramp: 1}
			}
			if r.loadUpdated.IsZero() {
				r.free = u.Slots
			}
			r.declared = u
			r.service = s.Name
			next[u.Name] = r
		}
	}
	f.runners = next
}

// ClearOwner clears the owner of a runner after that instance refused a request because
// it no longer owns the runner. The next owner's heartbeat sets it again.
func (f *Fleet) ClearOwner(name, owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.runners[name]; ok && r.owner == owner {
		r.owner = ""
	}
}

// Drain sets the upstreams that operators drain.
func (f *Fleet) Drain(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range f.runners {
		r.drained = slices.Contains(names, name)
	}
}

// Drained reports whether an operator drains the runner.
func (f *Fleet) Drained(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.runners[name]
	return ok && r.drained
}

// Apply applies an owner's heartbeat to its runners.
func (f *Fleet) Apply(owner string, beat relayer.Beat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.numbers == nil {
		f.numbers = make(map[string]map[int]string)
	}
	if f.numbers[owner] == nil {
		f.numbers[owner] = make(map[int]string)
	}
	for _, s := range beat.States {
		f.numbers[owner][s.Number] = s.Name
		f.applyState(owner, s)
	}
	for _, l := range beat.Loads {
		if name, ok := f.numbers[owner][l.Number]; ok {
			if r := f.published(name); r.owner == owner {
				r.applyLoad(l, now)
			}
		}
	}
}

// Owner returns the incarnation that owns the runner, empty if none is known.
func (f *Fleet) Owner(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.runners[name]; ok {
		return r.owner
	}
	return ""
}

// HasUntried reports whether a runner of the service, except those in tried, is neither
// draining nor drained. It may have no owner yet.
func (f *Fleet) HasUntried(service string, tried []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range f.runners {
		if r.service == service && !r.leaving && !r.drained && !slices.Contains(tried, name) {
			return true
		}
	}
	return false
}

// RecordSent counts a request that this instance sent to a runner, until the owner
// publishes its load again. An adapter that is not resident counts as being loaded
// from now on.
func (f *Fleet) RecordSent(name, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.runners[name]
	if !ok {
		return
	}
	r.sent++
	if !r.resident[adapter] && r.loading != nil {
		r.loading[adapter] = true
	}
}

// Upstream returns the declaration of a runner in the settings.
func (f *Fleet) Upstream(name string) (parser.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.runners[name]
	if !ok {
		return parser.Upstream{}, false
	}
	return r.declared, true
}

// Statuses returns the runners, sorted by name.
func (f *Fleet) Statuses() []RunnerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	statuses := make([]RunnerStatus, 0, len(f.runners))
	for name, r := range f.runners {
		status := RunnerStatus{
			Runner: name, Service: r.service, Owner: r.owner, Resident: []string{},
			Running: r.running, Waiting: r.waiting, Leaving: r.leaving, Drained: r.drained,
		}
		for adapter := range r.resident {
			status.Resident = append(status.Resident, adapter)
		}
		slices.Sort(status.Resident)
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b RunnerStatus) int { return strings.Compare(a.Runner, b.Runner) })
	return statuses
}

// published returns a runner that an owner publishes. An owner publishes only what has changed, so the
// state of a runner is kept for settings that declare it later.
func (f *Fleet) published(name string) *runner {
	if r, ok := f.runners[name]; ok {
		return r
	}
	if f.undeclared == nil {
		f.undeclared = make(map[string]*runner)
	}
	if f.undeclared[name] == nil {
		f.undeclared[name] = &runner{ramp: 1}
	}
	return f.undeclared[name]
}

func (f *Fleet) applyState(owner string, s relayer.State) {
	r := f.published(s.Name)
	if !s.Owned {
		if r.owner == owner {
			r.owner = ""
		}
		if r.owner == "" {
			delete(f.undeclared, s.Name)
		}
		return
	}
	r.owner = owner
	r.leaving = s.Leaving
	r.resident = toSet(s.Resident)
	r.loading = toSet(s.Loading)
}

func (r *runner) applyLoad(l relayer.Load, now time.Time) {
	r.wait = time.Duration(l.Wait) * time.Second / relayer.Hundredths
	r.running = l.Running
	r.waiting = l.Waiting
	r.free = l.Free
	r.ramp = float64(l.Ramp) / relayer.Hundredths
	r.sent = 0
	r.loadUpdated = now
}

func toSet(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, n := range names {
		s[n] = true
	}
	return s
}
