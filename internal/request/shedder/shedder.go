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

	mu    sync.Mutex
	began time.Time     // of the probe in progress; zero if there is none
	ended time.Time     // of the last probe
	wait  time.Duration // that it measured
}

const (
	// probeInterval is the minimum time between two probes.
	probeInterval = 5 * time.Millisecond
	// validity is how long the result of a probe is used.
	validity = 50 * time.Millisecond
)

// Overloaded reports whether goroutines wait for the processor for longer than the limit, and for how long at
// least. It starts a probe if none is in progress: a process without requests makes none.
func (s *Shedder) Overloaded(now time.Time) (wait time.Duration, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ended) < validity {
		wait = s.wait
	}
	switch {
	case !s.began.IsZero():
		wait = max(wait, now.Sub(s.began))
	case now.Sub(s.ended) >= probeInterval:
		s.began = now
		go s.probe()
	}
	return wait, wait > s.Limit
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
	s.ended, s.wait, s.began = now, now.Sub(s.began), time.Time{}
}
