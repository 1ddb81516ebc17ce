// Package pacer waits for times in loops, without selecting on a channel timer that is due.
//
// In a synctest bubble with the race detector, a receive from a channel timer that came due while
// no goroutine waited on it runs the timer on the receiving goroutine's thread, with the one race
// context of the bubble's timers. Two threads that use that context at the same time crash the
// process with a SIGSEGV or with a failed CHECK in tsan_rtl.cpp (Go 1.26.8, runtime.unlockAndRun).
package pacer

import "time"

// After returns a channel that is closed once d has passed, and a function that releases the
// timer. Other than with time.After, the channel may be selected on repeatedly.
func After(d time.Duration) (done <-chan struct{}, stop func()) {
	c := make(chan struct{})
	if d <= 0 {
		close(c)
		return c, func() {}
	}
	timer := time.AfterFunc(d, func() { close(c) })
	return c, func() { timer.Stop() }
}
