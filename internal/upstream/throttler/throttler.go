// Package throttler decides when another request may be sent to a runner that limits the
// requests that it receives from all instances together.
package throttler

import "time"

// A Throttle grants the requests to one runner. It is kept by the leader of the runner's
// failure domain, for all instances.
type Throttle struct {
	fence    uint64 // fencing token of the lease under which tokens were last granted
	refilled time.Time
	tokens   float64
}

const (
	// burstTime is how long tokens accumulate while nobody takes any, and minBurst how many do
	// at least: with one token, requests at random times use about half of a low rate.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// minRate is the least rate at which tokens are granted, per second: a runner that gets
	// no request cannot state that its limit has ended.
	minRate = 0.25
)

// Take takes a token and returns 0, or returns how long it takes until there is one. rate is
// the limit of the runner per second, and fence the fencing token of the leader's lease. A
// new lease begins without tokens, as another leader may have granted them.
func (t *Throttle) Take(rate float64, fence uint64, now time.Time) (wait time.Duration) {
	rate = max(rate, minRate)
	if fence != t.fence {
		*t = Throttle{fence: fence, refilled: now}
	}
	burst := max(minBurst, rate*burstTime.Seconds())
	t.tokens = min(burst, t.tokens+rate*max(0, now.Sub(t.refilled)).Seconds())
	t.refilled = now
	if t.tokens < 1 {
		return time.Duration((1 - t.tokens) / rate * float64(time.Second))
	}
	t.tokens--
	return 0
}
