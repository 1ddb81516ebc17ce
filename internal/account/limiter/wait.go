package limiter

import "time"

const (
	// urgencyLevels is how many classes of urgency are told apart.
	urgencyLevels = 4
	// minWait and longestWait bound when a refused caller is told to come back. The
	// shortest is more than a balance is old.
	minWait = 200 * time.Millisecond
	maxWait = 10 * time.Second
)

// A line is the tokens for which refused callers were told to come back, by urgency.
type retryQueue struct {
	tokens [urgencyLevels]float64
	at     time.Time
}

// drain takes out the tokens that have come since the last look, the most urgent first.
func (l *retryQueue) drain(rate float64, now time.Time) {
	available := rate * now.Sub(l.at).Seconds()
	l.at = now
	for n := range l.tokens {
		taken := min(available, l.tokens[n])
		l.tokens[n] -= taken
		available -= taken
	}
}

// add adds a request and returns the tokens that are before it.
func (l *retryQueue) add(tokens float64, urgency int) (ahead float64) {
	urgency = min(max(0, urgency), urgencyLevels-1)
	for n := range urgency + 1 {
		ahead += l.tokens[n]
	}
	l.tokens[urgency] += tokens
	return ahead
}

// refuse refuses a request. Callers that are refused one after the other are told to come
// back one after the other, as their tokens come; more urgent ones go first.
func (a *accountState) refuse(r Request, left, minShare float64, now time.Time) Over {
	// An instance that has just started has next to no share yet.
	rate := max(a.share, minShare/evenShare) * r.Limit.Rate
	a.queue.drain(rate, now)
	ahead := a.queue.add(float64(r.Tokens), r.Urgency)
	missing := max(0, min(float64(r.Tokens), r.Limit.Burst)-left)
	soon := time.Duration((missing/r.Limit.Rate + ahead/rate) * float64(time.Second))
	over := Over{Left: int64(left), Soon: soon, Wait: min(maxWait, max(minWait, soon))}
	if !a.balanceAt.IsZero() {
		over.Age = now.Sub(a.balanceAt)
	}
	return over
}
