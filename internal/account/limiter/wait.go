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

// over refuses a request. Callers that are refused one after the other are told to come
// back one after the other, as their tokens come; more urgent ones go first.
func (a *spending) over(r Request, left, least float64, now time.Time) Over {
	rate := max(a.share, least) * r.Limit.Rate
	urgency := min(max(0, r.Urgency), urgencies-1)
	ahead := 0.0
	for n := range a.queued {
		q := &a.queued[n]
		q.drain(rate/urgencies, now)
		if n <= urgency {
			ahead += q.level
		}
	}
	a.queued[urgency].level += float64(r.Tokens)
	missing := max(0, min(float64(r.Tokens), r.Limit.Burst)-left)
	wait := time.Duration((missing/r.Limit.Rate + ahead/rate) * float64(time.Second))
	over := Over{Left: int64(left), Wait: min(longestWait, max(shortestWait, wait))}
	if !a.at.IsZero() {
		over.Age = now.Sub(a.at)
	}
	return over
}

// drain takes tokens out at a rate.
func (b *bucket) drain(rate float64, now time.Time) {
	if !b.at.IsZero() {
		b.level = max(0, b.level-rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
