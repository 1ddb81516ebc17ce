package placer

import (
	"time"
)

// An Arrival says what the first use of a copy tells of how long its load took.
type Arrival struct {
	Least  time.Duration // from the order to the last request that came in vain; 0 for none
	Most   time.Duration // from the order to the first request that found it there
	Return bool          // the runner held it before
}

// There tells that the runner took some requests for a copy, the first of which
// was sent at a time. ok is false if that tells nothing of a load.
func (p *Placer) There(c Copy, requests int, sent time.Time) (a Arrival, ok bool) {
	p.init()
	s, known := p.copies[c]
	if !known {
		return Arrival{}, false
	}
	p.clock.Touch(&s.heat, requests)
	if s.state != loading || s.doubt || s.ordered.IsZero() {
		return Arrival{}, false
	}
	s.state = resident
	a = Arrival{Most: sent.Sub(s.ordered), Return: p.past.Has(c)}
	if !s.missed.IsZero() {
		a.Least = s.missed.Sub(s.ordered)
	}
	p.past.Add(c)
	return a, true
}

// time returns how long a copy takes to arrive.
func (p *Placer) time(c Copy) time.Duration {
	if p.past.Has(c) {
		return p.Return
	}
	return p.Load
}

// Late takes in that a copy was not there when a request came for it. If it was
// thought to be there for good, a report becomes necessary.
func (p *Placer) Late(c Copy, now time.Time) {
	s, ok := p.copies[c]
	switch {
	case !ok:
		return // given up meanwhile, or never ordered
	case s.state == resident:
		p.known = false
		return
	case s.state == unloading || now.Before(s.ready):
		return // known already
	}
	s.missed = now
	s.ready = now.Add(p.time(c) / lateParts)
}

// lateParts is the part of a load after which a copy that was late is tried
// again.
const lateParts = 8
