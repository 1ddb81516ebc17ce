package placer

import "time"

// A Room is the room at a runner for a copy that is loaded ahead of demand, worst first.
type Room int

// The values of Room.
const (
	NoRoom    Room = iota
	Evictable      // a less popular copy can be evicted
	Empty          // an adapter slot is empty
	Replaces       // an older version of the adapter is idle there
)

// Accepted reports whether the runner holds a copy or has accepted the order to load it.
func (p *Placer) Accepted(c Copy) bool {
	s, ok := p.copies[c]
	return ok && !s.unconfirmed && s.state != unloading
}

// AheadRoom returns whether a copy can be loaded ahead of demand now, and at what cost. A version
// in use is not replaced, and a newer one neither.
func (p *Placer) AheadRoom(c Copy, now time.Time) Room {
	if !p.known || p.model != modelResident {
		return NoRoom
	}
	if old, ok := p.otherVersion(c); ok {
		if s := p.copies[old]; old.Version > c.Version || s.unconfirmed || !p.evictable(old, s, now) {
			return NoRoom
		}
		return Replaces
	}
	if len(p.copies) < p.AdapterSlots {
		return Empty
	}
	for held, s := range p.copies {
		if !s.unconfirmed && p.evictable(held, s, now) && p.mayEvict(held, c) {
			return Evictable
		}
	}
	return NoRoom
}

// EachCopy calls do for each copy that is held, being loaded, or requested. ready is set for one
// that can be used.
func (p *Placer) EachCopy(now time.Time, do func(c Copy, ready bool)) {
	for c, s := range p.copies {
		if s.state != unloading {
			do(c, !s.unconfirmed && (s.state == resident || !now.Before(s.readyAt)))
		}
	}
	for c, d := range p.demands {
		if s, ok := p.copies[c]; (!ok || s.state == unloading) && now.Sub(d.lastSeen) <= demandTTL {
			do(c, false)
		}
	}
}

// RequestAhead requests a copy that no request waits for, with the number of uses that are
// expected in its first second. It has no effect if requests wait for the copy. The caller repeats
// it while the copy is needed.
func (p *Placer) RequestAhead(c Copy, uses float64, now time.Time) {
	p.init()
	d, ok := p.demands[c]
	if ok && d.Requests > 0 && now.Sub(d.lastSeen) <= demandTTL {
		return
	}
	if !ok {
		d.firstSeen = now
	}
	d.Waiting, d.ahead, d.lastSeen, d.uses = Waiting{Priority: Spare}, true, now, uses
	p.demands[c] = d
}

// Wants reports whether a copy is held, being loaded, or requested.
func (p *Placer) Wants(c Copy, now time.Time) bool {
	d, ok := p.demands[c]
	return ok && now.Sub(d.lastSeen) <= demandTTL || p.Holds(c)
}

// WithdrawAhead withdraws the request for a copy ahead of demand, unless requests wait for it.
func (p *Placer) WithdrawAhead(c Copy) {
	if p.demands[c].ahead {
		delete(p.demands, c)
	}
}

// expectedUses returns the uses that count for a copy when its load begins. A copy that is loaded
// ahead of demand was not used yet; without them it would be the first to be evicted, and would be
// requested again.
func (p *Placer) expectedUses(c Copy) float64 {
	if d := p.demands[c]; d.ahead {
		return d.uses
	}
	return 0
}

// mayEvict reports whether a copy may be evicted for one that is loaded ahead of demand.
func (p *Placer) mayEvict(victim, ahead Copy) bool {
	return p.MayEvict == nil || p.MayEvict(victim, ahead)
}
