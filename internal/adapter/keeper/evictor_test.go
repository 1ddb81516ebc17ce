package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
)

// A trace is the adapter of each request, with one request every 50 ms.
type trace []int

const every = 50 * time.Millisecond

// newTrace draws adapters by a Zipf distribution over 3,000 adapters. The set of
// popular adapters changes abruptly as many times as shifts says.
func newTrace(seed uint64, requests, shifts int) trace {
	const adapters = 3000
	random := rand.New(rand.NewPCG(seed, 0))
	zipf := rand.NewZipf(random, 1.3, 1, adapters-1)
	t := make(trace, requests)
	for i := range t {
		shift := i * (shifts + 1) / requests
		t[i] = (int(zipf.Uint64()) + shift*adapters/7) % adapters
	}
	return t
}

// misses replays the trace on a keeper and returns the number of requests whose
// adapter was not resident.
func (t trace) misses(policy keeper.Evictor, slots int) int {
	k := &keeper.Keeper{Capacity: slots, Policy: policy, Self: "i"}
	k.Acquire(1, nil)
	missed := 0
	now := start
	for _, adapter := range t {
		now = now.Add(every)
		name := fmt.Sprintf("a-%d@1", adapter)
		if !k.Servable(name) {
			missed++
			for !k.Servable(name) {
				_ = k.Finish(k.NextOrder(name, now), keeper.Done, now) // an eviction, then the load
			}
		}
		handle, _ := k.Pin(name)
		k.Unpin(handle)
	}
	return missed
}

// bound returns the misses of Belady's optimal policy, which evicts the adapter whose
// next use is furthest in the future.
func (t trace) bound(slots int) int {
	next := make([]int, len(t)) // next use of the same adapter
	last := make(map[int]int)
	for i := len(t) - 1; i >= 0; i-- {
		next[i] = len(t)
		if later, ok := last[t[i]]; ok {
			next[i] = later
		}
		last[t[i]] = i
	}
	resident := make(map[int]int) // next use by adapter
	missed := 0
	for i, adapter := range t {
		if _, ok := resident[adapter]; !ok {
			missed++
			if len(resident) == slots {
				delete(resident, furthest(resident))
			}
		}
		resident[adapter] = next[i]
	}
	return missed
}

func furthest(resident map[int]int) int {
	victim, latest := -1, -1
	for adapter, nextUse := range resident {
		if nextUse > latest || (nextUse == latest && adapter < victim) {
			victim, latest = adapter, nextUse
		}
	}
	return victim
}

func TestPoliciesMissNoLessThanBelady(t *testing.T) {
	for seed := range uint64(5) {
		for _, shifts := range []int{0, 4} {
			drawn := newTrace(seed, 2000, shifts)
			bound := drawn.bound(8)
			for _, policy := range []keeper.Evictor{keeper.Heat{}, keeper.LRU{}} {
				if got := drawn.misses(policy, 8); got < bound {
					t.Errorf("%T missed %d, less than the bound %d", policy, got, bound)
				}
			}
		}
	}
}

// BenchmarkEviction reports the misses per 1,000 requests of the policies, and those
// of Belady's optimal policy as the lower bound.
func BenchmarkEviction(b *testing.B) {
	for _, shifts := range []int{0, 4} {
		for _, slots := range []int{8, 32} {
			b.Run(fmt.Sprintf("shifts=%d/slots=%d", shifts, slots), func(b *testing.B) {
				const seeds, requests = 5, 10000
				var heat, lru, bound int
				for b.Loop() {
					heat, lru, bound = 0, 0, 0
					for seed := range uint64(seeds) {
						t := newTrace(seed, requests, shifts)
						heat += t.misses(keeper.Heat{}, slots)
						lru += t.misses(keeper.LRU{}, slots)
						bound += t.bound(slots)
					}
				}
				thousands := float64(seeds*requests) / 1000
				b.ReportMetric(float64(heat)/thousands, "heat/1000")
				b.ReportMetric(float64(lru)/thousands, "lru/1000")
				b.ReportMetric(float64(bound)/thousands, "belady/1000")
			})
		}
	}
}
