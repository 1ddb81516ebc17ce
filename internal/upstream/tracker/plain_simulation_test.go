package tracker_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A plainSimulation simulates a plain service (one without adapters) in virtual time: many
// instances send to few runners, and each knows the load from the others only with a
// delay.
type plainSimulation struct {
	rng      *rand.Rand
	events   plainEvents
	runners  []plainRunner
	own      [][]int // requests in progress, by instance and runner
	reported [][]int // requests of the other instances, as last reported
	choose   func(s *plainSimulation, instance int) (runner int, wait time.Duration)
	goal     time.Duration
	runTime  time.Duration            // mean run time
	paces    []float64                // time of work at each runner now, relative to the usual time; nil for 1
	expected func(runner int) float64 // the pace that the leader expects, relative to the mean; nil for 1
	ended    func(runner int)         // called when a request ends; may be nil

	now              time.Duration
	requests, inTime int
	late, rejected   int
}

type plainRunner struct {
	requestSlots tracker.RequestSlots
	active       int
	queue        []plainRequest
}

type plainRequest struct {
	arrived  time.Duration
	instance int
	runner   int
	entry    tracker.Entry
	retried  bool
}

type plainEvent struct {
	at time.Duration
	do func()
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	plainSlots       = 6
	plainQueueLimit  = 24
	plainRun         = 60 * time.Millisecond
	plainGoal        = 300 * time.Millisecond
	plainReportEvery = 150 * time.Millisecond // interval between reports to an instance
	plainDuration    = 15 * time.Second
)

func newPlainSimulation(instances, runners int, perSecond float64, choose func(s *plainSimulation, instance int) (int, time.Duration)) *plainSimulation {
	s := &plainSimulation{goal: plainGoal, runTime: plainRun, rng: rand.New(rand.NewPCG(1, 1)), runners: make([]plainRunner, runners), choose: choose}
	for range instances {
		s.own = append(s.own, make([]int, runners))
		s.reported = append(s.reported, make([]int, runners))
	}
	for at := time.Duration(0); at < plainDuration; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		r := plainRequest{arrived: at, instance: s.rng.IntN(instances)}
		s.schedule(at, func() { s.requests++; s.arrive(r) })
	}
	for n := range instances {
		s.schedule(time.Duration(s.rng.Int64N(int64(plainReportEvery))), func() { s.report(n) })
	}
	return s
}

func (s *plainSimulation) schedule(at time.Duration, do func()) {
	heap.Push(&s.events, plainEvent{at, do})
}

func (s *plainSimulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(plainEvent)
		s.now = e.at
		e.do()
	}
}

// report reports the load of the other instances to an instance with a delay, and
// schedules the next report.
func (s *plainSimulation) report(instance int) {
	others := make([]int, len(s.runners))
	for n := range s.own {
		for r, running := range s.own[n] {
			if n != instance {
				others[r] += running
			}
		}
	}
	if s.now < plainDuration {
		s.schedule(s.now+plainReportEvery/2, func() { s.reported[instance] = others })
		s.schedule(s.now+plainReportEvery, func() { s.report(instance) })
	}
}

func (s *plainSimulation) clock() time.Time { return time.Unix(0, int64(s.now)) }

func (s *plainSimulation) arrive(r plainRequest) {
	runner, wait := s.choose(s, r.instance)
	to := &s.runners[runner]
	maxWait := s.goal / 2
	if wait > maxWait || to.active >= plainSlots+plainQueueLimit {
		s.reject(r)
		return
	}
	r.runner, r.entry = runner, to.requestSlots.Enter(s.clock())
	s.own[r.instance][runner]++
	to.active++
	if to.active > plainSlots {
		to.queue = append(to.queue, r)
		return
	}
	s.begin(r)
}

// reject refuses a request; the caller retries once.
func (s *plainSimulation) reject(r plainRequest) {
	if r.retried {
		s.rejected++
		return
	}
	r.retried, r.instance = true, s.rng.IntN(len(s.own))
	s.schedule(s.now+200*time.Millisecond+time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { s.arrive(r) })
}

func (s *plainSimulation) begin(r plainRequest) {
	run := time.Duration(float64(s.runTime) * math.Exp(0.5*s.rng.NormFloat64()-0.125))
	if s.paces != nil {
		run = time.Duration(float64(run) * s.paces[r.runner])
	}
	s.schedule(s.now+run, func() { s.end(r) })
}

func (s *plainSimulation) end(r plainRequest) {
	at := &s.runners[r.runner]
	at.requestSlots.Leave(r.entry, plainSlots, s.expectedPace(r.runner), s.clock())
	if s.ended != nil {
		s.ended(r.runner)
	}
	at.active--
	s.own[r.instance][r.runner]--
	if s.now-r.arrived <= s.goal {
		s.inTime++
	} else {
		s.late++
	}
	if len(at.queue) > 0 {
		next := at.queue[0]
		at.queue = at.queue[1:]
		s.begin(next)
	}
}

// expectedPace returns the pace of a runner that the leader expects.
func (s *plainSimulation) expectedPace(runner int) float64 {
	if s.expected == nil {
		return 1
	}
	return s.expected(runner)
}

// wait returns how much later a request ends at a runner than at a free one with the mean pace.
func (s *plainSimulation) wait(runner int) time.Duration {
	slots, pace := &s.runners[runner].requestSlots, s.expectedPace(runner)
	return slots.Wait(plainSlots, pace) + slots.Excess(pace)
}

// leastLoaded chooses the runner with the least load known to the instance.
func leastLoaded(s *plainSimulation, instance int) (runner int, wait time.Duration) {
	best := math.MaxInt
	for r := range s.runners {
		if load := s.own[instance][r] + s.reported[instance][r]; load < best {
			best, runner = load, r
		}
	}
	return runner, plainRun * time.Duration(max(0, best-plainSlots+1)) / plainSlots
}

// randomRunner chooses a runner at random.
func randomRunner(s *plainSimulation, _ int) (runner int, wait time.Duration) {
	return s.rng.IntN(len(s.runners)), 0
}

// twoChoices queries the wait for a request slot at one random runner, and at a second
// one if the first is not nearly free.
func twoChoices(s *plainSimulation, _ int) (runner int, wait time.Duration) {
	order := s.rng.Perm(len(s.runners))[:2]
	first := s.wait(order[0])
	if shortWait := s.goal / 6; first <= shortWait {
		return order[0], first
	}
	if second := s.wait(order[1]); second < first {
		return order[1], second
	}
	return order[0], first
}

// Guards against a thundering herd on outdated load reports: all instances send to the
// runner that seemed idle a moment ago, which fills up and refuses requests while others
// are idle.
func TestPlainServiceWithTooFewRunners(t *testing.T) {
	served := func(name string, runners int, perSecond float64, choose func(s *plainSimulation, instance int) (int, time.Duration)) float64 {
		s := newPlainSimulation(69, runners, perSecond, choose)
		s.run()
		t.Logf("%-10s %d runners, %.0f a second: in time %.3f, late %.3f, rejected %.3f", name, runners, perSecond,
			float64(s.inTime)/float64(s.requests), float64(s.late)/float64(s.requests), float64(s.rejected)/float64(s.requests))
		return float64(s.inTime) / float64(s.requests)
	}
	for _, load := range []struct {
		runners   int
		perSecond float64
		minServed float64 // required fraction served in time with twoChoices
	}{{4, 220, 0.98}, {4, 300, 0.98}, {3, 260, 0.95}, {3, 290, 0.75}, {4, 450, 0.5}} {
		without := served("least load", load.runners, load.perSecond, leastLoaded)
		served("random", load.runners, load.perSecond, randomRunner)
		withQueries := served("two", load.runners, load.perSecond, twoChoices)
		if withQueries < load.minServed || withQueries < without {
			t.Errorf("%d runners, %.0f a second: %.3f in time with slot queries, %.3f without", load.runners, load.perSecond, withQueries, without)
		}
	}
}
