package gatekeeper

import "time"

// A reach is the span over which something was reached without a break. Its zero value is
// ready.
type reach struct {
	first time.Time
	last  time.Time
}

// briefBreak is how long the store may not be reached without that any row lapses: rows of
// runners stay for longer without a heartbeat.
const briefBreak = 2 * time.Second

// seen takes in that it was reached from one time to another.
func (r *reach) seen(from, to time.Time) {
	switch {
	case r.first.IsZero(), from.Sub(r.last) > briefBreak:
		r.first, r.last = from, to
		return
	case r.first.Sub(to) > briefBreak:
		return // told late: a span from before the break
	}
	if from.Before(r.first) {
		r.first = from
	}
	r.last = later(r.last, to)
}

// lasts reports whether it is reached now.
func (r *reach) lasts(now time.Time) bool { return !r.first.IsZero() && now.Sub(r.last) <= briefBreak }
