// Package shedder tells when a process has more requests than its processor bears.
//
// Such a process serves all of them late. Their callers give up and come again, and the work for those who
// have left is done before that for those who wait. What is over is better refused before it costs anything.
package shedder

import (
	"runtime"
	"sync"
	"time"
)

// A Shedder measures how long goroutines that are ready to run wait for the processor. Its exported fields are
// set before use; it is safe for concurrent use.
type Shedder struct {
	Limit time.Duration // wait from which the process is overloaded
	Yield func()        // gives way to all goroutines that are ready; nil: runtime.Gosched

	mu       sync.Mutex
	began    time.Time     // of the probe in progress; zero if there is none
	ended    time.Time     // of the last probe
	last     time.Duration // wait that it measured
	previous time.Duration // wait that the probe before it measured; 0 if that is outdated
	overload time.Time     // when the process was last found to be overloaded
}

const (
	// probeInterval is the minimum time between two probes.
	probeInterval = 5 * time.Millisecond
	// validity is how long the result of a probe is used.
	validity = 50 * time.Millisecond
	// confirmation is how long one long probe is enough after an overload. Before, it takes two in a row: one
	// may have been held up with the whole process, which was paused or has used up its share of the
	// processor for now.
	confirmation = time.Second
)

// Overloaded reports whether goroutines wait for the processor for longer than the limit, and for how long. It
// starts a probe if none is in progress, so that a process without requests makes none.
func (s *Shedder) Overloaded(now time.Time) (wait time.Duration, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := time.Duration(0) // measured by the probe in progress so far
	switch {
	case !s.began.IsZero():
		current = now.Sub(s.began)
	case now.Sub(s.ended) >= validity:
		s.last, s.previous = 0, 0
		fallthrough
	case now.Sub(s.ended) >= probeInterval:
		s.began = now
		go s.probe()
	}
	if now.Sub(s.ended) < validity {
		wait = s.last
	}
	wait = max(wait, current)
	overloaded = wait > s.Limit && (now.Sub(s.overload) < confirmation || min(s.last, max(s.previous, current)) > s.Limit)
	if overloaded {
		s.overload = now
	}
	return wait, overloaded
}

// probe measures the time until all goroutines that are ready now have run.
func (s *Shedder) probe() {
	yield := s.Yield
	if yield == nil {
		yield = runtime.Gosched
	}
	yield()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous, s.last = s.last, now.Sub(s.began)
	s.ended, s.began = now, time.Time{}
}
