package gatekeeper

import (
	"sync"
	"time"
)

// A dependency is something that the instance needs and that may be away.
type dependency struct {
	mu     sync.Mutex
	down   bool
	since  time.Time // of the last change; the return for whoever reached it first, as far as is known
	away   time.Time // when a call was sent last that failed, or the instance had stood still
	own    reach     // by calls that succeeded
	others reach     // by those of other instances
}

// set takes in whether a call succeeded that was sent at a time, and reports whether
// that changed what is known. A failure of a call that was sent before another one
// succeeded says nothing: calls into an outage fail when it is over. Each made the
// instance find the store lost and back once more.
func (d *dependency) set(up bool, sent, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up {
		d.own.seen(now, now)
	} else if sent.After(d.away) {
		d.away = sent
	}
	changed := d.down == up && (up || !sent.Before(d.own.last))
	if changed {
		d.down = !up
		d.since = now
		d.returnWithOthers(now)
	}
	return changed
}

// reachedByOthers takes in that another instance has reached the dependency from one time
// to another.
func (d *dependency) reachedByOthers(from, to, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others.seen(from, to)
	d.returnWithOthers(now)
}

// returnWithOthers moves the return back to that for others, who may have been first.
func (d *dependency) returnWithOthers(now time.Time) {
	if !d.down && d.others.lasts(now) && d.others.first.Before(d.since) {
		d.since = d.others.first
	}
}

// reached returns over which span the dependency was reached: by calls of this instance,
// and before them by those of others; ok is false if this one does not reach it now.
func (d *dependency) reached(now time.Time) (first, last time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.own.first
	if d.others.lasts(now) && first.Sub(d.others.last) <= briefBreak && d.others.first.Before(first) {
		first = d.others.first
	}
	return first, d.own.last, d.own.lasts(now)
}

// returned returns when the dependency came back for whoever reached it first; away is false
// if it never was away for this instance. Counted from its own return, runners that had left
// were used for as much longer as it came back later than others.
func (d *dependency) returned(now time.Time) (at time.Time, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down && d.others.lasts(now):
		return d.others.first, true
	case d.down:
		return now, true // what is taken in now comes with the first answer
	default:
		return d.since, !d.since.IsZero()
	}
}

// stoodStill takes in that the instance did nothing until now: its calls under way say
// nothing of how long the dependency was away.
func (d *dependency) stoodStill(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.After(d.away) {
		d.away = now
	}
}

// lastAway returns when the dependency may have been away last.
func (d *dependency) lastAway() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away
}

// back returns when the dependency came back; the zero time if it never was
// away.
func (d *dependency) back() (at time.Time, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since, d.down
}
