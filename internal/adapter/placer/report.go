package placer

import (
	"slices"
	"time"
)

// Take takes in a report. It returns false if the report is older than an order
// that was accepted since, and so says nothing.
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
		// A load without an answer may still be carried out until another order
		// is accepted, so it keeps its place.
		if !seen[c] && (!s.doubt || s.state == unloading) {
			delete(p.copies, c)
		}
	}
	p.known = true
	return true
}

// overtaken reports whether reports have shown fewer orders than were counted
// for longer than a report is old. A runner accepts an order that asks for what
// is being done already without counting it; without this the runner would get
// no order any more.
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
		s = &place{used: now} // who uses it is told within that time
		p.copies[c] = s
		s.ready = now.Add(p.time(c))
	}
	if s.state == unloading && s.doubt {
		return // it may go at any moment until another order is accepted
	}
	s.doubt = false
	if s.state != unloading || state == loading {
		s.state = state
	}
}
