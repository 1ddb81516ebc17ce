// Package retrier limits retries, so that failures do not cause a retry storm.
package retrier

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A Budget is a token bucket that allows retries in proportion to the requests, and some
// more within each window of time. Its fields are set before use; the zero value is ready.
// It is safe for concurrent use.
//
// Over any window it allows at most PerRequest for each request in it plus Burst: half of
// Burst may be taken at once, the other half refills over a window. So instances that share
// a limit by splitting its Burst keep it without coordination.
//
// If the limit is split over many instances, half of Burst is less than one retry. Such a
// budget starts empty and accumulates one retry from its requests, each of which
// contributes a little less. That covers what all instances have accumulated, even if all
// spend it in the same window. Without this, no request was ever retried in a deployment of
// dozens of instances, and many were refused only because the first runner no longer held
// their adapter.
type Budget struct {
	Burst      float64        // retries in a window beyond PerRequest; 0 means defaultBurst
	PerRequest float64        // retries that one request contributes; 0 means defaultPerRequest
	Share      func() float64 // current value of Burst, where it changes; nil if it does not
	Window     time.Duration  // 0: only requests refill the budget

	mu         sync.Mutex
	started    bool
	lastRefill time.Time
	debt       float64 // retries taken and not yet refilled
	waiting    int     // callers of Await that have no retry yet
}

const (
	defaultPerRequest = 0.2
	defaultBurst      = 40
	// accumulationFactor is the fraction of PerRequest that a request contributes if half
	// of Burst is less than one retry. The rest covers the accumulated retry of each
	// instance.
	accumulationFactor = 0.85
	// awaitInterval is how often Await checks for a retry.
	awaitInterval = 10 * time.Millisecond
)

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	ratio := b.PerRequest
	if ratio == 0 {
		ratio = defaultPerRequest
	}
	if b.accumulates() {
		ratio *= accumulationFactor
	}
	b.debt = max(0, b.debt-ratio)
}

// Await takes one retry as soon as the budget allows it, and before any that Withdraw takes. It
// returns false if ctx ends before.
func (b *Budget) Await(ctx context.Context) bool {
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.waiting--
	}()
	if b.takeAwaited() {
		return true
	}
	ticker := pacer.NewTicker(awaitInterval)
	defer ticker.Stop()
	for ticker.Wait(ctx, nil) {
		if b.takeAwaited() {
			return true
		}
	}
	return false
}

// Withdraw takes one retry, or returns false if the budget is exhausted, apart from the retries
// that others wait for.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.waiting)
}

func (b *Budget) takeAwaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(0)
}

// take takes one retry if that leaves the given number of further ones.
func (b *Budget) take(left int) bool {
	b.start()
	b.refill(time.Now())
	if b.debt+1+float64(left) > b.capacity() {
		return false
	}
	b.debt++
	return true
}

func (b *Budget) burst() float64 {
	if b.Share != nil {
		return b.Share()
	}
	if b.Burst == 0 {
		return defaultBurst
	}
	return b.Burst
}

// accumulates reports whether half of the share of the burst is less than one retry.
func (b *Budget) accumulates() bool { return b.burst()/2 < 1 }

// capacity returns how many retries may be taken at once.
func (b *Budget) capacity() float64 { return max(1, b.burst()/2) }

// start empties a new budget that has to accumulate its first retry.
func (b *Budget) start() {
	if !b.started && b.accumulates() {
		b.debt = b.capacity()
	}
	b.started = true
}

// refill adds what the time since the last refill allows.
func (b *Budget) refill(now time.Time) {
	if b.Window > 0 && !b.lastRefill.IsZero() {
		b.debt = max(0, b.debt-b.burst()/2*now.Sub(b.lastRefill).Seconds()/b.Window.Seconds())
	}
	b.lastRefill = now
}

// Retryable reports whether a failed attempt may be retried. It may not if the reason lies
// with the request or its caller, or once a part of the response has reached the caller.
// Otherwise it may if it did not run, or if the request is idempotent.
func Retryable(err *judge.Error, nonIdempotent, responseStarted bool) bool {
	if responseStarted || nonRetryable(err.Reason) {
		return false
	}
	return err.Verdict == judge.NotRun || !nonIdempotent
}

// nonRetryable reports whether the reason lies with the request or its caller, so that
// another attempt would fail in the same way.
func nonRetryable(r judge.Reason) bool {
	switch r {
	case judge.ReasonAdapter, judge.ReasonAuth, judge.ReasonBody, judge.ReasonCancelled,
		judge.ReasonDeadline, judge.ReasonHeader, judge.ReasonQuarantine, judge.ReasonShare, judge.ReasonMismatch:
		return true
	default:
		return false
	}
}

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Backoff returns the delays between the attempts of one request, with jitter.
func Backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}
