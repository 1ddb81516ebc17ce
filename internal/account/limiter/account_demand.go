package limiter

import "time"

// An accountDemand is the demand for an account's quota over all instances, as known to a Ledger.
type accountDemand struct {
	asked [urgencyLevels]int64 // tokens asked for by the Spenders that report to this Ledger
	fast  demand               // sum over all reporters
	slow  [urgencyLevels]meter
}

// apply applies the counters that a reporter states. The first ones are only a base to count from.
func (a *accountDemand) apply(e *entry, from Reporter, asked []int64, now time.Time) {
	if e.demand == nil {
		e.demand = &reportedDemand{at: now}
		copy(e.demand.asked[:], asked)
		return
	}
	a.fast.add(e.demand.rate, -1)
	tokens := e.demand.update(asked, now)
	a.fast.add(e.demand.rate, 1)
	for u, n := range tokens {
		if n == 0 {
			continue
		}
		a.slow[u].add(float64(n), now)
		if !from.isLedger() {
			a.asked[u] += n
		}
	}
}

// forget removes the demand of a reporter that is unresponsive or removed.
func (a *accountDemand) forget(e *entry) {
	if e.demand != nil {
		a.fast.add(e.demand.rate, -1)
		e.demand = nil
	}
}

// total returns the demand of all reporters. Until more than the rate has been asked for over the
// time constant of a meter, the lower of the two rates counts: single requests of small accounts
// do not make it exceed the rate. It falls at once when less is asked for.
func (a *accountDemand) total(l Limit, now time.Time) demand {
	var slow demand
	for u := range slow {
		slow[u] = a.slow[u].value(now)
	}
	if slow.exceeds(l) {
		return a.fast
	}
	for u := range slow {
		slow[u] = min(slow[u], a.fast[u])
	}
	return slow
}
