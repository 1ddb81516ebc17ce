// Package retrier bounds retries, so that a failure is not answered with a
// storm of them.
package retrier

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A Budget allows retries as a part of the requests, and some more within each
// window of time. Its fields are set before use; the zero value is ready. It is
// safe for concurrent use.
//
// Over any window it allows at most Part for each request in it plus Burst: half
// of Burst may be taken at once, the other half flows back over a window. So
// instances that share a bound by splitting its Burst keep it without talking
// to each other.
//
// Split over many instances, half of Burst is less than one retry. Then a budget
// begins with nothing and saves up one retry from its requests, each of which
// pays a little less: what all instances have saved is covered by that, also
// when all spend it in one window. Without this no request of a deployment of dozens of
// instances was ever sent again, and many were refused only because the first runner did
// not hold their adapter any more.
type Budget struct {
	Burst  float64       // retries in a window beyond the part; 0 is defaultBurst
	Part   float64       // retries that one request pays for; 0 is defaultPart
	Window time.Duration // 0: what is spent comes back with requests only

	mu         sync.Mutex
	started    bool
	lastRefill time.Time
	debt       float64 // retries not yet paid for
}

const (
	defaultRatio = 0.2
	defaultBurst = 40
	// accumulationFactor is the part of Part that a request pays where half of Burst is
	// less than one retry. The rest covers one saved retry of each instance.
	accumulationFactor = 0.85
)

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	ratio := b.Part
	if ratio == 0 {
		ratio = defaultRatio
	}
	if b.accumulates() {
		ratio *= accumulationFactor
	}
	b.debt = max(0, b.debt-ratio)
}

// Withdraw takes one retry, or returns false if the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.refill(time.Now())
	if b.debt+1 > b.capacity() {
		return false
	}
	b.debt++
	return true
}

// SetBurst changes the share of the burst, when the number of instances that
// split it has changed.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
}

func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return defaultBurst
	}
	return b.Burst
}

// accumulates reports whether the share of the burst is too small for a retry.
func (b *Budget) accumulates() bool { return b.burst()/2 < 1 }

// capacity returns how many retries may be taken at once.
func (b *Budget) capacity() float64 { return max(1, b.burst()/2) }

// start spends what a budget that saves has not saved yet.
func (b *Budget) start() {
	if !b.started && b.accumulates() {
		b.debt = b.capacity()
	}
	b.started = true
}

// refill pays back what the time since the last look allows.
func (b *Budget) refill(now time.Time) {
	if b.Window > 0 && !b.lastRefill.IsZero() {
		b.debt = max(0, b.debt-b.burst()/2*now.Sub(b.lastRefill).Seconds()/b.Window.Seconds())
	}
	b.lastRefill = now
}

// May reports whether a failed attempt may be followed by another: always if it
// did not run, and if it may have run only when the request is idempotent and
// nothing of an answer has reached the caller.
func May(err *judge.Error, nonIdempotent, responseStarted bool) bool {
	if responseStarted || nonRetryable(err.Reason) {
		return false
	}
	return err.Verdict == judge.NotRun || !nonIdempotent
}

// nonRetryable reports whether the reason lies with the request or its caller, so that
// another attempt would end the same.
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

// Backoff returns the waits between the attempts of one request, with jitter.
func Backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}
