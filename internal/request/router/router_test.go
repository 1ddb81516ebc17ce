package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

var (
	latencyWeights = router.Cost{StallWeight: 1, BatchWeight: 0.1}
	batchWeights   = router.Cost{StallWeight: 0.3, BatchWeight: 1}
)

func newRouter(p router.Policy) *router.Router {
	return &router.Router{Policy: p, LoadTime: time.Second, ExecutionTime: 500 * time.Millisecond}
}

func ExampleRouter_Choose() {
	r := newRouter(router.Cost{StallWeight: 1})
	terms := r.Choose(router.Request{Adapter: "mill-1@1"}, []router.Candidate{
		{Runner: "r1", Batch: 8, Ramp: 1, Free: 1},
		{Runner: "r2", Batch: 8, Ramp: 1, Resident: true, Running: 3},
	})
	fmt.Println(terms[0].Runner, terms[0].Stall, terms[1].Stall)
	// Output: r2 0 1
}

func TestChoose(t *testing.T) {
	for _, tc := range []struct {
		name       string
		policy     router.Policy
		left       time.Duration
		candidates []router.Candidate
		want       string
	}{
		{
			"resident before idle", latencyWeights, 0,
			[]router.Candidate{{Runner: "idle", Batch: 8, Ramp: 1, Free: 4}, {Runner: "busy", Batch: 8, Ramp: 1, Resident: true, Running: 7}},
			"busy",
		},
		{
			"second copy when the first is overloaded", latencyWeights, 0,
			[]router.Candidate{{Runner: "idle", Batch: 8, Ramp: 1, Free: 4}, {Runner: "drowned", Batch: 8, Ramp: 1, Resident: true, Running: 8, Waiting: 40}},
			"idle",
		},
		{
			"stall weight spreads requests", latencyWeights, 0,
			[]router.Candidate{{Runner: "full", Batch: 8, Ramp: 1, Resident: true, Running: 8}, {Runner: "empty", Batch: 8, Ramp: 1, Resident: true}},
			"empty",
		},
		{
			"batch weight groups requests", batchWeights, 0,
			[]router.Candidate{{Runner: "half", Batch: 8, Ramp: 1, Resident: true, Running: 5}, {Runner: "empty", Batch: 8, Ramp: 1, Resident: true}},
			"half",
		},
		{
			"free slot before eviction", latencyWeights, 0,
			[]router.Candidate{{Runner: "full", Batch: 8, Ramp: 1}, {Runner: "free", Batch: 8, Ramp: 1, Free: 1}},
			"free",
		},
		{
			"own requests count before the next report", latencyWeights, 0,
			[]router.Candidate{{Runner: "sent", Batch: 8, Ramp: 1, Resident: true, Sent: 12}, {Runner: "other", Batch: 8, Ramp: 1, Resident: true, Running: 8}},
			"other",
		},
		{
			"warming engine gets few requests", latencyWeights, 0,
			[]router.Candidate{{Runner: "cold", Batch: 8, Ramp: 0.1, Resident: true, Running: 3}, {Runner: "warm", Batch: 8, Ramp: 1, Resident: true, Running: 8}},
			"warm",
		},
		{
			"least",
			router.Least{},
			0,
			[]router.Candidate{{Runner: "resident", Resident: true, Running: 2}, {Runner: "least", Running: 1}},
			"least",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			terms := newRouter(tc.policy).Choose(router.Request{Adapter: "x@1", TimeLeft: tc.left}, tc.candidates)
			if terms[0].Runner != tc.want {
				t.Errorf("chose %s, want %s: %+v", terms[0].Runner, tc.want, terms)
			}
		})
	}
}

// Measures how the cost of one choice grows with the number of runners of a failure domain.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{75, 150, 300} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			candidates := make([]router.Candidate, n)
			for i := range candidates {
				candidates[i] = router.Candidate{Runner: fmt.Sprintf("runner-%d", i), Batch: 16, Ramp: 1, Running: i % 16}
			}
			r := newRouter(latencyWeights)
			b.ReportAllocs()
			for b.Loop() {
				r.Choose(router.Request{Adapter: "mill-1@1", TimeLeft: time.Second}, candidates)
			}
		})
	}
}

// The FirstToken policy weighs prefill backlog, the cost of another failure domain, and
// resident against absent copies.
func TestFirstToken(t *testing.T) {
	first := router.FirstToken{CrossDomain: 0.015}
	busy := func(id string, running int) router.Candidate {
		return router.Candidate{Runner: id, Resident: true, Running: running}
	}
	for _, tc := range []struct {
		name       string
		candidates []router.Candidate
		want       string
	}{
		{"own domain first", []router.Candidate{{Runner: "away", Resident: true, OtherDomain: true}, {Runner: "near", Resident: true}}, "near"},
		{"other domain if the own runner has a backlog", []router.Candidate{{Runner: "away", Resident: true, OtherDomain: true}, {Runner: "near", Resident: true, Backlog: 50 * time.Millisecond}}, "away"},
		{"resident first", []router.Candidate{{Runner: "there", Resident: true, Backlog: 100 * time.Millisecond}, {Runner: "absent", ReadyIn: 270 * time.Millisecond}}, "there"},
		{"not the runner far above the mean", []router.Candidate{busy("hot", 60), busy("b", 1), busy("c", 1), {Runner: "absent", ReadyIn: 270 * time.Millisecond}}, "b"},
		{"runner that held the adapter before, though no slot is free yet", []router.Candidate{{Runner: "kept", HeldBefore: true, ReadyIn: 300 * time.Millisecond}, {Runner: "absent", ReadyIn: 270 * time.Millisecond}}, "kept"},
		{"another runner if that would take too long", []router.Candidate{{Runner: "kept", HeldBefore: true, ReadyIn: 1800 * time.Millisecond}, {Runner: "absent", ReadyIn: 270 * time.Millisecond}}, "absent"},
		{"failing runner last", []router.Candidate{{Runner: "failing", Resident: true, Failing: 0.5}, {Runner: "sound", Resident: true, Backlog: 300 * time.Millisecond}}, "sound"},
		{"faster runner among equals", []router.Candidate{{Runner: "slow", Resident: true, Own: 90 * time.Millisecond}, {Runner: "fast", Resident: true, Own: 40 * time.Millisecond}}, "fast"},
		{"slower runner if the faster has a backlog", []router.Candidate{{Runner: "slow", Resident: true, Own: 90 * time.Millisecond}, {Runner: "fast", Resident: true, Own: 40 * time.Millisecond, Backlog: 60 * time.Millisecond}}, "slow"},
		{"fast runner in another domain if the own one is much slower", []router.Candidate{{Runner: "away", Resident: true, OtherDomain: true, Own: 40 * time.Millisecond}, {Runner: "near", Resident: true, Own: 60 * time.Millisecond}}, "away"},
		{"not the congested runner", []router.Candidate{{Runner: "crowded", Resident: true, Congested: true}, {Runner: "free", Resident: true, Backlog: 40 * time.Millisecond}}, "free"},
		{"congested runner if the other has a long backlog", []router.Candidate{{Runner: "crowded", Resident: true, Congested: true}, {Runner: "free", Resident: true, Backlog: 100 * time.Millisecond}}, "crowded"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			terms := newRouter(first).Choose(router.Request{Adapter: "x@1"}, tc.candidates)
			if terms[0].Runner != tc.want {
				t.Errorf("chose %s, want %s: %+v", terms[0].Runner, tc.want, terms)
			}
		})
	}
}

// Guards against an adapter that is resident nowhere being loaded on slow runners as often as on
// fast ones, and against instances that do not agree on the first choice.
func TestColdAdaptersPreferFastRunners(t *testing.T) {
	r := newRouter(router.FirstToken{CrossDomain: 0.015})
	count := make(map[string]int)
	const adapters = 20_000
	for n := range adapters {
		terms := r.Choose(router.Request{Adapter: fmt.Sprint("adapter-", n)}, []router.Candidate{
			{Runner: "fast", UsualFactor: 0.5}, {Runner: "mean", UsualFactor: 1}, {Runner: "slow", UsualFactor: 2}, {Runner: "unknown"},
		})
		count[terms[0].Runner]++
	}
	for runner, speed := range map[string]float64{"fast": 2, "mean": 1, "slow": 0.5, "unknown": 1} {
		if got, want := float64(count[runner])/adapters, speed/4.5; got < 0.95*want || got > 1.05*want {
			t.Errorf("%s is the first choice for %.3f of the adapters, want %.3f", runner, got, want)
		}
	}
}

// Measures the cost of one choice among 90 resident candidates, with and without paces.
func BenchmarkFirstToken(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprint("paced=", paced), func(b *testing.B) {
			candidates := make([]router.Candidate, 90)
			for i := range candidates {
				candidates[i] = router.Candidate{Runner: fmt.Sprintf("runner-%d", i), Resident: true, Running: i % 16}
				if paced {
					candidates[i].Own, candidates[i].UsualFactor = time.Duration(50+i)*time.Millisecond, 0.7+float64(i)/90
				}
			}
			r := newRouter(router.FirstToken{CrossDomain: 0.015})
			b.ReportAllocs()
			for b.Loop() {
				r.Choose(router.Request{Adapter: "mill-1@1"}, candidates)
			}
		})
	}
}
