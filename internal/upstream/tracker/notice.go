package tracker

import (
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
)

// A Notice is what a runner stated about itself in a response.
type Notice struct {
	Leaving     bool      // it is shutting down
	Limit       RateLimit // of the requests that it accepts
	Rejections  RateLimit // of the requests that it can reject for want of room; a brittle runner fails beyond it
	Pace        int       // how long work takes now, in percent of the usual time; 0 if it did not say
	PaceInvalid bool      // it stated a pace that cannot be read
	RestUntil   time.Time // until when it wants no request from this instance; zero if it did not say
}

// A RateLimit is a runner's statement about how many requests it accepts, or can reject, from all
// instances together. AsOf orders statements, as responses overtake each other: it is when the response
// with a limit arrived, or when the request was sent whose response states none.
type RateLimit struct {
	AsOf      time.Time
	Limited   bool
	PerSecond float64 // not below 0
}

// supersedes reports whether a statement replaces the one that is known. That there is no limit is
// no news of a runner that has never stated one.
func (l RateLimit) supersedes(known RateLimit) bool {
	return (l.Limited || known != RateLimit{}) && !l.AsOf.Before(known.AsOf)
}

// differs reports whether two statements limit the rate differently.
func (l RateLimit) differs(other RateLimit) bool {
	return l.Limited != other.Limited || l.PerSecond != other.PerSecond
}

// The statements of a runner are what it has stated about itself, and what followed from it at
// this instance. They outlive its description, as the row of a living runner may expire and
// return; only the pace does not.
type statements struct {
	leaving     bool
	restUntil   time.Time
	limit       RateLimit
	denials     int           // consecutive denials of a token
	deniedUntil time.Time     // until when this instance sends the runner no request, as it has no token
	pace        *gauger.Gauge // nil if it has stated no pace
}

// statementsOf returns the statements of a runner.
func (f *Fleet) statementsOf(id string) *statements {
	f.init()
	st, ok := f.statements[id]
	if !ok {
		st = &statements{}
		f.statements[id] = st
	}
	return st
}

// ObserveLeaving records that a runner stated that it is leaving, which is final for its
// incarnation. It reports whether that is new.
func (f *Fleet) ObserveLeaving(id string) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.statementsOf(id)
	changed = !st.leaving
	st.leaving = true
	return changed
}

// Leaving reports whether a runner is leaving, by its description or by its own statement.
func (f *Fleet) Leaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeaving(id)
}

func (f *Fleet) isLeaving(id string) bool {
	s, known := f.runners[id]
	return known && s.Leaving || f.statementsOf(id).leaving
}

// LeavingStated reports whether a runner stated in a response that it is leaving.
func (f *Fleet) LeavingStated(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statementsOf(id).leaving
}

// ObserveRest records that a runner wants no request from this instance until a time. It
// reports whether that is later than what was known.
func (f *Fleet) ObserveRest(id string, until time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.statementsOf(id)
	if !until.After(st.restUntil) {
		return false
	}
	st.restUntil = until
	return true
}

// ObserveLimit records a statement of a runner, unless a later one is known. It reports
// whether the limit has changed.
func (f *Fleet) ObserveLimit(id string, limit RateLimit) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.statementsOf(id)
	if !limit.supersedes(st.limit) {
		return false
	}
	changed = limit.differs(st.limit)
	st.limit = limit
	if !limit.Limited {
		st.denials, st.deniedUntil = 0, time.Time{}
	}
	return changed
}

// Limit returns the last known statement of a runner.
func (f *Fleet) Limit(id string) RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statementsOf(id).limit
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
	st := f.statementsOf(id)
	if !st.limit.Limited {
		return
	}
	wait = min(wait<<min(st.denials, maxDoublings), maxDenialWait)
	st.denials++
	st.deniedUntil = now.Add(wait + time.Duration(rand.Float64()*float64(wait)))
}

// RecordGrant records that this instance got a token for a limited runner.
func (f *Fleet) RecordGrant(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statementsOf(id).denials = 0
}

// Declines reports whether a runner wants nothing from this instance, as it is leaving or
// rests.
func (f *Fleet) Declines(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeaving(id) || now.Before(f.statementsOf(id).restUntil)
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
		rest, denied := s.stated.restUntil.Sub(now), s.stated.deniedUntil.Sub(now)
		left := max(rest, denied)
		if left <= 0 || !s.available(id, d, now) {
			continue
		}
		if !ok || left < p.Left {
			p, ok = Pause{Left: left, Limit: denied >= rest}, true
		}
	}
	return p, ok
}
