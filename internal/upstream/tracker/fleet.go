package tracker

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Fleet is every runner that one instance knows. Its fields are set before
// use; it is safe for concurrent use.
type Fleet struct {
	Domain string // of this instance

	mu      sync.Mutex
	gone    map[string]uint64 // runners that are gone, and their last revision
	runners map[string]*state
	paces   map[string]*pace         // by service
	lines   map[string]time.Duration // by failure domain: until a load begins there
	idle    map[string]bool          // failure domains whose runners get no orders now
}

// A state is a runner with what was seen of it.
type state struct {
	Runner
	failing   float64 // part of recent requests that failed, decaying with time
	failed    time.Time
	held      map[placer.Copy]time.Time // from when on a copy can be used; zero: now
	others    Load                      // of other instances, as last told
	own       Load
	suspended time.Time // until when it gets nothing new
	streak    int       // connections that failed in a row
	until     time.Time // when it has read what its holder knows of, as last told
	told      bool      // whether held comes from the instance that gives it orders
}

const (
	// failStep is the weight of one outcome in the part that fails.
	failStep = 0.2
	// failHalf is the time in which the memory of failures fades by half, so
	// that a runner which was shunned is tried again.
	failHalf = 3 * time.Second
	// firstRest and lastRest bound how long a runner that takes no connection
	// is left alone. It doubles from one to the other.
	firstRest = 500 * time.Millisecond
	lastRest  = 4 * time.Second
)

// Set takes in the description of a runner. An older one changes nothing.
func (f *Fleet) Set(r Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s, ok := f.runners[r.ID]
	if ok && r.Revision < s.Revision || !ok && r.Revision <= f.gone[r.ID] {
		return
	}
	if !ok {
		s = &state{held: make(map[placer.Copy]time.Time)}
		f.runners[r.ID] = s
	}
	r.Leaving = r.Leaving || s.Leaving // a runner that leaves does not come back under its ID
	s.Runner = r
	if !s.told {
		s.assume()
	}
}

// assume takes what a runner told of itself, until the instance that gives it
// orders tells more.
func (s *state) assume() {
	s.held = make(map[placer.Copy]time.Time)
	for _, m := range s.Models {
		s.held[placer.Copy{Model: m}] = time.Time{}
	}
	for _, c := range s.Adapters {
		s.held[c] = time.Time{}
	}
}

// Remove takes a runner out. Its descriptions up to a revision do not bring it
// back: an instance that hears late would else tell of it again.
func (f *Fleet) Remove(id string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s, ok := f.runners[id]; ok {
		revision = max(revision, s.Revision)
	}
	f.gone[id] = max(f.gone[id], revision)
	delete(f.runners, id)
}

// Gone returns the revision up to which a runner is known to be gone.
func (f *Fleet) Gone(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[id]
}

// Get returns a runner's description.
func (f *Fleet) Get(id string) (Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return Runner{}, false
	}
	return s.Runner, true
}

// All returns every runner, in order of ID.
func (f *Fleet) All() []Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	runners := make([]Runner, 0, len(f.runners))
	for _, s := range f.runners {
		runners = append(runners, s.Runner)
	}
	slices.SortFunc(runners, func(a, b Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return runners
}

// Held takes in what a runner holds, as the instance that gives it orders says.
func (f *Fleet) Held(id string, held map[placer.Copy]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		s.held = maps.Clone(held) // single copies change here until the next whole
		s.told = true
	}
}

// HeldOne takes in how one copy stands at a runner.
func (f *Fleet) HeldOne(id string, c placer.Copy, at time.Time, there bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	switch {
	case !ok:
	case there:
		s.held[c] = at
	default:
		delete(s.held, c)
	}
}

// Missing takes in that a runner has refused a request for want of a copy.
func (f *Fleet) Missing(id string, c placer.Copy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		delete(s.held, c)
	}
}

// Ready returns from when on a runner can run requests for a copy; ok is false
// if the copy is neither there nor on its way.
func (f *Fleet) Ready(id string, c placer.Copy) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.runners[id]
	if !known {
		return time.Time{}, false
	}
	at, ok = s.held[c]
	return at, ok
}

// OthersIn takes in the work that other instances have on the runners of a
// failure domain. Runners without an entry have none.
func (f *Fleet) OthersIn(domain string, loads map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.runners {
		if s.Domain == domain {
			s.others = loads[id]
		}
	}
}

// LoadsIn returns the work of this instance on each runner of a failure domain
// that has some.
func (f *Fleet) LoadsIn(domain string) map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range f.runners {
		if s.Domain == domain && s.own != (Load{}) {
			loads[id] = s.own
		}
	}
	return loads
}

// Staffed takes in whether anybody gives orders to the runners of a failure
// domain now. Where nobody does, an adapter that is not there does not come.
func (f *Fleet) Staffed(domain string, staffed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(map[string]bool)
	}
	f.idle[domain] = !staffed
}

// Line takes in how long it takes until the load of a further adapter begins in
// a failure domain.
func (f *Fleet) Line(domain string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lines == nil {
		f.lines = make(map[string]time.Duration)
	}
	f.lines[domain] = d
}

// A Demand is what the choice of a runner depends on.
type Demand struct {
	Asked   string          // runner where the copy was asked for; empty for none
	Copy    placer.Copy     // zero for a plain service
	Crowd   time.Duration   // of prompts to be read at once that holds up the runs of a runner; 0 for no bound
	Full    map[string]bool // runners without room for it
	Load    time.Duration
	Service string
	Tokens  int             // of the prompt
	Tried   map[string]bool // runners that are out of the question
}

// Candidates returns the runners that may take a request, for the router.
func (f *Fleet) Candidates(d Demand, now time.Time) []router.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []router.Candidate
	for id, s := range f.runners {
		if s.Service != d.Service || s.Leaving || d.Tried[id] || now.Before(s.suspended) {
			continue
		}
		c := router.Candidate{
			Runner: id, Away: s.Domain != f.Domain, Batch: s.Slots, Running: s.own.Running + s.others.Running,
			Backlog: f.backlog(s, d), Failing: s.failingAt(now), Resident: true,
		}
		if d.Full[id] {
			c.Backlog += fullCost
		}
		c.Crowded = d.Crowd > 0 && c.Backlog+time.Duration(float64(d.Tokens)*f.pace(d.Service).read*float64(time.Second)) > d.Crowd
		if d.Copy != (placer.Copy{}) {
			c.Resident, c.Loading, c.Ready = s.ready(d, f.lines[s.Domain], now)
		}
		c.Loading = c.Loading || !c.Resident && id == d.Asked
		if !c.Resident && !c.Loading && f.idle[s.Domain] {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// ready returns how a copy stands at a runner and how long until it can be used.
func (s *state) ready(d Demand, line time.Duration, now time.Time) (resident, loading bool, wait time.Duration) {
	at, ok := s.held[d.Copy]
	switch {
	case !ok && s.otherVersion(d.Copy):
		return false, false, line + d.Load + replaceTime
	case !ok && s.ID == d.Asked:
		return false, false, d.Load // it stands in line already
	case !ok:
		return false, false, line + d.Load
	case now.Before(at):
		return false, true, at.Sub(now)
	default:
		return true, false, 0
	}
}

// replaceTime is what another version of the adapter adds to the time until one
// can be used: it has to be left alone for a while before it makes way.
const replaceTime = time.Second

func (s *state) otherVersion(c placer.Copy) bool {
	for held := range s.held {
		if held.Model == c.Model && held.Adapter == c.Adapter && held.Version != c.Version {
			return true
		}
	}
	return false
}

// fullCost is what is added to the backlog of a runner that has refused a
// request: more than any other runner costs that has room, so that it is asked
// again only if none has.
const fullCost = 10 * time.Second

// backlog estimates how long the runner needs for what is before a request: the
// prompts that it has to read first, and the runs that must end if all places
// are taken.
func (f *Fleet) backlog(s *state, d Demand) time.Duration {
	p := f.pace(d.Service)
	load := s.own.Plus(s.others)
	wait := max(float64(load.Unread)*p.read, time.Until(s.until).Seconds()) + s.full(p)
	if d.Copy == (placer.Copy{}) && s.Slots > 0 {
		// Requests to a plain service share its processor before they queue.
		wait += float64(load.Running) / float64(s.Slots) * p.run
	}
	return time.Duration(wait * float64(time.Second))
}

// full returns how many seconds pass until a place is free.
func (s *state) full(p *pace) float64 {
	running := s.own.Running + s.others.Running
	if s.Slots == 0 || running < s.Slots {
		return 0
	}
	return float64(running-s.Slots+1) / float64(s.Slots) * p.run
}

// Places returns how long it takes until a runner has a place free.
func (f *Fleet) Places(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return 0
	}
	return time.Duration(s.full(f.pace(s.Service)) * float64(time.Second))
}

// Paces returns the paces of a service as learned: the seconds to a first token
// of a short prompt on a free runner, and for each token of a prompt.
func (f *Fleet) Paces(service string) (base, read float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pace(service)
	return p.base, p.read
}

// Reading takes in how long a runner still reads, as its holder said.
func (f *Fleet) Reading(id string, backlog time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		s.until = time.Now().Add(backlog)
	}
}

// Base returns the time to a first token of a short prompt on a free runner.
func (f *Fleet) Base(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).base * float64(time.Second))
}

// Read returns the time that a prompt takes to be read with nothing before it.
func (f *Fleet) Read(service string, tokens int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).read * float64(tokens) * float64(time.Second))
}

func (s *state) failingAt(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-now.Sub(s.failed).Seconds()/failHalf.Seconds())
}

func (f *Fleet) init() {
	if f.runners == nil {
		f.gone = make(map[string]uint64)
		f.runners = make(map[string]*state)
		f.paces = make(map[string]*pace)
	}
}

func (f *Fleet) pace(service string) *pace {
	f.init()
	p, ok := f.paces[service]
	if !ok {
		p = newPace()
		f.paces[service] = p
	}
	return p
}
