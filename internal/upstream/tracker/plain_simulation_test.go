package tracker_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A plainLab simulates a plain service (one without adapters) in virtual time: many
// instances send to few runners, and each knows the load from the others only with a
// delay.
type plainLab struct {
	rng     *rand.Rand
	events  plainEvents
	runners []plainRunner
	own     [][]int // requests in progress, by instance and runner
	known   [][]int // requests of the other instances, as last reported
	choose  func(l *plainLab, instance int) (runner int, wait time.Duration)

	now              time.Duration
	asked, inTime    int
	late, turnedAway int
}

type plainRunner struct {
	places tracker.Places
	inside int
	queue  []plainRequest
}

type plainRequest struct {
	arrived  time.Duration
	instance int
	runner   int
	entry    tracker.Entry
	again    bool
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
	plainSlots = 6
	plainQueue = 24
	plainRun   = 60 * time.Millisecond
	plainGoal  = 300 * time.Millisecond
	plainTold  = 150 * time.Millisecond // interval between reports to an instance
	plainSpan  = 15 * time.Second
	plainLimit = plainGoal / 2 // longest accepted wait
	plainFree  = plainGoal / 6
)

func newPlainLab(instances, runners int, perSecond float64, choose func(l *plainLab, instance int) (int, time.Duration)) *plainLab {
	l := &plainLab{rng: rand.New(rand.NewPCG(1, 1)), runners: make([]plainRunner, runners), choose: choose}
	for range instances {
		l.own = append(l.own, make([]int, runners))
		l.known = append(l.known, make([]int, runners))
	}
	for at := time.Duration(0); at < plainSpan; at += time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		r := plainRequest{arrived: at, instance: l.rng.IntN(instances)}
		l.at(at, func() { l.asked++; l.arrive(r) })
	}
	for n := range instances {
		l.at(time.Duration(l.rng.Int64N(int64(plainTold))), func() { l.tell(n) })
	}
	return l
}

func (l *plainLab) at(at time.Duration, do func()) { heap.Push(&l.events, plainEvent{at, do}) }

func (l *plainLab) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(plainEvent)
		l.now = e.at
		e.do()
	}
}

// tell reports the load of the other instances to an instance with a delay, and
// schedules the next report.
func (l *plainLab) tell(instance int) {
	others := make([]int, len(l.runners))
	for n := range l.own {
		for r, running := range l.own[n] {
			if n != instance {
				others[r] += running
			}
		}
	}
	if l.now < plainSpan {
		l.at(l.now+plainTold/2, func() { l.known[instance] = others })
		l.at(l.now+plainTold, func() { l.tell(instance) })
	}
}

func (l *plainLab) clock() time.Time { return time.Unix(0, int64(l.now)) }

func (l *plainLab) arrive(r plainRequest) {
	runner, wait := l.choose(l, r.instance)
	to := &l.runners[runner]
	if wait > plainLimit || to.inside >= plainSlots+plainQueue {
		l.refuse(r)
		return
	}
	r.runner, r.entry = runner, to.places.Enter(l.clock())
	l.own[r.instance][runner]++
	to.inside++
	if to.inside > plainSlots {
		to.queue = append(to.queue, r)
		return
	}
	l.begin(r)
}

// refuse refuses a request; the caller retries once.
func (l *plainLab) refuse(r plainRequest) {
	if r.again {
		l.turnedAway++
		return
	}
	r.again, r.instance = true, l.rng.IntN(len(l.own))
	l.at(l.now+200*time.Millisecond+time.Duration(l.rng.Int64N(int64(200*time.Millisecond))), func() { l.arrive(r) })
}

func (l *plainLab) begin(r plainRequest) {
	run := time.Duration(float64(plainRun) * math.Exp(0.5*l.rng.NormFloat64()-0.125))
	l.at(l.now+run, func() { l.end(r) })
}

func (l *plainLab) end(r plainRequest) {
	at := &l.runners[r.runner]
	at.places.Leave(r.entry, plainSlots, l.clock())
	at.inside--
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

// leastKnown chooses the runner with the least load known to the instance.
func leastKnown(l *plainLab, instance int) (runner int, wait time.Duration) {
	best := math.MaxInt
	for r := range l.runners {
		if load := l.own[instance][r] + l.known[instance][r]; load < best {
			best, runner = load, r
		}
	}
	return runner, plainRun * time.Duration(max(0, best-plainSlots+1)) / plainSlots
}

// anyRunner chooses a runner at random.
func anyRunner(l *plainLab, _ int) (runner int, wait time.Duration) {
	return l.rng.IntN(len(l.runners)), 0
}

// askedTwo queries the wait for a request slot at one random runner, and at a second
// one if the first is not nearly free.
func askedTwo(l *plainLab, _ int) (runner int, wait time.Duration) {
	order := l.rng.Perm(len(l.runners))[:2]
	first := l.runners[order[0]].places.Wait(plainSlots)
	if first <= plainFree {
		return order[0], first
	}
	if second := l.runners[order[1]].places.Wait(plainSlots); second < first {
		return order[1], second
	}
	return order[0], first
}

// Guards against a thundering herd on outdated load reports: all instances send to the runner that
// seemed idle a moment ago, which fills up and refuses requests while others are idle.
func TestPlainServiceThatIsShortOfARunner(t *testing.T) {
	served := func(name string, runners int, perSecond float64, choose func(l *plainLab, instance int) (int, time.Duration)) float64 {
		l := newPlainLab(69, runners, perSecond, choose)
		l.run()
		t.Logf("%-10s %d runners, %.0f a second: in time %.3f, late %.3f, rejected %.3f", name, runners, perSecond,
			float64(l.inTime)/float64(l.asked), float64(l.late)/float64(l.asked), float64(l.turnedAway)/float64(l.asked))
		return float64(l.inTime) / float64(l.asked)
	}
	for _, load := range []struct {
		runners   int
		perSecond float64
		least     float64 // required fraction served in time with askedTwo
	}{{4, 220, 0.98}, {4, 300, 0.98}, {3, 260, 0.95}, {3, 290, 0.75}, {4, 450, 0.5}} {
		least := served("least", load.runners, load.perSecond, leastKnown)
		served("any", load.runners, load.perSecond, anyRunner)
		asked := served("asked two", load.runners, load.perSecond, askedTwo)
		if asked < load.least || asked < least {
			t.Errorf("%d runners, %.0f a second: %.3f in time with slot queries, %.3f without", load.runners, load.perSecond, asked, least)
		}
	}
}
