package tracker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

// A Fleet is every runner that one instance knows. Its fields are set before
// use; it is safe for concurrent use.
type Fleet struct {
	Domain string // of this instance

	mu       sync.Mutex
	complete map[string]uint64 // by failure domain: the version of the store as of which all its runners are known
	gone     map[string]uint64 // runners that are gone, and their last revision
	named    map[string]string // the incarnation that goes by a name
	runners  map[string]*state
	paces    map[string]*pace         // by service
	lines    map[string]time.Duration // by failure domain: until a load begins there
	idle     map[string]bool          // failure domains whose runners get no orders now
	times    map[string]Times         // by failure domain, as last told
}

// Times are how long adapters take to come.
type Times struct {
	Load   time.Duration // from the weight store
	Return time.Duration // from the memory of a runner that held the adapter before
}

// A state is a runner with what was seen of it.
type state struct {
	Runner
	failing   float64 // part of recent requests that failed, decaying with time
	failed    time.Time
	held      map[placer.Copy]time.Time  // from when on a copy can be used; zero: now
	kept      warmer.Recent[placer.Copy] // given up since; the runner fetches them again in a tenth of the time
	others    Load                       // of other instances, as last told
	reached   time.Time                  // when it last answered this instance
	own       Load
	suspended time.Time     // until when it gets nothing new
	streak    int           // connections that failed in a row
	until     time.Time     // when it has read what its holder knows of, as last told
	room      time.Duration // that a copy which it does not hold waits for a place, as last told
	told      bool          // whether held comes from the instance that gives it orders
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

// Set takes in the description of a runner. An older one changes nothing, nor does that of
// an unknown runner from before all runners were known: it is gone. An incarnation replaces
// the one before it under its name, which is returned; ok is false if there was none.
func (f *Fleet) Set(r Runner) (replaced Runner, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s, known := f.runners[r.ID]
	if known && r.Revision < s.Revision || !known && r.Revision <= max(f.gone[r.ID], f.complete[r.Domain]) {
		return Runner{}, false
	}
	if other, is := f.runners[f.named[r.Name()]]; is && other.ID != r.ID {
		if r.Revision < other.Revision {
			f.remove(r.ID, r.Revision) // told late: it has started again since
			return Runner{}, false
		}
		f.remove(other.ID, other.Revision)
		replaced, ok = other.Runner, true
	}
	f.named[r.Name()] = r.ID
	if !known {
		s = &state{held: make(map[placer.Copy]time.Time), kept: warmer.Recent[placer.Copy]{Limit: warmer.Kept}}
		f.runners[r.ID] = s
	}
	r.Leaving = r.Leaving || s.Leaving // an incarnation that leaves does not come back
	s.Runner = r
	if !s.told {
		s.assume()
	}
	return replaced, ok
}

// CompleteTo takes in that all runners of a failure domain are known as of a version of the
// store.
func (f *Fleet) CompleteTo(domain string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.complete[domain] = max(f.complete[domain], version)
}

// Named returns the incarnation that goes by a name now. Without one it returns
// the name itself: that of a runner which does not say when it started.
func (f *Fleet) Named(name string) (id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.named[name]; ok {
		return id
	}
	return name
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
	f.remove(id, revision)
}

func (f *Fleet) remove(id string, revision uint64) {
	if s, ok := f.runners[id]; ok {
		revision = max(revision, s.Revision)
		if f.named[s.Name()] == id {
			delete(f.named, s.Name())
		}
	}
	f.gone[id] = max(f.gone[id], revision)
	delete(f.runners, id)
}

// Severed reports whether this instance reaches most of the runners of a failure domain
// no more: those that took its last connection and answered lately are fewer than
// those that did not.
func (f *Fleet) Severed(domain string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	reached, dark := 0, 0
	for _, s := range f.runners {
		switch {
		case s.Domain != domain:
		case s.streak > 0:
			dark++
		case now.Sub(s.reached) < reachedFor:
			reached++
		}
	}
	return dark > reached
}

// reachedFor is how long an answer shows that a runner is reached.
const reachedFor = 3 * time.Second

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
		for c := range s.held {
			if _, still := held[c]; !still {
				s.kept.Add(c)
			}
		}
		s.held = make(map[placer.Copy]time.Time, len(held)) // single copies change here until the next whole
		maps.Copy(s.held, held)
		s.told = true
	}
}

// Standing returns how the copies of a runner stand, and how long one that it does
// not hold waits there for a place.
func (f *Fleet) Standing(id string) (held map[placer.Copy]time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return nil, 0
	}
	return maps.Clone(s.held), s.room
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
		s.kept.Add(c)
	}
}

// Missing takes in that a runner has refused a request for want of a copy.
func (f *Fleet) Missing(id string, c placer.Copy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		delete(s.held, c)
		s.kept.Drop(c)
	}
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

// Rooms takes in how long a copy that runners do not hold waits there for a place.
func (f *Fleet) Rooms(waits map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, wait := range waits {
		if s, ok := f.runners[id]; ok {
			s.room = wait
		}
	}
}

// Tight reports whether copies wait for a place at a runner.
func (f *Fleet) Tight(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	return ok && s.room > 0
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

// LoadTimes takes in how long adapters take to come to the runners of a failure domain, as
// whoever orders them there has learned. An instance that orders nothing learns nothing:
// when loads took twice as long as on a calm day, 78 of 81 instances went on to take
// them for as quick as ever, and chose runners that had to load over those that held.
// With holders that make room when they are cut off, told in the same trial, 0.71 of
// what callers asked for on a heavy day was served in place of 0.62.
func (f *Fleet) LoadTimes(domain string, t Times) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.times == nil {
		f.times = make(map[string]Times)
	}
	f.times[domain] = t
}

// timesOf returns how long adapters take to come to the runners of a failure domain.
func (f *Fleet) timesOf(domain string, d Demand) Times {
	if t, told := f.times[domain]; told && t.Load > 0 {
		return t
	}
	return Times{Load: d.Load, Return: d.Return}
}

func (f *Fleet) init() {
	if f.runners == nil {
		f.complete = make(map[string]uint64)
		f.gone = make(map[string]uint64)
		f.named = make(map[string]string)
		f.runners = make(map[string]*state)
		f.paces = make(map[string]*pace)
	}
}
