package gatekeeper

import (
	"sync"
	"time"
)

// A dependency is something that the instance needs and that may be away.
type dependency struct {
	mu    sync.Mutex
	down  bool
	since time.Time // of the last change
	up    time.Time // when a call succeeded last
	away  time.Time // when a call was sent last that failed, or the instance had stood still
	reach reach     // by calls that succeeded
}

// set takes in whether a call succeeded that was sent at a time, and reports whether
// that changed what is known. A failure of a call that was sent before another one
// succeeded says nothing: calls into an outage fail when it is over. Each made the
// instance find the store lost and back once more.
func (d *dependency) set(up bool, sent, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up {
		d.up = now
		d.reach.seen(now, now)
	} else if sent.After(d.away) {
		d.away = sent
	}
	changed := d.down == up && (up || !sent.Before(d.up))
	if changed {
		d.down = !up
		d.since = now
	}
	return changed
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

// backBefore takes in that others have reached the dependency since a time, and do so now.
func (d *dependency) backBefore(others time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.down && others.Before(d.since) {
		d.since = others
	}
}

// back returns when the dependency came back; the zero time if it never was
// away.
func (d *dependency) back() (at time.Time, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since, d.down
}
