package tracker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
)

// A Fleet is the set of runners known to one instance. Its exported fields are set
// before use; it is safe for concurrent use.
type Fleet struct {
	Domain   string            // failure domain of this instance
	Detector detector.Detector // of partitions from the runners

	mu            sync.Mutex
	completeTo    map[string]uint64        // by failure domain: the store version up to which all its runners are known
	removed       map[string]uint64        // removed runners by ID, with their last revision
	idByName      map[string]string        // ID of the current incarnation by name
	runners       map[string]*runnerState  // by ID
	latencies     map[string]*latencyModel // by service
	loadQueueWait map[string]LoadQueueWait // by failure domain
	leaderless    map[string]bool          // failure domains without a leader to order loads
	loadTimes     map[string]LoadTimes     // by failure domain, as last reported
	statements    map[string]*statements   // of runners, by ID
	rejections    map[string]RateLimit     // that its runners can make, by service
	paced         bool                     // some runner has stated a pace
	servicePaces  map[string]servicePace   // by service

	goneVersions map[serviceVersion]time.Time // when a runner of the version was last removed
}

// LoadTimes are the load times of adapters.
type LoadTimes struct {
	Load   time.Duration // from the weight store
	Reload time.Duration // from the host memory of a runner that held the adapter before
}

// A runnerState is a runner with the observations of it.
type runnerState struct {
	Runner
	stated          *statements                   // outlive this state
	failureRate     float64                       // failure rate of recent requests, decaying with time
	failureRateAt   time.Time                     // when failureRate was last updated
	held            map[placer.Copy]time.Time     // when each copy can be used; zero: now
	evicted         warmer.RecentSet[placer.Copy] // evicted copies; the runner loads them again in a tenth of the time
	otherLoad       Load                          // from other instances, as last reported
	lastResponse    time.Time                     // when it last responded to this instance
	ownLoad         Load                          // from this instance
	runs            map[*Run]bool                 // of this instance that count as load
	suspendedUntil  time.Time                     // until when it gets no new requests
	connectFailures int                           // consecutive connection failures
	prefillUntil    prefillEnds                   // end of the prefill known to its leader, as last reported
	adapterSlotWait time.Duration                 // wait for an adapter slot of a copy that it does not hold, as last reported
	heldReported    bool                          // whether held was reported by the leader of its failure domain
}

const (
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the half-life of the failure rate, so that a runner that
	// was avoided is tried again.
	failureHalfLife = 3 * time.Second
	// minSuspension and maxSuspension bound how long a runner that accepts no
	// connection is suspended. The time doubles with each consecutive failure.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
)

// Set records the description of a runner. It ignores an older revision than the known
// one. It also ignores an unknown runner whose revision is not newer than its removal or
// the version passed to CompleteTo: that runner has been removed. An incarnation
// replaces the previous one of the same name, which is returned; ok is false if there was
// none.
func (f *Fleet) Set(r Runner) (replaced Runner, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s, known := f.runners[r.ID]
	if known && r.Revision < s.Revision || !known && r.Revision <= max(f.removed[r.ID], f.completeTo[r.Domain]) {
		return Runner{}, false
	}
	if other, exists := f.runners[f.idByName[r.Name()]]; exists && other.ID != r.ID {
		if r.Revision < other.Revision {
			f.remove(r.ID, r.Revision) // outdated: the runner has restarted since
			return Runner{}, false
		}
		f.remove(other.ID, other.Revision)
		replaced, ok = other.Runner, true
	}
	f.idByName[r.Name()] = r.ID
	if !known {
		s = &runnerState{stated: f.statementsOf(r.ID), held: make(map[placer.Copy]time.Time), evicted: warmer.RecentSet[placer.Copy]{Limit: warmer.HostMemoryCopies}}
		f.runners[r.ID] = s
	}
	if known && s.Version != r.Version {
		f.recordGone(s.Runner, time.Now())
	}
	r.Leaving = r.Leaving || s.Leaving // draining is final for an incarnation
	s.Runner = r
	if !s.heldReported {
		s.useRegisteredCopies()
	}
	return replaced, ok
}

// CompleteTo records that all runners of a failure domain are known up to a version of
// the store.
func (f *Fleet) CompleteTo(domain string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.completeTo[domain] = max(f.completeTo[domain], version)
}

// CompletedTo returns the newest version of the store up to which all runners of a failure
// domain are known; 0 if there is none.
func (f *Fleet) CompletedTo() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(0)
	for _, version := range f.completeTo {
		newest = max(newest, version)
	}
	return newest
}

// CurrentID returns the ID of the current incarnation of a name. If none is known it
// returns the name itself, which is the ID of a runner that does not report when it
// started.
func (f *Fleet) CurrentID(name string) (id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.idByName[name]; ok {
		return id
	}
	return name
}

// useRegisteredCopies sets the held copies to those that the runner registered with,
// which are used until its leader reports them.
func (s *runnerState) useRegisteredCopies() {
	s.held = make(map[placer.Copy]time.Time)
	for _, m := range s.Models {
		s.held[placer.Copy{Model: m}] = time.Time{}
	}
	for _, c := range s.Adapters {
		s.held[c] = time.Time{}
	}
}

// Remove removes a runner. Descriptions of it up to the revision are ignored from
// then on, as another instance may publish an outdated one later.
func (f *Fleet) Remove(id string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.remove(id, revision)
}

func (f *Fleet) remove(id string, revision uint64) {
	if s, ok := f.runners[id]; ok {
		revision = max(revision, s.Revision)
		f.recordGone(s.Runner, time.Now())
		if f.idByName[s.Name()] == id {
			delete(f.idByName, s.Name())
		}
	}
	f.removed[id] = max(f.removed[id], revision)
	delete(f.runners, id)
	if st, ok := f.statements[id]; ok {
		st.pace = nil // a kilobyte for each incarnation, and soon learned again if the row returns
	}
}

// Partitioned reports whether most of the runners of a failure domain with recent
// connections are unreachable from this instance: it is partitioned from their service, or the
// last connection failed, for more runners than have responded recently.
func (f *Fleet) Partitioned(domain string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	reachable, unreachable := 0, 0
	for _, s := range f.runners {
		switch {
		case s.Domain != domain:
		case s.connectFailures > 0, f.Detector.Partitioned(s.Service):
			unreachable++
		case now.Sub(s.lastResponse) < reachableFor:
			reachable++
		}
	}
	return unreachable > reachable
}

// Unreached returns the number of runners to which the last connection of this instance failed.
func (f *Fleet) Unreached() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	unreached := 0
	for _, s := range f.runners {
		if s.connectFailures > 0 {
			unreached++
		}
	}
	return unreached
}

// Resume makes a runner that this instance did not reach eligible again. It is called when a
// probe of it was answered.
func (f *Fleet) Resume(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok && s.connectFailures > 0 {
		s.connectFailures, s.failureRate, s.suspendedUntil = 0, 0, time.Time{}
	}
}

// Suspended returns the runners of a service that get no requests now, as they accepted no
// connection.
func (f *Fleet) Suspended(service string, now time.Time) []Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspended []Runner
	for _, s := range f.runners {
		if s.Service == service && now.Before(s.suspendedUntil) {
			suspended = append(suspended, s.Runner)
		}
	}
	return suspended
}

// reachableFor is how long a runner counts as reachable after a response.
const reachableFor = 3 * time.Second

// RemovedRevision returns the revision up to which a runner is known to be removed.
func (f *Fleet) RemovedRevision(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.removed[id]
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

// SetHeld records all copies that a runner holds, as reported by its leader.
func (f *Fleet) SetHeld(id string, held map[placer.Copy]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		for c := range s.held {
			if _, still := held[c]; !still {
				s.evicted.Add(c)
			}
		}
		s.held = make(map[placer.Copy]time.Time, len(held)) // SetHeldCopy changes single copies until the next snapshot
		maps.Copy(s.held, held)
		s.heldReported = true
	}
}

// HeldCopies returns the copies that a runner holds, with the time from which each can
// be used, and how long a copy that it does not hold waits for an adapter slot there.
func (f *Fleet) HeldCopies(id string) (held map[placer.Copy]time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return nil, 0
	}
	return maps.Clone(s.held), s.adapterSlotWait
}

// SetHeldCopy records whether a runner holds a copy, and from when on it can be used.
func (f *Fleet) SetHeldCopy(id string, c placer.Copy, at time.Time, held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	switch {
	case !ok:
	case held:
		s.held[c] = at
	default:
		delete(s.held, c)
		s.evicted.Add(c)
	}
}

// MarkMissing records that a runner has refused a request because it lacks a copy.
func (f *Fleet) MarkMissing(id string, c placer.Copy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		delete(s.held, c)
		s.evicted.Drop(c)
	}
}

// SetOtherLoads records the load of other instances on the runners of a failure domain.
// Runners without an entry have none.
func (f *Fleet) SetOtherLoads(domain string, loads map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.runners {
		if s.Domain == domain {
			s.otherLoad = loads[id]
		}
	}
}

// LoadsIn returns the load of this instance on each runner of a failure domain that
// has any.
func (f *Fleet) LoadsIn(domain string) map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range f.runners {
		if s.Domain == domain && s.ownLoad != (Load{}) {
			loads[id] = s.ownLoad
		}
	}
	return loads
}

// SetLeaderPresent records whether a failure domain has a leader now. Without one, adapters
// that its runners do not hold are not loaded.
func (f *Fleet) SetLeaderPresent(domain string, present bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaderless == nil {
		f.leaderless = make(map[string]bool)
	}
	f.leaderless[domain] = !present
}

// SetAdapterSlotWaits records, by runner ID, how long a copy that the runner does not hold waits
// for an adapter slot.
func (f *Fleet) SetAdapterSlotWaits(waits map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, wait := range waits {
		if s, ok := f.runners[id]; ok {
			s.adapterSlotWait = wait
		}
	}
}

// AdapterSlotsFull reports whether copies wait for an adapter slot at a runner.
func (f *Fleet) AdapterSlotsFull(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	return ok && s.adapterSlotWait > 0
}

// A LoadQueueWait is the time until the load of a further adapter begins in a failure domain.
type LoadQueueWait struct {
	Last      time.Duration // of one that goes behind all others
	Continued time.Duration // of one that a stream waits for whose caller has a part of it
}

// SetLoadQueueWait records the time until the load of a further adapter begins in a failure
// domain.
func (f *Fleet) SetLoadQueueWait(domain string, d LoadQueueWait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadQueueWait == nil {
		f.loadQueueWait = make(map[string]LoadQueueWait)
	}
	f.loadQueueWait[domain] = d
}

// SetLoadTimes records the load times of adapters in a failure domain, as measured by its
// leader. Instances that order no loads cannot measure them: when loads took twice as
// long as under light load, 78 of 81 instances went on with the old estimate and chose
// runners that had to load the adapter over those that held it. Publishing the times,
// together with leaders that step down when they are partitioned, raised the served
// fraction of the requests under heavy load from 0.62 to 0.71 in an experiment.
func (f *Fleet) SetLoadTimes(domain string, t LoadTimes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadTimes == nil {
		f.loadTimes = make(map[string]LoadTimes)
	}
	f.loadTimes[domain] = t
}

// loadTimesIn returns the load times in a failure domain: those reported by its leader, or
// the estimates of the demand.
func (f *Fleet) loadTimesIn(domain string, d Demand) LoadTimes {
	if t, reported := f.loadTimes[domain]; reported && t.Load > 0 {
		return t
	}
	return LoadTimes{Load: d.LoadTime, Reload: d.ReloadTime}
}

func (f *Fleet) init() {
	if f.runners == nil {
		f.completeTo = make(map[string]uint64)
		f.removed = make(map[string]uint64)
		f.idByName = make(map[string]string)
		f.runners = make(map[string]*runnerState)
		f.latencies = make(map[string]*latencyModel)
		f.statements = make(map[string]*statements)
	}
}
