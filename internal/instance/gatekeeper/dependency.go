package gatekeeper

import (
	"sync"
	"time"
)

// A dependency tracks whether something that the instance needs, such as the store, is
// available.
type dependency struct {
	mu          sync.Mutex
	down        bool
	changedAt   time.Time    // of the last change; if available: when it became available again, as seen by the first instance to reach it
	lastFailure time.Time    // latest send time of a failed call, or the end of a stall of this instance
	own         reachability // by successful calls of this instance
	others      reachability // by successful calls of other instances
}

// observe records the outcome of a call that was sent at the given time, and reports whether
// the availability changed. A failure of a call that was sent before another one succeeded is
// ignored: calls sent during an outage may fail after its end, and each of them made the instance
// record another loss and recovery of the store.
func (d *dependency) observe(up bool, sent, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up {
		d.own.observe(now, now)
	} else if sent.After(d.lastFailure) {
		d.lastFailure = sent
	}
	changed := d.down == up && (up || !sent.Before(d.own.last))
	if changed {
		d.down = !up
		d.changedAt = now
		d.adoptEarlierRecovery(now)
	}
	return changed
}

// observeOthers records that another instance has reached the dependency during the given span.
func (d *dependency) observeOthers(from, to, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others.observe(from, to)
	d.adoptEarlierRecovery(now)
}

// adoptEarlierRecovery moves the time of the recovery back to when other instances first reached
// the dependency, if that was earlier.
func (d *dependency) adoptEarlierRecovery(now time.Time) {
	if !d.down && d.others.current(now) && d.others.first.Before(d.changedAt) {
		d.changedAt = d.others.first
	}
}

// reachableSpan returns the span during which the dependency was reachable, by calls of this
// instance and, before them, by calls of others; ok is false if this instance does not reach it
// now.
func (d *dependency) reachableSpan(now time.Time) (first, last time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.own.first
	if d.others.current(now) && first.Sub(d.others.last) <= maxGap && d.others.first.Before(first) {
		first = d.others.first
	}
	return first, d.own.last, d.own.current(now)
}

// recoveredAt returns when the dependency became available again for the first instance to reach
// it; wasDown is false if it was never unavailable to this instance. When the time was counted
// from this instance's own recovery, the instance used removed runners for longer, by as much as
// it recovered later than the others.
func (d *dependency) recoveredAt(now time.Time) (at time.Time, wasDown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down && d.others.current(now):
		return d.others.first, true
	case d.down:
		return now, true // a row applied now came with the first successful call
	default:
		return d.changedAt, !d.changedAt.IsZero()
	}
}

// recordReturn records that the dependency returned from an older copy of itself: rows that the
// copy lacks are written again as after an outage.
func (d *dependency) recordReturn(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changedAt = now
	d.lastFailure = laterOf(d.lastFailure, now)
}

// recordStall records that the instance was stalled until now: its calls in progress do not show
// how long the dependency was unavailable.
func (d *dependency) recordStall(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.After(d.lastFailure) {
		d.lastFailure = now
	}
}

// lastUnavailable returns the latest time at which the dependency may have been unavailable.
func (d *dependency) lastUnavailable() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastFailure
}

// status returns whether the dependency is down, and when that last changed; the zero time if
// it was never down.
func (d *dependency) status() (at time.Time, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changedAt, d.down
}
