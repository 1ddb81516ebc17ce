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

	mu    sync.Mutex
	begun bool
	last  time.Time
	spent float64 // retries not yet paid for
}

const (
	defaultPart  = 0.2
	defaultBurst = 40
	// savedPart is the part of Part that a request pays where half of Burst is
	// less than one retry. The rest covers one saved retry of each instance.
	savedPart = 0.85
)

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	part := b.Part
	if part == 0 {
		part = defaultPart
	}
	if b.saves() {
		part *= savedPart
	}
	b.spent = max(0, b.spent-part)
}

// Withdraw takes one retry, or returns false if the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.flow(time.Now())
	if b.spent+1 > b.atOnce() {
		return false
	}
	b.spent++
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

// saves reports whether the share of the burst is too small for a retry.
func (b *Budget) saves() bool { return b.burst()/2 < 1 }

// atOnce returns how many retries may be taken at once.
func (b *Budget) atOnce() float64 { return max(1, b.burst()/2) }

// begin spends what a budget that saves has not saved yet.
func (b *Budget) begin() {
	if !b.begun && b.saves() {
		b.spent = b.atOnce()
	}
	b.begun = true
}

// flow pays back what the time since the last look allows.
func (b *Budget) flow(now time.Time) {
	if b.Window > 0 && !b.last.IsZero() {
		b.spent = max(0, b.spent-b.burst()/2*now.Sub(b.last).Seconds()/b.Window.Seconds())
	}
	b.last = now
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
		judge.ReasonDeadline, judge.ReasonHeader, judge.ReasonQuarantine, judge.ReasonShare, judge.ReasonMismatch:
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
