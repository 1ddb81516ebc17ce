package limiter

import "time"

// longExcess is how long demand must exceed the rate until callers are told that nothing is left
// for them. Until then they are told to return no earlier than at its end, when a shorter peak is
// over. It outlasts peaks of some hundred milliseconds and the 0.6 s that their demand takes to
// fall below the rate after them (demandTimeConstant). Two peaks with less than this between them
// are one excess: demand close to the rate falls below it between reports.
const longExcess = 1500 * time.Millisecond

// An excess is the time in which an urgency level and more urgent ones ask for the whole rate.
type excess struct {
	since     time.Time // zero: there was none yet
	lastKnown time.Time // latest time at which there was one
	isCurrent bool
}

// observe records whether the whole rate is asked for.
func (e *excess) observe(isCurrent bool, now time.Time) {
	e.isCurrent = isCurrent
	if !isCurrent {
		return
	}
	if e.since.IsZero() || now.Sub(e.lastKnown) > longExcess {
		e.since = now
	}
	e.lastKnown = now
}

// isLong reports whether there is an excess that is not a short peak.
func (e *excess) isLong(now time.Time) bool {
	return e.isCurrent && now.Sub(e.since) >= longExcess
}
