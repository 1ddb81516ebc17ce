package placer

import (
	"cmp"
	"time"
)

// sibling returns another version of the adapter that the runner holds. It must
// be unloaded first, once it is idle: a runner that is ordered to replace a
// version in use accepts no other order until the requests on it have ended.
func (p *Placer) sibling(c Copy) (Copy, bool) {
	for other := range p.copies {
		if other.Model == c.Model && other.Adapter == c.Adapter && other.Version != c.Version {
			return other, true
		}
	}
	return Copy{}, false
}

// evict returns the order to unload the least valuable copy. A copy that may be in
// use is kept: its unload would wait for the running requests, and requests on
// the way to it would be refused.
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

// A victim is a copy that may be evicted.
type victim struct {
	copy  Copy
	place *place
	value float64 // cost of its eviction, in uses
}

// before reports whether a copy is evicted before another: the less valuable
// first, of equals the one that was used longer ago.
func (v *victim) before(other *victim) bool {
	return cmp.Or(cmp.Compare(v.value, other.value), v.place.used.Compare(other.place.used), cmp.Compare(v.copy.String(), other.copy.String())) < 0
}

// value returns the cost of evicting a copy, in uses.
func (p *Placer) value(c Copy, s *place) float64 {
	copies := 1
	if p.Copies != nil {
		copies = p.Copies(c)
	}
	return p.clock.Loss(s.heat, copies)
}

// idle reports whether a copy can be evicted: no request uses it or waits for
// it, and none was just assigned to it. A copy that is being loaded is kept until
// one load time after it was expected to be complete.
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

// repeat returns an unanswered load to be sent again. When all slots are
// unconfirmed, only an accepted order can resolve them, and this one needs no
// further slot.
func (p *Placer) repeat(now time.Time) (Order, bool) {
	for c, s := range p.copies {
		if s.doubt {
			return p.send(Order{Copy: c}, now), true
		}
	}
	return Order{}, false
}
