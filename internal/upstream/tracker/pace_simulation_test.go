package tracker_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const (
	paceEvent       = 40 * time.Millisecond // time of one event of the running streams at pace 100
	paceEvents      = 20                    // events of a stream
	paceFirst       = 500 * time.Millisecond
	paceMaxGap      = 300 * time.Millisecond
	pacePrefill     = 27 * time.Microsecond // per prompt token at pace 100
	paceRedraw      = 600 * time.Millisecond
	paceReportEvery = 150 * time.Millisecond
	paceDuration    = 40 * time.Second
	paceWarmUp      = 10 * time.Second // not counted
)

var paceCopy = placer.Copy{Model: "m", Adapter: "a", Version: 1}

// An engineSimulation simulates the runners of an engine in virtual time. Instances know the load
// of the others with a delay; the first one leads, and limits the prefill at each runner.
type engineSimulation struct {
	rng       *rand.Rand
	events    plainEvents
	began     time.Time
	instances []*tracker.Fleet
	leader    *tracker.Fleet // nil while there is none
	runners   []*engineRunner
	share     admitter.PrefillShare
	stated    bool // runners state their pace

	requests, inTime, refused int
	streams, longGaps         int
	perRunner                 []int
}

type engineRunner struct {
	id       string
	own      float64 // its own speed
	pace     float64 // now
	schedule admitter.PrefillSchedule
	waiting  []*engineRequest
	running  []*engineRequest
	busy     bool
}

type engineRequest struct {
	instance *tracker.Fleet
	arrived  time.Time
	tokens   int
	run      *tracker.Run
	left     int
	longest  time.Duration
	counted  bool
}

func newEngineSimulation(seed uint64, speeds []float64, perSecond float64, stated bool) *engineSimulation {
	s := &engineSimulation{rng: rand.New(rand.NewPCG(seed, seed)), began: time.Now(), stated: stated, perRunner: make([]int, len(speeds))}
	for n, own := range speeds {
		s.runners = append(s.runners, &engineRunner{id: fmt.Sprint("r", n), own: own, pace: own})
	}
	for range 10 {
		f := &tracker.Fleet{Domain: "a"}
		for _, r := range s.runners {
			f.Set(tracker.Runner{ID: r.id, Service: "llm", Domain: "a", Slots: 32, Revision: 1})
			f.SetHeldCopy(r.id, paceCopy, time.Time{}, true)
		}
		s.instances = append(s.instances, f)
		s.after(time.Duration(s.rng.Int64N(int64(paceReportEvery))), func() { s.report(f) })
	}
	for at := time.Duration(0); at < paceDuration; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		tokens := 100 + int(s.rng.ExpFloat64()*1500)
		f := s.instances[s.rng.IntN(len(s.instances))]
		s.after(at, func() { s.arrive(f, tokens) })
	}
	s.leader = s.instances[0]
	s.redraw()
	return s
}

// loseLeader makes the leader end, with all that it knows, and another instance lead a second later.
func (s *engineSimulation) loseLeader() {
	next := s.instances[(slices.Index(s.instances, s.leader)+1)%len(s.instances)]
	s.leader = nil
	s.after(time.Second, func() {
		s.leader, s.share = next, admitter.PrefillShare{}
		for _, r := range s.runners {
			r.schedule = admitter.PrefillSchedule{}
		}
	})
}

func (s *engineSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, plainEvent{time.Since(s.began) + d, do})
}

func (s *engineSimulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(plainEvent)
		time.Sleep(time.Until(s.began.Add(e.at)))
		e.do()
	}
}

// redraw draws the pace of each runner anew: 15 of 100 are 2.5 times slower than usual.
func (s *engineSimulation) redraw() {
	for _, r := range s.runners {
		r.pace = r.own
		if s.rng.IntN(100) < 15 {
			r.pace *= 2.5
		}
	}
	if time.Since(s.began) < paceDuration {
		s.after(paceRedraw, s.redraw)
	}
}

// report tells an instance what the leader knows: the load of the others, and the paces.
func (s *engineSimulation) report(f *tracker.Fleet) {
	now := time.Now()
	others := make(map[string]tracker.Load)
	for _, other := range s.instances {
		if other != f {
			for id, load := range other.LoadsIn("a") {
				others[id] = others[id].Plus(load)
			}
		}
	}
	s.after(paceReportEvery/2, func() { f.SetOtherLoads("a", others) })
	for _, r := range s.runners {
		if s.leader == nil || s.leader == f {
			break
		}
		if p, ok := s.leader.Pace(r.id, now); ok {
			s.after(paceReportEvery/2, func() {
				f.AdoptPace(r.id, p.Estimate, now)
				f.ObserveSlowPace(r.id, p.Latest)
			})
		}
	}
	if time.Since(s.began) < paceDuration {
		s.after(paceReportEvery, func() { s.report(f) })
	}
}

func (s *engineSimulation) arrive(f *tracker.Fleet, tokens int) {
	now := time.Now()
	counted := now.Sub(s.began) > paceWarmUp
	if counted {
		s.requests++
	}
	choice := router.Router{Policy: router.FirstToken{CrossDomain: 0.015}}
	full := make(map[string]bool)
	for range 3 {
		candidates := f.Candidates(tracker.Demand{
			Copy: paceCopy, MaxGap: paceMaxGap, MaxPrefill: paceMaxGap * 3 / 4, Refused: full, Service: "llm", Tokens: tokens,
		}, now)
		slices.SortFunc(candidates, func(a, b router.Candidate) int { return strings.Compare(a.Runner, b.Runner) })
		best := choice.Choose(router.Request{Adapter: paceCopy.Adapter}, candidates)[0]
		if best.Queue > 0.9*paceFirst.Seconds() {
			break
		}
		r := s.runners[slices.IndexFunc(s.runners, func(r *engineRunner) bool { return r.id == best.Runner })]
		wait := time.Duration(0)
		if s.leader != nil {
			runner, _ := s.leader.Get(r.id)
			delay, ok := r.schedule.Reserve(admitter.Prompt{
				MaxGap: paceMaxGap, SlotWait: s.leader.RequestSlotWait(r.id), PrefillTime: s.leader.PrefillTimeAt(runner, tokens, now), Share: s.share.Value(), Timeout: paceFirst * 9 / 10,
			}, now)
			f.SetPrefillBacklog(r.id, 0, r.schedule.Backlog(now))
			if !ok {
				full[r.id] = true
				continue
			}
			wait = delay
		}
		s.after(wait, func() {
			q := &engineRequest{instance: f, arrived: now, tokens: tokens, run: f.Begin(r.id, tokens, time.Now()), left: paceEvents, counted: counted}
			r.waiting = append(r.waiting, q)
			s.step(r)
		})
		return
	}
	if counted {
		s.refused++
	}
}

// step runs one step of a runner's engine: an event of each running stream, and the prefill of
// the prompts that wait.
func (s *engineSimulation) step(r *engineRunner) {
	if r.busy || len(r.waiting)+len(r.running) == 0 {
		return
	}
	r.busy = true
	prompts := r.waiting
	r.waiting = nil
	took := paceEvent
	for _, q := range prompts {
		took += time.Duration(q.tokens) * pacePrefill
	}
	took = time.Duration(float64(took) * r.pace / 100)
	s.after(took, func() { s.endStep(r, prompts, took) })
}

func (s *engineSimulation) endStep(r *engineRunner, prompts []*engineRequest, took time.Duration) {
	now := time.Now()
	for _, q := range r.running {
		q.longest = max(q.longest, took)
		if q.left--; q.left == 0 {
			s.end(q)
		}
	}
	r.running = slices.DeleteFunc(r.running, func(q *engineRequest) bool { return q.left == 0 })
	for n, q := range prompts {
		q.run.First(now)
		if s.stated {
			stated := gauger.Statement{At: now, Percent: int(r.pace)}
			q.instance.ObservePace(r.id, stated)
			s.after(time.Duration(s.rng.Int64N(int64(paceReportEvery))), func() {
				if s.leader != nil {
					s.leader.ObservePace(r.id, stated)
				}
			})
		}
		if q.counted {
			s.perRunner[slices.Index(s.runners, r)]++
			if now.Sub(q.arrived) <= paceFirst {
				s.inTime++
			}
		}
		r.running = append(r.running, prompts[n])
	}
	r.busy = false
	s.step(r)
}

func (s *engineSimulation) end(q *engineRequest) {
	q.run.End(tracker.Done, time.Now())
	long, short := 0, 0
	switch {
	case admitter.IsLongGap(q.longest, paceMaxGap):
		long++
	case admitter.IsShortGap(q.longest, paceMaxGap):
		short++
	}
	s.share.Record(short, long)
	if q.counted {
		s.streams++
		if q.longest > paceMaxGap {
			s.longGaps++
		}
	}
}

// A paceResult sums up simulations.
type paceResult struct {
	requests, inTime, refused int
	streams, longGaps         int
	perRunner                 []int
}

func (r *paceResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.requests) }
func (r *paceResult) longGapShare() float64 {
	return float64(r.longGaps) / float64(r.streams)
}

// simulateEngine sums up simulations of five seeds. prepare may be nil.
func simulateEngine(t *testing.T, speeds []float64, perSecond float64, stated bool, prepare func(s *engineSimulation)) paceResult {
	sum := paceResult{perRunner: make([]int, len(speeds))}
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) {
			s := newEngineSimulation(seed+1, speeds, perSecond, stated)
			if prepare != nil {
				prepare(s)
			}
			s.run()
			sum.requests += s.requests
			sum.inTime += s.inTime
			sum.refused += s.refused
			sum.streams += s.streams
			sum.longGaps += s.longGaps
			for n, requests := range s.perRunner {
				sum.perRunner[n] += requests
			}
		})
	}
	t.Logf("speeds %v, %.0f a second, stated %t: first events in time %.3f, refused %.3f, long gaps %.3f, requests by runner %v",
		speeds, perSecond, stated, sum.inTimeShare(), float64(sum.refused)/float64(sum.requests), sum.longGapShare(), sum.perRunner)
	return sum
}

// The load: two slow runners of three, with the pace of each drawn anew each 600 ms, and as many
// streams as they can carry. Guards against estimates that ignore the pace: prompts that are
// prefilled between the tokens of the streams of a slow runner cause gaps beyond the maximum, and
// requests wait there while the fast runner has room.
func TestTwoSlowRunnersOfThree(t *testing.T) {
	speeds := []float64{70, 170, 170}
	for _, perSecond := range []float64{12, 16} {
		without, with := simulateEngine(t, speeds, perSecond, false, nil), simulateEngine(t, speeds, perSecond, true, nil)
		if got, least := with.inTimeShare(), without.inTimeShare()+0.04; got < least {
			t.Errorf("%.0f a second: %.3f of the first events are in time, want at least %.3f", perSecond, got, least)
		}
		if got, most := with.longGapShare(), 0.7*without.longGapShare(); got > most {
			t.Errorf("%.0f a second: %.3f of the streams have a long gap, want at most %.3f", perSecond, got, most)
		}
	}
}

// The same load, and the leader is lost five times. Guards against a new leader that plans without
// paces, and against members that forget them while there is none.
func TestTwoSlowRunnersOfThreeAndALostLeader(t *testing.T) {
	lose := func(s *engineSimulation) {
		for n := range time.Duration(5) {
			s.after(paceWarmUp+n*6*time.Second, s.loseLeader)
		}
	}
	speeds := []float64{70, 170, 170}
	without, with := simulateEngine(t, speeds, 12, false, lose), simulateEngine(t, speeds, 12, true, lose)
	if got, least := with.inTimeShare(), without.inTimeShare()+0.04; got < least {
		t.Errorf("%.3f of the first events are in time, want at least %.3f", got, least)
	}
	if got, most := with.longGapShare(), 0.8*without.longGapShare(); got > most {
		t.Errorf("%.3f of the streams have a long gap, want at most %.3f", got, most)
	}
}

// Guards against a herd: all instances send to the runner that stated the best pace a moment ago,
// of which half of the time it is at another one.
func TestRunnersOfEqualSpeedShareTheRequests(t *testing.T) {
	result := simulateEngine(t, []float64{100, 100, 100}, 16, true, nil)
	total := 0
	for _, requests := range result.perRunner {
		total += requests
	}
	for n, requests := range result.perRunner {
		if share := float64(requests) / float64(total); share < 0.28 || share > 0.39 {
			t.Errorf("runner %d has %.3f of the requests", n, share)
		}
	}
	without := simulateEngine(t, []float64{100, 100, 100}, 16, false, nil)
	if got, least := result.inTimeShare(), without.inTimeShare()-0.01; got < least {
		t.Errorf("%.3f of the first events are in time, want at least %.3f", got, least)
	}
	if got, most := result.longGapShare(), without.longGapShare(); got > most {
		t.Errorf("%.3f of the streams have a long gap, want at most %.3f", got, most)
	}
}

// newPacedPlainSimulation returns a simulation of runners of a plain service whose paces are drawn
// anew each 600 ms. stated says whether the leader learns of them, from the responses.
func newPacedPlainSimulation(seed uint64, speeds []float64, perSecond float64, stated bool) *plainSimulation {
	s := newPlainSimulation(69, len(speeds), perSecond, twoChoices)
	s.goal, s.runTime = pacedPlainGoal, pacedPlainRun
	s.paces = make([]float64, len(speeds))
	draw, delay := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var redraw func()
	redraw = func() {
		for n, own := range speeds {
			s.paces[n] = own
			if draw.IntN(100) < 15 {
				s.paces[n] *= 2.5
			}
		}
		if s.now < plainDuration {
			s.schedule(s.now+paceRedraw, redraw)
		}
	}
	redraw()
	if !stated {
		return s
	}
	leader := &tracker.Fleet{Domain: "a"}
	id := func(n int) string { return fmt.Sprint("r", n) }
	for n := range speeds {
		leader.Set(tracker.Runner{ID: id(n), Service: "records", Domain: "a", Slots: plainSlots, Revision: 1})
	}
	s.expected = func(n int) float64 { return leader.PaceFactor(id(n), s.clock()) }
	s.ended = func(n int) {
		statement := gauger.Statement{At: s.clock(), Percent: int(100 * s.paces[n])}
		s.schedule(s.now+time.Duration(delay.Int64N(int64(plainReportEvery))), func() { leader.ObservePace(id(n), statement) })
	}
	return s
}

const (
	pacedPlainGoal = 500 * time.Millisecond
	pacedPlainRun  = 158 * time.Millisecond // with six slots, 38 responses a second
)

// The load: a plain service of three runners, with the pace of each drawn anew each 600 ms. Guards
// against waits for a request slot that ignore it: a runner that is slow for a moment would get
// as many requests as the others.
func TestPlainServiceWithPassingSlowness(t *testing.T) {
	for _, load := range []struct {
		speeds    []float64
		perSecond float64
	}{{[]float64{1, 1, 1}, 60}, {[]float64{0.7, 1.7, 1.7}, 45}} {
		var inTime [2]float64
		for n, stated := range []bool{false, true} {
			requests, late, rejected := 0, 0, 0
			for seed := range uint64(8) {
				s := newPacedPlainSimulation(seed+1, load.speeds, load.perSecond, stated)
				s.run()
				requests, late, rejected = requests+s.requests, late+s.late, rejected+s.rejected
			}
			inTime[n] = 1 - float64(late+rejected)/float64(requests)
			t.Logf("speeds %v, %.0f a second, stated %t: in time %.3f, late %.3f, rejected %.3f", load.speeds, load.perSecond, stated,
				inTime[n], float64(late)/float64(requests), float64(rejected)/float64(requests))
		}
		if 1-inTime[1] > 0.75*(1-inTime[0]) {
			t.Errorf("speeds %v: %.3f in time with stated paces, %.3f without", load.speeds, inTime[1], inTime[0])
		}
	}
}
