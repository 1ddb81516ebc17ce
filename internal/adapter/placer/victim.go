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
	var coldest *victim
	for c, s := range p.copies {
		if s.state == unloading && s.doubt {
			return p.send(Order{Copy: c, Unload: true}, now), true
		}
		if s.doubt || !p.idle(c, s, now) {
			continue
		}
		if v := (victim{c, s, p.value(c, s)}); coldest == nil || v.before(coldest) {
			coldest = &v
		}
	}
	if coldest == nil {
		return p.repeat(now)
	}
	coldest.place.state = unloading
	return p.send(Order{Copy: coldest.copy, Unload: true}, now), true
}

// A victim is a copy that may be given up.
type victim struct {
	copy  Copy
	place *place
	value float64 // what giving it up would cost, in uses
}

// before reports whether a copy is wanted less than another, and if both alike,
// whether its last use is longer ago.
func (v *victim) before(other *victim) bool {
	return cmp.Or(cmp.Compare(v.value, other.value), v.place.used.Compare(other.place.used), cmp.Compare(v.copy.String(), other.copy.String())) < 0
}

// value returns what giving up a copy would cost, in uses.
func (p *Placer) value(c Copy, s *place) float64 {
	copies := 1
	if p.Copies != nil {
		copies = p.Copies(c)
	}
	return p.clock.Loss(s.heat, copies)
}

// idle reports whether a copy can be given up: no request uses it or waits for
// it, and none was just told of room. A copy that is loaded has to arrive first.
func (p *Placer) idle(c Copy, s *place, now time.Time) bool {
	if w, ok := p.wanted[c]; ok && w.Requests > 0 && now.Sub(w.last) <= forget {
		return false
	}
	if p.InUse != nil && p.InUse(c) {
		return false
	}
	switch s.state {
	case resident:
		return now.Sub(s.used) >= rest
	case loading:
		return now.Sub(s.ready) >= p.Load
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
