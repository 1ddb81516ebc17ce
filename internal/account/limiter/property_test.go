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
		l := newSimulation(seed, 0, limit, newLedgerStrategy)
		l.startInstances(4 + l.rng.IntN(120))
		l.runWithFaults(40 * time.Second)
		if excess := l.excess(); excess > 0 {
			t.Errorf("%d instances: %.0f tokens too many in a window", len(l.instances), excess)
		}
	})
}

// runWithFaults runs random workloads while instances restart and are partitioned.
func (l *simulation) runWithFaults(span time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); {
		d := calmWorkload(l)
		d.rate = calmLoad * []float64{0.2, 1, 1, 3, 8}[l.rng.IntN(5)]
		switch l.rng.IntN(5) {
		case 0:
			l.strategy.restart(l.instances[l.rng.IntN(len(l.instances))])
		case 1:
			third := l.rng.IntN(3)
			l.partition(time.Duration(l.rng.IntN(8000))*time.Millisecond, func(i *instance) bool { return i.number%3 == third })
		case 2:
			for _, i := range l.instances {
				l.strategy.restart(i)
			}
		}
		l.run(time.Duration(500+l.rng.IntN(5000))*time.Millisecond, d)
	}
}

// Guards against requests that are refused although their account is within its quota.
func TestAccountWithinItsQuotaIsNotRefused(t *testing.T) {
	for _, n := range []int{4, 9, 69, 300} {
		for seed := range uint64(10) {
			l := newSimulation(seed, 0, largeLimit, newLedgerStrategy)
			l.startInstances(n)
			l.run(time.Second, workload{targets: []int{0}, mean: meanRequest}) // the ledgers begin with nothing left
			for range 8 {
				l.run(3*time.Second, calmWorkload(l)) // callers move to other instances
			}
			if fraction := float64(l.wronglyRefused) / float64(l.requested); fraction > 0 {
				t.Errorf("%d instances, seed %d: %.4f of the requested tokens were wrongly refused", n, seed, fraction)
			}
		}
	}
}

// Seeds with which TestQuotasAreKept once failed: the tokens saved up by unresponsive instances
// were spent twice, or several ledgers admitted the same tokens.
func TestQuotasOfSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{58, 106, 176, 750, 818, 1514} {
		runQuotaSimulation(t, seed)
	}
}
