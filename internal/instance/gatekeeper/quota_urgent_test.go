package gatekeeper

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
)

// newUrgentSimulation returns a deployment as newQuotaSimulation does, whose instances have the
// given setting of load.quota.
func newUrgentSimulation(t *testing.T, quota configurer.Switch) *simulation {
	s := newSimulationWithLoad(t, rand.New(rand.NewPCG(1, 1)), 2, 6, configurer.Load{Quota: quota})
	for _, m := range s.instances {
		s.settleQuotas(t, m)
	}
	s.advance(3*time.Second, newChecker(s))
	return s
}

// admitUrgent sends a request of an urgency to the instance.
func (m *member) admitUrgent(tokens int64, urgency int) *judge.Error {
	g, ctx := m.running()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return g.Admit(ctx, limiter.Request{Account: "mill", Limit: testLimit, Tokens: tokens, Urgency: urgency})
}

// flood sends requests of 25 tokens, of which one in five is urgent, in all 3 times the quota. It
// returns the fraction of each urgency that is admitted, and the last refusal.
func (s *simulation) flood(span time.Duration) (admitted [2]float64, refusal *judge.Error) {
	var mu sync.Mutex
	var sent sync.WaitGroup
	var requests, passed [2]float64
	for end, n := time.Now().Add(span), 0; time.Now().Before(end); n++ {
		urgency := min(1, n%5)
		requests[urgency]++
		m := s.instances[n%len(s.instances)]
		sent.Go(func() {
			err := m.admitUrgent(25, urgency)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				passed[urgency]++
			} else if urgency == 1 {
				refusal = err
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	sent.Wait()
	for u := range admitted {
		admitted[u] = passed[u] / requests[u]
	}
	return admitted, refusal
}

// metrics returns the metrics page of an instance.
func (m *member) metrics() string {
	var page strings.Builder
	g, _ := m.running()
	g.Metrics.WritePrometheus(&page)
	return page.String()
}

// Guards against urgent requests of an account that are refused because its less urgent ones have
// spent the quota, and against refusals that do not say so.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUrgentSimulation(t, configurer.On)
		_, _ = s.flood(2 * time.Second)
		admitted, refusal := s.flood(5 * time.Second)
		if admitted[0] < 0.85 || admitted[1] < 0.02 {
			t.Errorf("%.2f of the urgent requests are admitted, and %.2f of the others", admitted[0], admitted[1])
		}
		if refusal == nil || refusal.RetryAfter < 5*time.Second || !strings.Contains(refusal.Message, "reserved for other urgencies than 1") {
			t.Errorf("refused with %+v", refusal)
		}
		page := s.instances[0].metrics()
		for _, name := range []string{`sardinetiller_quota_reserved_total{urgency="1"}`, `sardinetiller_returns_total{result="promised"}`} {
			if !strings.Contains(page, name) {
				t.Errorf("no %s in the metrics", name)
			}
		}
		s.end()
	})
}

// Guards against decisions, refusals and metrics that change where the part is off.
func TestRequestsAreAdmittedAlikeUnlessSwitchedOn(t *testing.T) {
	for _, quota := range []configurer.Switch{"", configurer.Auto, configurer.Off} {
		synctest.Test(t, func(t *testing.T) {
			s := newUrgentSimulation(t, quota)
			_, _ = s.flood(2 * time.Second)
			admitted, refusal := s.flood(5 * time.Second)
			if admitted[0] > 0.6 {
				t.Errorf("%q: %.2f of the urgent requests are admitted, and %.2f of the others", quota, admitted[0], admitted[1])
			}
			if refusal == nil || strings.Contains(refusal.Message, "reserved") {
				t.Errorf("%q: refused with %+v", quota, refusal)
			}
			if page := s.instances[0].metrics(); strings.Contains(page, "returns_total") || strings.Contains(page, "reserved") {
				t.Errorf("%q: %s", quota, page)
			}
			g, _ := s.instances[0].running()
			for _, spent := range g.quotas.spender.Report(time.Now()) {
				if spent.Asked != nil || spent.Level != 0 {
					t.Errorf("%q: reports %+v", quota, spent)
				}
			}
			s.end()
		})
	}
}

func TestRefuseQuota(t *testing.T) {
	r := limiter.Request{Account: "mill", Tokens: 20, Urgency: 2}
	var got []string
	for _, d := range []limiter.QuotaExceeded{{Left: 3, Age: time.Second}, {Left: 30, Age: time.Second, Reserved: 40, ByReserve: true}} {
		got = append(got, refuseQuota(r, d, "front-1").Message)
	}
	want := []string{
		"account mill asks for 20 tokens and has 3 left, as front-1 knew 1s ago",
		"account mill asks for 20 tokens and has 30 left, with 40 reserved for other urgencies than 2, as front-1 knew 1s ago",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
