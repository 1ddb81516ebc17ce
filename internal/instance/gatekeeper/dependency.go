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
}

// set takes in whether a call succeeded and reports whether that changed.
func (d *dependency) set(up bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.down == up
	if changed {
		d.down = !up
		d.since = now
	}
	return changed
}

// back returns when the dependency came back; the zero time if it never was
// away.
func (d *dependency) back() (at time.Time, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since, d.down
}
