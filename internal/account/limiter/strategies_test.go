package limiter_test

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// Limits of a small and of a large account. The smallest accounts send two requests a second.
var (
	smallLimit = limiter.Limit{Rate: 4200, Burst: 4200}
	largeLimit = limiter.Limit{Rate: 300000, Burst: 300000}
)

const meanRequest = 1700 // tokens

// calmLoad is the usual load, as a multiple of the limit.
const calmLoad = 0.55

// A scenario is a sequence of workloads and faults.
type scenario struct {
	name string
	run  func(sim *simulation)
}

func sample(sim *simulation, n int) []int {
	return sim.rng.Perm(len(sim.instances))[:min(n, len(sim.instances))]
}

func calmWorkload(sim *simulation) workload {
	return workload{rate: calmLoad, targets: sample(sim, max(3, len(sim.instances)/4)), mean: meanRequest}
}

// peak returns the workload at eight times its rate.
func (w workload) peak() workload {
	w.rate *= 8
	return w
}

var scenarios = []scenario{
	{"usual load", func(sim *simulation) { sim.run(30*time.Second, calmWorkload(sim)) }},
	{"eight times the usual load", func(sim *simulation) {
		w := calmWorkload(sim)
		sim.run(10*time.Second, w)
		sim.run(10*time.Second, w.peak())
		sim.run(10*time.Second, w)
	}},
	{"callers move", func(sim *simulation) {
		for range 10 {
			sim.run(3*time.Second, calmWorkload(sim))
		}
	}},
	{"all requests at one instance", func(sim *simulation) {
		sim.run(10*time.Second, calmWorkload(sim))
		sim.run(10*time.Second, workload{rate: calmLoad, targets: sample(sim, 1), mean: meanRequest})
	}},
	{"all restart at eight times the usual load", func(sim *simulation) {
		w := calmWorkload(sim)
		sim.run(10*time.Second, w)
		sim.run(4*time.Second, w.peak())
		for _, i := range sim.instances {
			sim.strategy.restart(i)
		}
		sim.run(10*time.Second, w.peak())
	}},
	{"a third partitioned at eight times the load", func(sim *simulation) {
		w := calmWorkload(sim)
		sim.run(10*time.Second, w)
		sim.partition(8*time.Second, func(i *instance) bool { return i.number%3 == 1 })
		sim.run(10*time.Second, w.peak())
		sim.run(5*time.Second, w)
	}},
	{"a third partitioned at the usual load", func(sim *simulation) {
		w := calmWorkload(sim)
		sim.run(10*time.Second, w)
		sim.partition(8*time.Second, func(i *instance) bool { return i.number%3 == 1 })
		sim.run(15*time.Second, w)
	}},
	{"a leader partitioned", func(sim *simulation) {
		w := calmWorkload(sim)
		sim.run(10*time.Second, w)
		sim.partition(3*time.Second, func(i *instance) bool { return i.number == 1 })
		sim.run(15*time.Second, w)
	}},
}

// Compares the strategies to enforce a quota; go test -v -run TestStrategies shows the table.
func TestStrategies(t *testing.T) {
	for _, limit := range []limiter.Limit{smallLimit, largeLimit} {
		for _, n := range []int{3, 9, 69, 300} {
			for _, s := range scenarios {
				for _, candidate := range []struct {
					name        string
					newStrategy func(sim *simulation) strategy
				}{{"evenly", newEvenSplit}, {"by demand", newDemandSplit}, {"ledger", newLedgerStrategy}} {
					sim := newSimulation(1, max(n, domains), limit, candidate.newStrategy)
					s.run(sim)
					t.Logf("%6.0f tokens/s, %3d instances, %-42s %-10s exceeded by %6.0f tokens, served %.3f, %5.2f %% wrongly refused, %6d messages",
						limit.Rate, n, s.name, candidate.name, sim.excess(), sim.served(), 100*float64(sim.wronglyRefused)/float64(sim.requested), sim.messages)
				}
			}
		}
	}
}
