package limiter

import (
	"math"
	"time"
)

// demandTimeConstant is the age at which demand has decayed to about a third (1/e). It covers two
// settlements of an instance and one exchange between leaders. When an account ceases to ask for
// 3.5 times its rate, its demand falls below the rate within 0.6 s.
const demandTimeConstant = 300 * time.Millisecond

// A reportedDemand is the demand of one reporter, as a Ledger derives it from the reported
// counters. Between reports it is held, so that the sum over reporters does not ripple.
type reportedDemand struct {
	asked [urgencyLevels]int64 // the reporter's counters
	at    time.Time            // of the report
	rate  demand
}

// update applies the counters of a report. It returns the tokens asked for since the last report.
func (r *reportedDemand) update(asked []int64, now time.Time) (tokens [urgencyLevels]int64) {
	interval := max(0, now.Sub(r.at).Seconds())
	keep := math.Exp(-interval / demandTimeConstant.Seconds())
	gain := 1 / demandTimeConstant.Seconds() // limit for an interval of zero
	if interval > 0 {
		gain = (1 - keep) / interval
	}
	for u := range min(urgencyLevels, len(asked)) {
		tokens[u] = max(0, asked[u]-r.asked[u])
		r.asked[u] = asked[u]
		r.rate[u] = r.rate[u]*keep + float64(tokens[u])*gain
	}
	r.at = now
	return tokens
}

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

// statedDemand is the fraction of the rate beyond which a Ledger states the demand for a quota in
// its balances: below it most of the rate is left to returning callers anyway.
const statedDemand = 0.5

// stated returns the demand as stated in a Balance; nil if it is low.
func (d *demand) stated(l Limit) []int64 {
	if d.upTo(urgencyLevels-1) <= statedDemand*l.Rate {
		return nil
	}
	stated := make([]int64, urgencyLevels)
	for u := range d {
		stated[u] = int64(d[u])
	}
	return stated
}
