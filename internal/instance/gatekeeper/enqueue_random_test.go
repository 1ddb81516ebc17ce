package gatekeeper

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
)

var (
	orderFirst = flag.Uint64("order.first", 0, "first seed of the simulation of ordered prompts")
	orderSeeds = flag.Uint64("order.seeds", 16, "number of seeds to run")
)

// Guards against requests that wait longer than their time limit, that keep their place after
// their caller has left, or that are refused as if they might have run, whichever instances and
// leaders fail while requests wait for their turn at a runner; and, without faults, against
// more requests at the runner than the leader grants.
func TestTurnsWhateverFails(t *testing.T) {
	all := &turnPlay{}
	for seed := *orderFirst; seed < *orderFirst+*orderSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, seed))
				s := newSimulationWithLoad(t, rng, 1, 2+rng.IntN(5), configurer.Load{Order: configurer.On})
				s.addRunner("a")
				p := &turnPlay{sim: s}
				p.run(seed%4 != 0)
				all.sent, all.refused, all.cancelled = all.sent+p.sent, all.refused+p.refused, all.cancelled+p.cancelled
			})
		})
	}
	if all.sent == 0 || all.refused == 0 || all.cancelled == 0 {
		t.Error("some outcome is missing; the test proves nothing")
	}
}

// A turnPlay is a simulation whose instances ask for turns at a runner.
type turnPlay struct {
	sim      *simulation
	requests sync.WaitGroup

	mu        sync.Mutex
	running   int // at the runner
	most      int
	cancelled int
	refused   int
	sent      int
}

func (p *turnPlay) run(faults bool) {
	s := p.sim
	c := newChecker(s)
	s.advance(3*time.Second, c)
	stop, cancel := context.WithCancel(context.Background())
	p.requests.Go(func() { p.report(stop) })
	for _, m := range s.instances {
		requests := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
		rate := 2 + 30*s.rng.Float64()/float64(len(s.instances))
		p.requests.Go(func() { p.sendRequests(stop, m, rate, requests) })
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && !s.t.Failed(); {
		if faults {
			p.disrupt()
		}
		s.advance(time.Duration(s.rng.Int64N(int64(time.Second))), c)
	}
	cancel()
	p.requests.Wait()
	time.Sleep(5*linkLatency + admissionStep)
	defer time.Sleep(5 * time.Second) // disconnected instances are noticed
	for _, m := range s.instances {
		if n := m.waiting(); n != 0 {
			s.t.Errorf("%d entries wait at %s after all callers have gone", n, m.id)
		}
	}
	s.t.Logf("%d sent, %d refused, %d cancelled, at most %d at the runner", p.sent, p.refused, p.cancelled, p.most)
	if limit := 2 + 1 + 3; !faults && p.most > limit {
		s.t.Errorf("%d requests at a runner with two slots, want at most %d", p.most, limit)
	}
}

// disrupt makes an instance, mostly the leader, fail, or gives its lease to another one while it
// still considers itself the leader.
func (p *turnPlay) disrupt() {
	s := p.sim
	m := s.instances[s.rng.IntN(len(s.instances))]
	if leader := s.leader("a"); leader != nil && s.rng.IntN(3) > 0 {
		m = leader
	}
	switch s.rng.IntN(6) {
	case 0:
		m.stepDown("a")
	case 1:
		s.giveLease("a", s.instances[s.rng.IntN(len(s.instances))])
	case 2, 3:
		s.disrupt(m, time.Duration(s.rng.Int64N(int64(3*time.Second))))
	default:
	}
}

// report reports the load of all instances to the leader.
func (p *turnPlay) report(stop context.Context) {
	for ; stop.Err() == nil; pause(stop, updateInterval) {
		leader := p.sim.leader("a")
		if leader == nil {
			continue
		}
		for _, m := range p.sim.instances {
			if m != leader && m.reaches(leader) {
				leader.gatekeeper().HandleDemand(m.self(), m.gatekeeper().links["a"].demand())
			}
		}
	}
}

func (p *turnPlay) sendRequests(stop context.Context, m *member, perSecond float64, rng *rand.Rand) {
	for stop.Err() == nil {
		pause(stop, time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)))
		limit := []time.Duration{450, 800, 1400}[rng.IntN(3)] * time.Millisecond
		request := forwarder.ReserveRequest{
			Account: fmt.Sprint("account ", rng.IntN(3)), Priority: rng.IntN(3), Runner: p.sim.runners[0].id, Tokens: 1 + rng.IntN(2000), MaxGap: 250 * time.Millisecond, Timeout: limit,
		}
		leaves := time.Hour
		if rng.IntN(8) == 0 {
			leaves = time.Duration(rng.Int64N(int64(limit / 2)))
		}
		runs := time.Duration(40+rng.IntN(120)) * time.Millisecond
		p.requests.Go(func() { p.send(m, request, leaves, runs) })
	}
}

// send asks for a turn and runs the request if it is granted.
func (p *turnPlay) send(m *member, request forwarder.ReserveRequest, leaves, runs time.Duration) {
	g, process := m.running()
	m.awaitResumed(process)
	ctx, cancel := context.WithTimeout(process, leaves)
	defer cancel()
	queued := false
	request.OnQueued = func(time.Duration) { queued = true }
	began := time.Now()
	_, refused, ok := g.Reserve(ctx, request)
	took := time.Since(began)
	if process.Err() != nil {
		return
	}
	p.checkTime(m, request, min(leaves, request.Timeout), began, took, queued)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !ok:
		return // the runner is not known now
	case refused != nil && ctx.Err() != nil:
		p.cancelled++
		return
	case refused != nil:
		p.refused++
		if refused.Verdict != judge.NotRun {
			p.sim.t.Errorf("refused as %s: %s", refused.Verdict, refused.Message)
		}
		return
	}
	if ctx.Err() != nil {
		p.sim.t.Error("a turn was granted after the caller had left")
	}
	p.sent++
	p.running++
	p.most = max(p.most, p.running)
	run := g.Fleet.Begin(request.Runner, request.Tokens, time.Now())
	p.requests.Go(func() {
		time.Sleep(runs)
		run.First(time.Now())
		run.End(0, time.Now())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running--
	})
}

// checkTime checks that a request was answered within its limit, unless its instance was paused
// meanwhile.
func (p *turnPlay) checkTime(m *member, request forwarder.ReserveRequest, limit time.Duration, began time.Time, took time.Duration, queued bool) {
	m.mu.Lock()
	paused := m.pausedUntil.After(began)
	m.mu.Unlock()
	if most := limit + grantMargin + askTimeout; took > most && !paused {
		p.sim.t.Errorf("%s: priority %d was answered after %s, queued %t, want at most %s", m.id, request.Priority, took, queued, most)
	}
}
