package tracker

import "time"

// A Notice is what a runner stated about itself in a response.
type Notice struct {
	Limit RateLimit
}

// A RateLimit is a runner's statement about how many requests it accepts from all instances
// together.
type RateLimit struct {
	AsOf      time.Time // the runner made the statement at this time or later
	Limited   bool
	PerSecond float64 // not below 0
}

// ObserveLimit records a statement of a runner, unless a later one is known. It reports
// whether the limit has changed. The statement outlives the runner's description, as the
// row of a living runner may expire and return.
func (f *Fleet) ObserveLimit(id string, limit RateLimit) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	known, ok := f.limits[id]
	if !ok && !limit.Limited || limit.AsOf.Before(known.AsOf) {
		return false
	}
	f.limits[id] = limit
	return known.Limited != limit.Limited || known.PerSecond != limit.PerSecond
}

// Limit returns the last known statement of a runner.
func (f *Fleet) Limit(id string) RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits[id]
}
