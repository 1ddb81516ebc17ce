package limiter

import "time"

// A retryQueue counts the tokens of refused requests that are expected to be retried, by urgency.
type retryQueue struct {
	tokens [urgencyLevels]float64
	at     time.Time
}

// drain removes the tokens that have become available since the last call, the most urgent
// first.
func (q *retryQueue) drain(rate float64, now time.Time) {
	available := rate * now.Sub(q.at).Seconds()
	q.at = now
	for n := range q.tokens {
		taken := min(available, q.tokens[n])
		q.tokens[n] -= taken
		available -= taken
	}
}

// add queues a request and returns the tokens ahead of it.
func (q *retryQueue) add(tokens float64, urgency int) (ahead float64) {
	urgency = Level(urgency)
	for n := range urgency + 1 {
		ahead += q.tokens[n]
	}
	q.tokens[urgency] += tokens
	return ahead
}

// refuse refuses a request. The waits of refused requests are staggered at the rate at which
// tokens become available, the most urgent first, so that callers don't retry in a burst.
func (a *accountState) refuse(r Request, left, minShare float64, now time.Time) QuotaExceeded {
	// An instance that has just started has hardly any share yet.
	share := max(a.share, minShare/evenShare)
	var exceeded QuotaExceeded
	if a.urgency == nil {
		rate := share * r.Limit.Rate
		a.queue.drain(rate, now)
		ahead := a.queue.add(float64(r.Tokens), r.Urgency)
		missing := max(0, min(float64(r.Tokens), r.Limit.Burst)-left)
		exceeded.AvailableIn = time.Duration((missing/r.Limit.Rate + ahead/rate) * float64(time.Second))
	} else {
		fraction := 1.0
		if a.isDisconnected {
			fraction = a.share
		}
		exceeded = a.urgency.refuse(r, left, fraction, share, now)
	}
	exceeded.Left = int64(left)
	exceeded.RetryAfter = min(maxWait, max(minWait, exceeded.AvailableIn))
	if !a.balanceAt.IsZero() {
		exceeded.Age = now.Sub(a.balanceAt)
	}
	return exceeded
}
