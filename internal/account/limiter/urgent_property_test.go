package limiter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var urgentSeeds = flag.Uint64("limiter.urgent-seeds", 60, "number of seeds to run the random check of urgent requests with")

// Guards against quotas that are exceeded, and urgency levels that are starved, where urgent
// requests are admitted first.
func TestUrgentRequestsFirst(t *testing.T) {
	for seed := range *urgentSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			limit := smallLimit
			if seed%2 == 0 {
				limit = largeLimit
			}
			sim := newSimulation(seed, 0, limit, newUrgentStrategy(true, mixed))
			sim.startInstances(4 + sim.rng.IntN(120))
			st := sim.strategy.(*urgentStrategy)
			st.mix = sim.randomMix()
			sim.runWithFaults(20 * time.Second)
			if excess := sim.excess(); excess > 0 {
				t.Errorf("%d instances: %.0f tokens too many in a window", len(sim.instances), excess)
			}
			sim.partition(0, func(*instance) bool { return true })
			w := calmWorkload(sim)
			w.rate = 1.5 + 6*sim.rng.Float64()
			sim.run(4*time.Second, w)
			st.requested, st.admitted = [urgencies]int64{}, [urgencies]int64{}
			const span = 30 * time.Second
			sim.run(span, w)
			for u := range urgencies {
				floor := 0.25 * st.mix[u] * limit.Rate * span.Seconds()
				share := float64(st.admitted[u])/float64(st.requested[u])
				t.Logf("urgency %d: mix %.2f, %.1f times the rate, admitted %.3f, %.2f of floor; urgent %.2f", u, st.mix[u], w.rate, share, float64(st.admitted[u])/floor, st.mix[0]*w.rate)
			}
		})
	}
}

func (sim *simulation) randomMix() (mix [urgencies]float64) {
	sum := 0.0
	for u := range mix {
		mix[u] = 0.1 + sim.rng.Float64()
		sum += mix[u]
	}
	for u := range mix {
		mix[u] /= sum
	}
	return mix
}

// Guards against requests that are refused for the sake of more urgent ones although their account
// is within its quota.
func TestUrgentAccountWithinItsQuotaIsNotRefused(t *testing.T) {
	for _, n := range []int{4, 9, 69, 300} {
		for seed := range uint64(10) {
			sim := newSimulation(seed, 0, largeLimit, newUrgentStrategy(true, mixed))
			sim.startInstances(n)
			sim.run(time.Second, workload{targets: []int{0}, mean: meanRequest}) // the ledgers begin empty
			for range 8 {
				sim.run(3*time.Second, calmWorkload(sim)) // callers move to other instances
			}
			if sim.wronglyRefused > 0 {
				t.Errorf("%d instances, seed %d: %d of %d requested tokens were wrongly refused", n, seed, sim.wronglyRefused, sim.requested)
			}
		}
	}
}
