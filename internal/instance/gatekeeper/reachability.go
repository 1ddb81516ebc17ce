package gatekeeper

import "time"

// reachability is the span during which a dependency was reachable without interruption. Its
// zero value is ready.
type reachability struct {
	first time.Time
	last  time.Time
}

// maxGap is how long the store may be unreachable without any row expiring: rows of runners
// stay for longer without a heartbeat.
const maxGap = 2 * time.Second

// observe records that the dependency was reachable from one time to another.
func (r *reachability) observe(from, to time.Time) {
	switch {
	case r.first.IsZero(), from.Sub(r.last) > maxGap:
		r.first, r.last = from, to
		return
	case r.first.Sub(to) > maxGap:
		return // a late report of a span before the interruption
	}
	if from.Before(r.first) {
		r.first = from
	}
	r.last = laterOf(r.last, to)
}

// current reports whether the dependency is reachable now.
func (r *reachability) current(now time.Time) bool {
	return !r.first.IsZero() && now.Sub(r.last) <= maxGap
}
