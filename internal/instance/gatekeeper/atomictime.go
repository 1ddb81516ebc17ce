package gatekeeper

import (
	"sync/atomic"
	"time"
)

// An atomicTime is a time that several goroutines may set and read. It keeps the monotonic
// clock reading: a time stored as a number of seconds does not, and when the wall clock is set
// back, a time long past looks recent.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (a *atomicTime) set(t time.Time) { a.at.Store(&t) }

// advance sets the time unless a later one was set.
func (a *atomicTime) advance(t time.Time) {
	for {
		p := a.at.Load()
		if p != nil && !t.After(*p) || a.at.CompareAndSwap(p, &t) {
			return
		}
	}
}

// get returns the time that was set last; ok is false if none was.
func (a *atomicTime) get() (t time.Time, ok bool) {
	if p := a.at.Load(); p != nil {
		return *p, true
	}
	return time.Time{}, false
}
