package placer

import (
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

// evict gives up the copy whose last use is longest ago. One that may be in use
// is kept: an unload would wait for its runs, and requests for it that are on
// their way would be refused.
func (p *Placer) evict(now time.Time) (Order, bool) {
	var victim Copy
	var oldest *place
	for c, s := range p.copies {
		if s.state == unloading && s.doubt {
			return p.send(Order{Copy: c, Unload: true}), true
		}
		if s.doubt || !p.idle(s, now) {
			continue
		}
		if oldest == nil || s.used.Before(oldest.used) || s.used.Equal(oldest.used) && c.String() < victim.String() {
			victim, oldest = c, s
		}
	}
	if oldest == nil {
		return p.repeat()
	}
	oldest.state = unloading
	return p.send(Order{Copy: victim, Unload: true}), true
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
func (p *Placer) repeat() (Order, bool) {
	for c, s := range p.copies {
		if s.doubt {
			return p.send(Order{Copy: c}), true
		}
	}
	return Order{}, false
}
