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
