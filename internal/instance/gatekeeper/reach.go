package gatekeeper

import (
	"sync"
	"time"
)

// A reach is the span over which something was reached without a break. Its zero value is
// ready; it is safe for concurrent use.
type reach struct {
	mu    sync.Mutex
	first time.Time
	last  time.Time
}

// briefBreak is how long the store may not be reached without that any row lapses: rows of
// runners stay for longer without a heartbeat.
const briefBreak = 2 * time.Second

// seen takes in that it was reached from one time to another.
func (r *reach) seen(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// span returns since when it is reached, and when it was last; ok is false if that is too
// long ago.
func (r *reach) span(now time.Time) (first, last time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, r.last, !r.first.IsZero() && now.Sub(r.last) <= briefBreak
}
