package tracker

import (
	"math/rand/v2"
	"time"
)

const (
	// brittleFill is the fraction of its request slots up to which a brittle runner gets
	// requests while no leader counts them: what other instances have sent since they last
	// reported is not known.
	brittleFill = 0.5
	// rejectionShare is the fraction of the rejections that a runner bears that all instances
	// together may cause. The rest is for requests that were under way at a rejection.
	rejectionShare = 0.5
	// minRejectionPause and maxRejectionPause bound the pause after a rejection.
	minRejectionPause = time.Second
	maxRejectionPause = 8 * time.Second
)

// ObserveRejections records how many requests a second a runner of a service can reject before
// it fails, unless a later statement is known: all of them state the same. It reports whether the
// statement has changed.
func (f *Fleet) ObserveRejections(service string, limit RateLimit) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.rejections[service]
	if !limit.supersedes(known) {
		return false
	}
	if f.rejections == nil {
		f.rejections = make(map[string]RateLimit)
	}
	f.rejections[service] = limit
	return limit.differs(known)
}

// Brittle reports whether a runner is brittle.
func (f *Fleet) Brittle(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	return ok && f.rejections[s.Service].Limited
}

// RecordRejection records that a runner rejected a request of this instance for want of room. If
// it is brittle, it gets no request from this instance for a while, so that all instances
// together cause fewer rejections than it bears.
func (f *Fleet) RecordRejection(id string, instances int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return
	}
	limit := f.rejections[s.Service]
	if !limit.Limited {
		return
	}
	pause := maxRejectionPause
	if limit.PerSecond > 0 {
		share := limit.PerSecond * rejectionShare / float64(instances) // rejections a second of this instance
		pause = min(max(time.Duration(float64(time.Second)/share), minRejectionPause), maxRejectionPause)
	}
	until := now.Add(pause + time.Duration(rand.Float64()*float64(pause)))
	if until.After(s.stated.restUntil) {
		s.stated.restUntil = until
	}
}

// HasRoom reports whether a brittle runner has room for a request, as far as the load is known
// that the instances have reported.
func (f *Fleet) HasRoom(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	return ok && float64(s.ownLoad.Running+s.otherLoad.Running) < brittleFill*float64(s.Slots)
}
