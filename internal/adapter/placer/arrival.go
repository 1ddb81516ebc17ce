package placer

import (
	"time"
)

// An Arrival says what a use or a refusal tells of how long a load took.
type Arrival int

// The arrivals.
const (
	NoArrival     Arrival = iota
	ArrivedLoad           // an adapter from the weight store was there when expected
	ArrivedReturn         // so was one that the runner held before
	LateLoad              // an adapter from the weight store was not
	LateReturn            // nor was one that the runner held before
)

// There tells that the runner took a request for a copy.
func (p *Placer) There(c Copy, now time.Time) Arrival {
	p.init()
	s, ok := p.copies[c]
	if !ok {
		return NoArrival
	}
	s.used = now
	if s.state != loading || s.doubt {
		return NoArrival
	}
	s.state = resident
	a := p.arrival(c, s, ArrivedLoad, ArrivedReturn)
	p.past[c] = true
	return a
}

// arrival tells a load's kind once for each load.
func (p *Placer) arrival(c Copy, s *place, load, back Arrival) Arrival {
	switch {
	case s.late:
		return NoArrival
	case p.past[c]:
		return back
	default:
		return load
	}
}

// time returns how long a copy takes to arrive.
func (p *Placer) time(c Copy) time.Duration {
	if p.past[c] {
		return p.Return
	}
	return p.Load
}

// Late takes in that a copy was not there when a request came for it. If it was
// thought to be there for good, a report becomes necessary.
func (p *Placer) Late(c Copy, now time.Time) Arrival {
	s, ok := p.copies[c]
	switch {
	case !ok:
		return NoArrival // given up meanwhile, or never ordered
	case s.state == resident:
		p.known = false
		return NoArrival
	case s.state == unloading || now.Before(s.ready):
		return NoArrival // known already
	}
	a := p.arrival(c, s, LateLoad, LateReturn)
	s.late = true
	s.ready = now.Add(p.time(c) / lateParts)
	return a
}

// lateParts is the part of a load after which a copy that was late is tried
// again.
const lateParts = 4
