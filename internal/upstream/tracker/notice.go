package tracker

import (
	"math/rand/v2"
	"time"
)

// A Notice is what a runner stated about itself in a response.
type Notice struct {
	Leaving   bool // it is shutting down
	Limit     RateLimit
	RestUntil time.Time // until when it wants no request from this instance; zero if it did not say
}

// A RateLimit is a runner's statement about how many requests it accepts from all instances
// together. AsOf orders statements, as responses overtake each other: it is when the response
// with a limit arrived, or when the request was sent whose response states none.
type RateLimit struct {
	AsOf      time.Time
	Limited   bool
	PerSecond float64 // not below 0
}

// A limitState is the last statement of a runner, and what followed from it. It outlives the
// runner's description, as the row of a living runner may expire and return.
type limitState struct {
	RateLimit
	denials     int       // consecutive ones
	deniedUntil time.Time // until when this instance sends the runner no request
}

// ObserveLeaving records that a runner stated that it is leaving, which is final for its
// incarnation. It reports whether that is new.
func (f *Fleet) ObserveLeaving(id string) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	changed = !f.leaving[id]
	f.leaving[id] = true
	return changed
}

// Leaving reports whether a runner is leaving, by its description or by its own statement.
func (f *Fleet) Leaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.runners[id]
	return f.leaving[id] || known && s.Leaving
}

// LeavingStated reports whether a runner stated in a response that it is leaving.
func (f *Fleet) LeavingStated(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[id]
}

// ObserveRest records that a runner wants no request from this instance until a time. It
// reports whether that is later than what was known.
func (f *Fleet) ObserveRest(id string, until time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if !until.After(f.restUntil[id]) {
		return false
	}
	f.restUntil[id] = until
	return true
}

// ObserveLimit records a statement of a runner, unless a later one is known. It reports
// whether the limit has changed.
func (f *Fleet) ObserveLimit(id string, limit RateLimit) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s, ok := f.limits[id]
	switch {
	case !ok && !limit.Limited, ok && limit.AsOf.Before(s.AsOf):
		return false
	case !ok:
		s = &limitState{}
		f.limits[id] = s
	}
	changed = s.Limited != limit.Limited || s.PerSecond != limit.PerSecond
	s.RateLimit = limit
	if !limit.Limited {
		s.denials, s.deniedUntil = 0, time.Time{}
	}
	return changed
}

// Limit returns the last known statement of a runner.
func (f *Fleet) Limit(id string) RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.limits[id]; ok {
		return s.RateLimit
	}
	return RateLimit{}
}

const (
	// maxDenialWait bounds how long an instance waits before it asks for a token again.
	maxDenialWait = 4 * time.Second
	// maxDoublings is how often that wait is doubled. With more, tokens are left while all
	// instances wait.
	maxDoublings = 2
)

// RecordDenial records that this instance got no token for a limited runner, and that there
// will be one after a wait. Until then the runner gets no request from this instance. The
// wait doubles with each consecutive denial, as all instances share the tokens, and is
// randomized, so that they do not ask at the same time.
func (f *Fleet) RecordDenial(id string, wait time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.limits[id]
	if !ok || !s.Limited {
		return
	}
	wait = min(wait<<min(s.denials, maxDoublings), maxDenialWait)
	s.denials++
	s.deniedUntil = now.Add(wait + time.Duration(rand.Float64()*float64(wait)))
}

// RecordGrant records that this instance got a token for a limited runner.
func (f *Fleet) RecordGrant(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.limits[id]; ok {
		s.denials = 0
	}
}

// deniedUntil returns until when a runner gets no request as this instance has no token.
func (f *Fleet) deniedUntil(id string) time.Time {
	if s, ok := f.limits[id]; ok {
		return s.deniedUntil
	}
	return time.Time{}
}

// limited reports whether a runner limits its request rate.
func (f *Fleet) limited(id string) bool {
	s, ok := f.limits[id]
	return ok && s.Limited
}

// Declines reports whether a runner wants nothing from this instance, as it is leaving or
// rests.
func (f *Fleet) Declines(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.runners[id]
	return known && s.Leaving || f.leaving[id] || now.Before(f.restUntil[id])
}

// A Pause is the time for which runners of a service want no request from this instance.
type Pause struct {
	Left  time.Duration // until the first of them does
	Limit bool          // it then has no token; otherwise it rests
}

// ShortestPause returns the pause that ends first among the runners that are otherwise
// available for a request. ok is false if there is none.
func (f *Fleet) ShortestPause(d Demand, now time.Time) (p Pause, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.runners {
		rest, denied := f.restUntil[id].Sub(now), f.deniedUntil(id).Sub(now)
		left := max(rest, denied)
		if left <= 0 || !f.available(s, id, d, now) {
			continue
		}
		if !ok || left < p.Left {
			p, ok = Pause{Left: left, Limit: denied >= rest}, true
		}
	}
	return p, ok
}
