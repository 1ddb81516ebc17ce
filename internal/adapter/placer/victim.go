package placer

import (
	"cmp"
	"time"
)

// otherVersion returns another version of the adapter that the runner holds. It must
// be unloaded first, once it is idle: a runner that is ordered to replace a version
// in use accepts no other order until the requests on it have ended.
func (p *Placer) otherVersion(c Copy) (Copy, bool) {
	for other := range p.copies {
		if other.Model == c.Model && other.Adapter == c.Adapter && other.Version != c.Version {
			return other, true
		}
	}
	return Copy{}, false
}

// evict returns the order to unload the least valuable copy, for another one to be
// loaded. A copy that may be in use is kept: its unload would wait for the running
// requests, and requests on the way to it would be refused.
func (p *Placer) evict(wanted Copy, now time.Time) (Order, bool) {
	ahead := p.demands[wanted].ahead
	var coldest *victim
	for c, s := range p.copies {
		if s.state == unloading && s.unconfirmed {
			return p.issue(Order{Copy: c, Unload: true}, now), true
		}
		if s.unconfirmed || !p.evictable(c, s, now) || ahead && !p.mayEvict(c, wanted) {
			continue
		}
		if v := (victim{c, s, p.evictionCost(c, s)}); coldest == nil || v.evictedBefore(coldest) {
			coldest = &v
		}
	}
	if coldest == nil && ahead {
		return Order{}, false
	}
	if coldest == nil {
		return p.resendUnconfirmed(now)
	}
	coldest.slot.state = unloading
	return p.issue(Order{Copy: coldest.copy, Unload: true}, now), true
}

// A victim is a copy that may be evicted.
type victim struct {
	copy Copy
	slot *slot
	cost float64 // cost of its eviction, in uses
}

// evictedBefore reports whether a copy is evicted before another: the less valuable
// first, of equals the one that was used longer ago.
func (v *victim) evictedBefore(other *victim) bool {
	return cmp.Or(cmp.Compare(v.cost, other.cost), v.slot.lastUse.Compare(other.slot.lastUse), cmp.Compare(v.copy.String(), other.copy.String())) < 0
}

// evictionCost returns the cost of evicting a copy, in uses.
func (p *Placer) evictionCost(c Copy, s *slot) float64 {
	copies := 1
	if p.Copies != nil {
		copies = p.Copies(c)
	}
	return p.clock.EvictionCost(s.heat, copies)
}

// evictable reports whether a copy can be evicted: no request uses it or waits for
// it, and none was just assigned to it. A copy that is being loaded is kept until
// one load time after it was expected to be complete.
func (p *Placer) evictable(c Copy, s *slot, now time.Time) bool {
	if d, ok := p.demands[c]; ok && d.Requests > 0 && now.Sub(d.lastSeen) <= demandTTL {
		return false
	}
	if p.InUse != nil && p.InUse(c) {
		return false
	}
	switch s.state {
	case resident:
		return now.Sub(s.lastUse) >= useGrace
	case loading:
		return now.Sub(s.readyAt) >= p.LoadTime
	default:
		return false
	}
}

// resendUnconfirmed returns an unanswered load to be sent again. When all slots are
// unconfirmed, only an accepted order can resolve them, and this one needs no
// further slot.
func (p *Placer) resendUnconfirmed(now time.Time) (Order, bool) {
	for c, s := range p.copies {
		if s.unconfirmed {
			return p.issue(Order{Copy: c}, now), true
		}
	}
	return Order{}, false
}
