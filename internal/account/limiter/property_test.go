package limiter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var limiterSeeds = flag.Uint64("limiter.seeds", 100, "number of seeds to run the random check of quotas with")

// Guards against quotas that are exceeded when instances fail or callers move.
func TestQuotasAreKept(t *testing.T) {
	for seed := range *limiterSeeds {
		runQuotaSimulation(t, seed)
	}
}

func runQuotaSimulation(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		limit := smallLimit
		if seed%2 == 0 {
			limit = largeLimit
		}
		sim := newSimulation(seed, 0, limit, newLedgerStrategy)
		sim.startInstances(4 + sim.rng.IntN(120))
		sim.runWithFaults(40 * time.Second)
		if excess := sim.excess(); excess > 0 {
			t.Errorf("%d instances: %.0f tokens too many in a window", len(sim.instances), excess)
		}
	})
}

// runWithFaults runs random workloads while instances restart and are partitioned.
func (sim *simulation) runWithFaults(span time.Duration) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		w := calmWorkload(sim)
		w.rate = calmLoad * []float64{0.2, 1, 1, 3, 8}[sim.rng.IntN(5)]
		switch sim.rng.IntN(5) {
		case 0:
			sim.strategy.restart(sim.instances[sim.rng.IntN(len(sim.instances))])
		case 1:
			third := sim.rng.IntN(3)
			sim.partition(time.Duration(sim.rng.IntN(8000))*time.Millisecond, func(i *instance) bool { return i.number%3 == third })
		case 2:
			for _, i := range sim.instances {
				sim.strategy.restart(i)
			}
		}
		sim.run(time.Duration(500+sim.rng.IntN(5000))*time.Millisecond, w)
	}
}

// Guards against requests that are refused although their account is within its quota.
func TestAccountWithinItsQuotaIsNotRefused(t *testing.T) {
	for _, n := range []int{4, 9, 69, 300} {
		for seed := range uint64(10) {
			sim := newSimulation(seed, 0, largeLimit, newLedgerStrategy)
			sim.startInstances(n)
			sim.run(time.Second, workload{targets: []int{0}, mean: meanRequest}) // the ledgers begin empty
			for range 8 {
				sim.run(3*time.Second, calmWorkload(sim)) // callers move to other instances
			}
			if fraction := float64(sim.wronglyRefused) / float64(sim.requested); fraction > 0 {
				t.Errorf("%d instances, seed %d: %.4f of the requested tokens were wrongly refused", n, seed, fraction)
			}
		}
	}
}

// Seeds with which TestQuotasAreKept once failed: the tokens saved up by unresponsive instances
// were spent twice, or several ledgers admitted the same tokens.
func TestQuotasOfSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{58, 106, 176, 750, 818, 1514, 1747, 2358, 2528, 3460, 3480, 4318, 6630, 6954, 7704} {
		runQuotaSimulation(t, seed)
	}
}
