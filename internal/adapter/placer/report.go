package placer

import (
	"slices"
	"time"
)

// ApplyReport applies a report. It returns false if it ignores the report because an
// order is in flight or one was accepted after the report was made.
func (p *Placer) ApplyReport(r Report, now time.Time) bool {
	p.init()
	if p.inFlight != nil || r.Sequence < p.seq && !p.laggingTooLong(now) {
		return false
	}
	p.behindSince = time.Time{}
	p.seq = r.Sequence
	p.applyModels(r, now)
	reported := make(map[Copy]bool)
	for _, c := range r.Resident {
		reported[c] = true
		p.observe(c, resident, now)
	}
	for _, c := range r.Incoming {
		reported[c] = true
		p.observe(c, loading, now)
	}
	for c, s := range p.copies {
		// An unanswered load may still be carried out until another order is
		// accepted, so it keeps its slot.
		if !reported[c] && (!s.unconfirmed || s.state == unloading) {
			delete(p.copies, c)
		}
	}
	p.known = true
	return true
}

// laggingTooLong reports whether the sequence of the reports has been behind the
// counted one for longer than any report is old. A runner accepts an order for
// what it is doing already without counting it; without this check all its later
// reports would be ignored and it would get no more orders.
func (p *Placer) laggingTooLong(now time.Time) bool {
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) > maxReportAge
}

func (p *Placer) applyModels(r Report, now time.Time) {
	switch {
	case slices.Contains(r.Models, p.Model):
		p.model = modelResident
	case r.Busy:
		p.model = modelLoading
		if now.After(p.modelReadyBy) {
			p.modelReadyBy = now.Add(modelLoadMargin)
		}
	default:
		p.model = modelAbsent
	}
}

func (p *Placer) observe(c Copy, state slotState, now time.Time) {
	s, ok := p.copies[c]
	if !ok {
		s = &slot{lastUse: now} // instances report the requests that use it before it counts as idle
		p.copies[c] = s
		s.readyAt = now.Add(p.loadTime(c))
	}
	if s.state == unloading && s.unconfirmed {
		return // the unanswered unload may be carried out until another order is accepted
	}
	s.unconfirmed = false
	if s.state != unloading || state == loading {
		s.state = state
	}
}
