package limiter

import "time"

const (
	// urgencies is how many classes of urgency are told apart.
	urgencies = 4
	// shortestWait and longestWait bound when a refused caller is told to come back. The
	// shortest is more than a balance is old.
	shortestWait = 200 * time.Millisecond
	longestWait  = 10 * time.Second
)

// A line is the tokens for which refused callers were told to come back, by urgency.
type line struct {
	tokens [urgencies]float64
	at     time.Time
}

// drain takes out the tokens that have come since the last look, the most urgent first.
func (l *line) drain(rate float64, now time.Time) {
	come := rate * now.Sub(l.at).Seconds()
	l.at = now
	for n := range l.tokens {
		taken := min(come, l.tokens[n])
		l.tokens[n] -= taken
		come -= taken
	}
}

// join adds a request and returns the tokens that are before it.
func (l *line) join(tokens float64, urgency int) (ahead float64) {
	urgency = min(max(0, urgency), urgencies-1)
	for n := range urgency + 1 {
		ahead += l.tokens[n]
	}
	l.tokens[urgency] += tokens
	return ahead
}

// over refuses a request. Callers that are refused one after the other are told to come
// back one after the other, as their tokens come; more urgent ones go first.
func (a *spending) over(r Request, left, least float64, now time.Time) Over {
	// An instance that has just started has next to no share yet.
	rate := max(a.share, least/even) * r.Limit.Rate
	a.line.drain(rate, now)
	ahead := a.line.join(float64(r.Tokens), r.Urgency)
	missing := max(0, min(float64(r.Tokens), r.Limit.Burst)-left)
	soon := time.Duration((missing/r.Limit.Rate + ahead/rate) * float64(time.Second))
	over := Over{Left: int64(left), Soon: soon, Wait: min(longestWait, max(shortestWait, soon))}
	if !a.at.IsZero() {
		over.Age = now.Sub(a.at)
	}
	return over
}
