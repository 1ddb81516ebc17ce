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
	choose   func(l *plainSimulation, instance int) (runner int, wait time.Duration)

	now              time.Duration
	requests, inTime int
	late, rejected   int
}

type plainRunner struct {
	places tracker.RequestSlots
	active int
	queue  []plainRequest
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
	plainMaxWait     = plainGoal / 2 // longest accepted wait
	plainShortWait   = plainGoal / 6
)

func newPlainSimulation(instances, runners int, perSecond float64, choose func(l *plainSimulation, instance int) (int, time.Duration)) *plainSimulation {
	l := &plainSimulation{rng: rand.New(rand.NewPCG(1, 1)), runners: make([]plainRunner, runners), choose: choose}
	for range instances {
		l.own = append(l.own, make([]int, runners))
		l.reported = append(l.reported, make([]int, runners))
	}
	for at := time.Duration(0); at < plainDuration; at += time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		r := plainRequest{arrived: at, instance: l.rng.IntN(instances)}
		l.schedule(at, func() { l.requests++; l.arrive(r) })
	}
	for n := range instances {
		l.schedule(time.Duration(l.rng.Int64N(int64(plainReportEvery))), func() { l.report(n) })
	}
	return l
}

func (l *plainSimulation) schedule(at time.Duration, do func()) {
	heap.Push(&l.events, plainEvent{at, do})
}

func (l *plainSimulation) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(plainEvent)
		l.now = e.at
		e.do()
	}
}

// report reports the load of the other instances to an instance with a delay, and
// schedules the next report.
func (l *plainSimulation) report(instance int) {
	others := make([]int, len(l.runners))
	for n := range l.own {
		for r, running := range l.own[n] {
			if n != instance {
				others[r] += running
			}
		}
	}
	if l.now < plainDuration {
		l.schedule(l.now+plainReportEvery/2, func() { l.reported[instance] = others })
		l.schedule(l.now+plainReportEvery, func() { l.report(instance) })
	}
}

func (l *plainSimulation) clock() time.Time { return time.Unix(0, int64(l.now)) }

func (l *plainSimulation) arrive(r plainRequest) {
	runner, wait := l.choose(l, r.instance)
	to := &l.runners[runner]
	if wait > plainMaxWait || to.active >= plainSlots+plainQueueLimit {
		l.reject(r)
		return
	}
	r.runner, r.entry = runner, to.places.Enter(l.clock())
	l.own[r.instance][runner]++
	to.active++
	if to.active > plainSlots {
		to.queue = append(to.queue, r)
		return
	}
	l.begin(r)
}

// reject refuses a request; the caller retries once.
func (l *plainSimulation) reject(r plainRequest) {
	if r.retried {
		l.rejected++
		return
	}
	r.retried, r.instance = true, l.rng.IntN(len(l.own))
	l.schedule(l.now+200*time.Millisecond+time.Duration(l.rng.Int64N(int64(200*time.Millisecond))), func() { l.arrive(r) })
}

func (l *plainSimulation) begin(r plainRequest) {
	run := time.Duration(float64(plainRun) * math.Exp(0.5*l.rng.NormFloat64()-0.125))
	l.schedule(l.now+run, func() { l.end(r) })
}

func (l *plainSimulation) end(r plainRequest) {
	at := &l.runners[r.runner]
	at.places.Leave(r.entry, plainSlots, l.clock())
	at.active--
	l.own[r.instance][r.runner]--
	if l.now-r.arrived <= plainGoal {
		l.inTime++
	} else {
		l.late++
	}
	if len(at.queue) > 0 {
		next := at.queue[0]
		at.queue = at.queue[1:]
		l.begin(next)
	}
}

// leastLoaded chooses the runner with the least load known to the instance.
func leastLoaded(l *plainSimulation, instance int) (runner int, wait time.Duration) {
	best := math.MaxInt
	for r := range l.runners {
		if load := l.own[instance][r] + l.reported[instance][r]; load < best {
			best, runner = load, r
		}
	}
	return runner, plainRun * time.Duration(max(0, best-plainSlots+1)) / plainSlots
}

// randomRunner chooses a runner at random.
func randomRunner(l *plainSimulation, _ int) (runner int, wait time.Duration) {
	return l.rng.IntN(len(l.runners)), 0
}

// twoChoices queries the wait for a request slot at one random runner, and at a second
// one if the first is not nearly free.
func twoChoices(l *plainSimulation, _ int) (runner int, wait time.Duration) {
	order := l.rng.Perm(len(l.runners))[:2]
	first := l.runners[order[0]].places.Wait(plainSlots)
	if first <= plainShortWait {
		return order[0], first
	}
	if second := l.runners[order[1]].places.Wait(plainSlots); second < first {
		return order[1], second
	}
	return order[0], first
}

// Guards against a thundering herd on outdated load reports: all instances send to the
// runner that seemed idle a moment ago, which fills up and refuses requests while others
// are idle.
func TestPlainServiceWithTooFewRunners(t *testing.T) {
	served := func(name string, runners int, perSecond float64, choose func(l *plainSimulation, instance int) (int, time.Duration)) float64 {
		l := newPlainSimulation(69, runners, perSecond, choose)
		l.run()
		t.Logf("%-10s %d runners, %.0f a second: in time %.3f, late %.3f, rejected %.3f", name, runners, perSecond,
			float64(l.inTime)/float64(l.requests), float64(l.late)/float64(l.requests), float64(l.rejected)/float64(l.requests))
		return float64(l.inTime) / float64(l.requests)
	}
	for _, load := range []struct {
		runners   int
		perSecond float64
		least     float64 // required fraction served in time with twoChoices
	}{{4, 220, 0.98}, {4, 300, 0.98}, {3, 260, 0.95}, {3, 290, 0.75}, {4, 450, 0.5}} {
		without := served("least load", load.runners, load.perSecond, leastLoaded)
		served("random", load.runners, load.perSecond, randomRunner)
		withQueries := served("two", load.runners, load.perSecond, twoChoices)
		if withQueries < load.least || withQueries < without {
			t.Errorf("%d runners, %.0f a second: %.3f in time with slot queries, %.3f without", load.runners, load.perSecond, withQueries, without)
		}
	}
}
