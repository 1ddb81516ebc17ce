// Package retrier bounds retries, so that a failure is not answered with a
// storm of them.
package retrier

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A Budget allows retries as a part of the requests. Its zero value is ready;
// it is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	spent float64 // retries not yet paid for by requests
}

const (
	// part is how many retries one request pays for.
	part = 0.2
	// burst is how many retries may be taken ahead.
	burst = 20
)

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-part)
}

// Withdraw takes one retry, or returns false if the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent >= burst {
		return false
	}
	b.spent++
	return true
}

// May reports whether a failed attempt may be followed by another: always if it
// did not run, and if it may have run only when the request is idempotent and
// nothing of an answer has reached the caller.
func May(err *judge.Error, once, answered bool) bool {
	if answered || final(err.Reason) {
		return false
	}
	return err.Verdict == judge.NotRun || !once
}

// final reports whether the reason lies with the request or its caller, so that
// another attempt would end the same.
func final(r judge.Reason) bool {
	switch r {
	case judge.ReasonAdapter, judge.ReasonAuth, judge.ReasonBody, judge.ReasonCancelled,
		judge.ReasonDeadline, judge.ReasonHeader, judge.ReasonShare, judge.ReasonMismatch:
		return true
	default:
		return false
	}
}

const (
	firstWait = 20 * time.Millisecond
	lastWait  = 500 * time.Millisecond
)

// Backoff returns the waits between the attempts of one request, with jitter.
func Backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstWait
	b.MaxInterval = lastWait
	return b
}
