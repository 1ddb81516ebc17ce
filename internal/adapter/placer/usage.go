package placer

import "time"

// A Usage counts the adapter slots of a runner by use.
type Usage struct {
	Loading int // the copy is being loaded
	Running int // requests use the copy
	Vacant  int // free, or with a copy that can be evicted now
	Slots   int
}

// Add adds the slots of another runner.
func (u *Usage) Add(other Usage) {
	u.Loading += other.Loading
	u.Running += other.Running
	u.Vacant += other.Vacant
	u.Slots += other.Slots
}

// Usage returns how the runner's adapter slots are used.
func (p *Placer) Usage(now time.Time) Usage {
	u := Usage{Slots: p.AdapterSlots, Vacant: p.Vacant(now)}
	for c, s := range p.copies {
		switch {
		case s.state == loading && now.Before(s.readyAt):
			u.Loading++
		case p.InUse != nil && p.InUse(c):
			u.Running++
		}
	}
	return u
}

// Vacant returns how many adapter slots are free or hold a copy that can be
// evicted now.
func (p *Placer) Vacant(now time.Time) int {
	n := max(0, p.AdapterSlots-len(p.copies))
	for c, s := range p.copies {
		if !s.unconfirmed && p.evictable(c, s, now) {
			n++
		}
	}
	return n
}
