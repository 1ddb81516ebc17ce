package placer

import (
	"time"
)

// A LoadObservation bounds how long a load took, as observed from the requests for the
// copy.
type LoadObservation struct {
	Min    time.Duration // from the order to the last request that did not find the copy; 0 if there was none
	Max    time.Duration // from the order to the first request that found the copy
	Reload bool          // the runner had held the copy before and did not need the weight store
}

// ObserveHit records that the runner accepted requests for a copy, the first of which
// was sent at the given time. ok is false if that gives no load time.
func (p *Placer) ObserveHit(c Copy, requests int, sent time.Time) (observation LoadObservation, ok bool) {
	p.init()
	s, known := p.copies[c]
	if !known {
		return LoadObservation{}, false
	}
	p.clock.Touch(&s.heat, requests)
	if s.state != loading || s.unconfirmed || s.acceptedAt.IsZero() {
		return LoadObservation{}, false
	}
	s.state = resident
	observation = LoadObservation{Max: sent.Sub(s.acceptedAt), Reload: p.heldBefore.Has(c)}
	if !s.lastMiss.IsZero() {
		observation.Min = s.lastMiss.Sub(s.acceptedAt)
	}
	p.heldBefore.Add(c)
	return observation, true
}

// loadTime returns how long a load of the copy takes.
func (p *Placer) loadTime(c Copy) time.Duration {
	if p.heldBefore.Has(c) {
		return p.ReloadTime
	}
	return p.LoadTime
}

// ObserveMiss records that a request did not find a copy on the runner. If the copy was
// recorded as resident, no order is sent until the next report.
func (p *Placer) ObserveMiss(c Copy, now time.Time) {
	s, ok := p.copies[c]
	switch {
	case !ok:
		return // evicted meanwhile, or never ordered
	case s.state == resident:
		p.known = false
		return
	case s.state == unloading || now.Before(s.readyAt):
		return // expected
	}
	s.lastMiss = now
	s.readyAt = now.Add(p.loadTime(c) / missRetryDivisor)
}

// missRetryDivisor divides the load time to give the delay after which a copy that
// was not found is tried again.
const missRetryDivisor = 8
