package limiter

import "time"

const (
	// urgencyLevels is the number of urgency classes.
	urgencyLevels = 4
	// minWait and maxWait bound the retry time given to refused callers. The minimum is
	// longer than the usual age of a balance.
	minWait = 200 * time.Millisecond
	maxWait = 10 * time.Second
)

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
	urgency = min(max(0, urgency), urgencyLevels-1)
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
	rate := max(a.share, minShare/evenShare) * r.Limit.Rate
	a.queue.drain(rate, now)
	ahead := a.queue.add(float64(r.Tokens), r.Urgency)
	missing := max(0, min(float64(r.Tokens), r.Limit.Burst)-left)
	availableIn := time.Duration((missing/r.Limit.Rate + ahead/rate) * float64(time.Second))
	exceeded := QuotaExceeded{Left: int64(left), AvailableIn: availableIn, RetryAfter: min(maxWait, max(minWait, availableIn))}
	if !a.balanceAt.IsZero() {
		exceeded.Age = now.Sub(a.balanceAt)
	}
	return exceeded
}
