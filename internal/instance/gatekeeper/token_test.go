package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// limitOf returns the request rate that an instance keeps to at a runner; 0 for no limit.
func (m *member) limitOf(runner string) float64 { return m.gatekeeper().Fleet.Limit(runner).PerSecond }

// restart replaces the process of an instance.
func (m *member) restart() {
	m.kill()
	m.recordFault(nil, time.Now())
	m.start()
}

// hear makes an instance receive a statement of a runner in a response now.
func (m *member) hear(runner string, limit tracker.RateLimit) {
	g := m.gatekeeper()
	known, _ := g.Fleet.Get(runner)
	limit.AsOf = time.Now()
	g.ObserveNotice(known, tracker.Notice{Limit: limit})
}

// limitsOf returns the request rates that the instances keep to at a runner.
func (s *simulation) limitsOf(runner string) []float64 {
	var limits []float64
	for _, m := range s.instances {
		limits = append(limits, m.limitOf(runner))
	}
	return limits
}

// Guards against a limit that only those instances keep to that the runner has told.
func TestLimitIsPublishedToAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSettledSimulation(t, 4)
		defer s.end()
		runner := s.runners[0].id
		s.instances[2].hear(runner, tracker.RateLimit{Limited: true, PerSecond: 2})
		s.advance(time.Second, c)
		if diff := cmp.Diff([]float64{2, 2, 2, 2}, s.limitsOf(runner)); diff != "" {
			t.Error(diff)
		}
		s.instances[3].restart()
		s.advance(4*time.Second, c)
		if got := s.instances[3].limitOf(runner); got != 2 {
			t.Errorf("an instance that has restarted keeps to a limit of %g, want 2", got)
		}
	})
}

// Guards against a new leader that grants tokens without a limit.
func TestNewLeaderLearnsOfLimitsWithTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSettledSimulation(t, 3)
		defer s.end()
		runner := s.runners[0].id
		s.instances[1].hear(runner, tracker.RateLimit{Limited: true, PerSecond: 2})
		s.advance(time.Second, c)
		leader := s.instances[0]
		leader.restart()
		s.giveLease("a", leader)
		s.advance(time.Second, c)
		if got := leader.limitOf(runner); got != 0 {
			t.Fatalf("the new leader knows a limit of %g already; the test shows nothing", got)
		}
		g, ctx := s.instances[1].running()
		granted := g.TakeToken(ctx, runner)
		if diff := cmp.Diff([]any{false, 2.0}, []any{granted, leader.limitOf(runner)}); diff != "" {
			t.Errorf("first token of a new leader: %s", diff)
		}
	})
}

// Guards against requests without a token while no leader answers.
func TestWithoutALeaderLimitedRunnersGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSettledSimulation(t, 2)
		defer s.end()
		runner := s.runners[0].id
		m := s.instances[1]
		m.hear(runner, tracker.RateLimit{Limited: true, PerSecond: 100})
		s.instances[0].stepDown("a")
		time.Sleep(10 * time.Second)
		g, ctx := m.running()
		if g.TakeToken(ctx, runner) {
			t.Error("a token was granted without a leader")
		}
		if g.Fleet.AnyEligible(tracker.Demand{Service: "llm"}, time.Now()) {
			t.Error("the runner is eligible at once after a denial")
		}
		time.Sleep(2 * noAnswerWait)
		if !g.Fleet.AnyEligible(tracker.Demand{Service: "llm"}, time.Now()) {
			t.Error("the runner is not tried again")
		}
	})
}

// Guards against a limit that the runner has ended and that instances go on keeping to, and
// against one that is ended by a response to a request sent before it was stated.
func TestEndOfLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSettledSimulation(t, 3)
		defer s.end()
		runner := s.runners[0].id
		before := time.Now()
		time.Sleep(time.Second)
		s.instances[1].hear(runner, tracker.RateLimit{Limited: true, PerSecond: 50})
		s.advance(time.Second, c)
		g := s.instances[2].gatekeeper()
		known, _ := g.Fleet.Get(runner)
		g.ObserveNotice(known, tracker.Notice{Limit: tracker.RateLimit{AsOf: before}})
		s.advance(time.Second, c)
		if diff := cmp.Diff([]float64{50, 50, 50}, s.limitsOf(runner)); diff != "" {
			t.Errorf("after a response that was overtaken: %s", diff)
		}
		s.instances[2].hear(runner, tracker.RateLimit{})
		s.advance(time.Second, c)
		for _, m := range s.instances {
			g, ctx := m.running()
			g.TakeToken(ctx, runner)
		}
		if diff := cmp.Diff([]float64{0, 0, 0}, s.limitsOf(runner)); diff != "" {
			t.Errorf("after the limit has ended: %s", diff)
		}
	})
}
