package placer

import (
	"cmp"
	"time"
)

// sibling returns another version of the adapter that the runner holds. It has
// to go first, when nobody uses it any more: a runner that is to replace a
// version in use takes no other order until its runs have ended.
func (p *Placer) sibling(c Copy) (Copy, bool) {
	for other := range p.copies {
		if other.Model == c.Model && other.Adapter == c.Adapter && other.Version != c.Version {
			return other, true
		}
	}
	return Copy{}, false
}

// evict gives up the copy that is wanted least. One that may be in use is kept:
// an unload would wait for its runs, and requests for it that are on their way
// would be refused.
func (p *Placer) evict(now time.Time) (Order, bool) {
	var victim Copy
	var coldest *place
	for c, s := range p.copies {
		if s.state == unloading && s.doubt {
			return p.send(Order{Copy: c, Unload: true}, now), true
		}
		if s.doubt || !p.idle(s, now) {
			continue
		}
		if coldest == nil || p.colder(c, s, victim, coldest) {
			victim, coldest = c, s
		}
	}
	if coldest == nil {
		return p.repeat(now)
	}
	coldest.state = unloading
	return p.send(Order{Copy: victim, Unload: true}, now), true
}

// colder reports whether a copy is wanted less than another, and if both alike,
// whether its last use is longer ago.
func (p *Placer) colder(c Copy, s *place, other Copy, t *place) bool {
	return cmp.Or(cmp.Compare(p.value(c, s), p.value(other, t)), s.used.Compare(t.used), cmp.Compare(c.String(), other.String())) < 0
}

// value returns what giving up a copy would cost, in uses.
func (p *Placer) value(c Copy, s *place) float64 {
	copies := 1
	if p.Copies != nil {
		copies = p.Copies(c)
	}
	return p.clock.Loss(s.heat, copies)
}

// idle reports whether a copy can be given up: it has not been used for a
// while, or nobody came for it after its load.
func (p *Placer) idle(s *place, now time.Time) bool {
	switch s.state {
	case resident:
		return now.Sub(s.used) >= rest
	case loading:
		return now.Sub(s.ready) >= p.Load+rest
	default:
		return false
	}
}

// repeat sends a load that had no answer once more. When all places are in
// doubt, only an accepted order can end it, and this one needs no further place.
func (p *Placer) repeat(now time.Time) (Order, bool) {
	for c, s := range p.copies {
		if s.doubt {
			return p.send(Order{Copy: c}, now), true
		}
	}
	return Order{}, false
}
