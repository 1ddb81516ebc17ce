package gatekeeper

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/identifier"
	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

var testLimit = limiter.Limit{Rate: 1000, Burst: 1000}

// newQuotaSimulation returns a deployment of two failure domains whose configuration has an account
// with a quota.
func newQuotaSimulation(t *testing.T) *simulation {
	s := newSimulation(t, rand.New(rand.NewPCG(1, 1)), 2, 6)
	for _, m := range s.instances {
		s.settleQuotas(t, m)
	}
	s.advance(3*time.Second, newChecker(s))
	return s
}

// settleQuotas configures the account on an instance and starts settling, as its process does.
func (s *simulation) settleQuotas(t *testing.T, m *member) {
	g, ctx := m.running()
	accounts := &identifier.Directory{}
	if err := accounts.Add(identifier.Account{Name: "mill", Limit: testLimit}, nil); err != nil {
		t.Fatal(err)
	}
	g.catalog.Store(&matcher.Catalog{Version: 1 << 40, Accounts: accounts})
	go g.settleQuotas(ctx)
}

// admit sends a request to the instance, and returns the refusal if it is not admitted.
func (m *member) admit(tokens int64) *judge.Error {
	g, ctx := m.running()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return g.Admit(ctx, limiter.Request{Account: "mill", Limit: testLimit, Tokens: tokens})
}

// sendRequests sends requests of 50 tokens to the instances in turn, and returns how many tokens
// were admitted.
func (s *simulation) sendRequests(span, every time.Duration) (tokens int64) {
	for end, n := time.Now().Add(span), 0; time.Now().Before(end); n++ {
		if m := s.instances[n%len(s.instances)]; m.admit(50) == nil {
			tokens += 50
		}
		time.Sleep(every)
	}
	return tokens
}

// floodPause is the pause between requests that add up to 25 times the quota, and calmPause between
// those that add up to 0.8 of it.
const (
	floodPause = 2 * time.Millisecond
	calmPause  = 60 * time.Millisecond
)

func TestQuotaAppliesAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuotaSimulation(t)
		if got := s.sendRequests(5*time.Second, floodPause); got < 5000 || got > 6600 {
			t.Errorf("%d tokens admitted in 5 s, with rate 1000 and burst 1000", got)
		}
		s.end()
	})
}

// Guards against a quota that is refilled, or empty, after its leader has been replaced.
func TestQuotaSurvivesLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuotaSimulation(t)
		spent := s.sendRequests(3*time.Second, floodPause)
		leader := s.leader("a")
		leader.kill()
		leader.start()
		s.settleQuotas(t, leader)
		for _, m := range s.instances {
			if m != leader && m.domain == "a" {
				s.giveLease("a", m)
				break
			}
		}
		spent += s.sendRequests(5*time.Second, floodPause)
		if spent < 5000 || spent > 10000 {
			t.Errorf("%d tokens admitted in 8 s, with rate 1000 and burst 1000", spent)
		}
		s.end()
	})
}

// Guards against an instance that is cut off and spends the whole quota.
func TestPartitionedInstanceKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuotaSimulation(t)
		s.sendRequests(10*time.Second, calmPause) // its share becomes a sixth
		alone := s.instances[5]
		alone.recordFault(&alone.partitionedUntil, time.Now().Add(20*time.Second))
		tokens := int64(0)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			if alone.admit(10) == nil {
				tokens += 10
			}
			time.Sleep(20 * time.Millisecond)
		}
		if tokens < 1200 || tokens > 2500 {
			t.Errorf("one of six instances, cut off, admits %d tokens in 10 s, with rate 1000", tokens)
		}
		s.end()
	})
}

// An instance has restarted, reaches no other one and so knows no balance. Its refusal must come
// within a second, and state that the request has not run and when to retry. Guards against a
// request that is refused although its tokens were charged to the account.
func TestUnknownQuotaIsRefusedAsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuotaSimulation(t)
		m := s.instances[5]
		m.recordFault(&m.partitionedUntil, time.Now().Add(time.Minute))
		m.kill()
		m.start()
		s.settleQuotas(t, m)
		began := time.Now()
		err := m.admit(10)
		if err == nil || err.Reason != judge.ReasonStarting || err.Verdict != judge.NotRun || err.RetryAfter <= 0 {
			t.Errorf("refused with %+v", err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("refusal took %s", took)
		}
		s.end()
	})
}
