package placer

import (
	"slices"
	"time"
)

// Take applies a report. It returns false if it ignores the report because an
// order is in flight or one was accepted after the report was made.
func (p *Placer) Take(r Report, now time.Time) bool {
	p.init()
	if p.open != nil || r.Sequence < p.seq && !p.overtaken(now) {
		return false
	}
	p.behind = time.Time{}
	p.seq = r.Sequence
	p.takeModels(r, now)
	seen := make(map[Copy]bool)
	for _, c := range r.Resident {
		seen[c] = true
		p.enter(c, resident, now)
	}
	for _, c := range r.Incoming {
		seen[c] = true
		p.enter(c, loading, now)
	}
	for c, s := range p.copies {
		// An unanswered load may still be carried out until another order is
		// accepted, so it keeps its slot.
		if !seen[c] && (!s.doubt || s.state == unloading) {
			delete(p.copies, c)
		}
	}
	p.known = true
	return true
}

// overtaken reports whether the sequence of the reports has been behind the
// counted one for longer than any report is old. A runner accepts an order for
// what it is doing already without counting it; without this check all its later
// reports would be ignored and it would get no more orders.
func (p *Placer) overtaken(now time.Time) bool {
	if p.behind.IsZero() {
		p.behind = now
	}
	return now.Sub(p.behind) > oldReport
}

func (p *Placer) takeModels(r Report, now time.Time) {
	switch {
	case slices.Contains(r.Models, p.Model):
		p.model = modelHeld
	case r.Busy:
		p.model = modelLoading
		if now.After(p.reached) {
			p.reached = now.Add(modelMargin)
		}
	default:
		p.model = modelAbsent
	}
}

func (p *Placer) enter(c Copy, state placeState, now time.Time) {
	s, ok := p.copies[c]
	if !ok {
		s = &place{used: now} // instances report the requests that use it before it counts as idle
		p.copies[c] = s
		s.ready = now.Add(p.time(c))
	}
	if s.state == unloading && s.doubt {
		return // the unanswered unload may be carried out until another order is accepted
	}
	s.doubt = false
	if s.state != unloading || state == loading {
		s.state = state
	}
}
