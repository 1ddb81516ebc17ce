package placer

import (
	"time"
)

// Finish records the outcome of the order that Next returned.
func (p *Placer) Finish(outcome Outcome, now time.Time) {
	o := p.inFlight
	p.inFlight = nil
	if o == nil {
		return
	}
	switch outcome {
	case Accepted, Applied:
		p.applyAccepted(o, outcome, now)
	case Lost:
		// No report is needed: the next order carries the expected sequence, so it
		// is refused if this one was carried out after all.
		if s, ok := p.copies[o.Copy]; ok {
			s.unconfirmed = true
		}
	case Mismatch, Refused, Unreached:
		p.revert(o)
		p.known = false
		p.notBefore = now.Add(refusalDelay)
	}
}

func (p *Placer) applyAccepted(o *Order, outcome Outcome, now time.Time) {
	if outcome == Accepted || o.Unload { // a load that is already in effect is not counted by the runner
		p.seq++
		p.resolveUnconfirmed(o)
	}
	if o.Copy.Adapter == "" {
		p.model = modelLoading
		if outcome == Applied {
			p.model = modelResident
		}
		p.modelReadyBy = now.Add(p.modelLoadTime() + modelLoadMargin)
		return
	}
	s := p.copies[o.Copy]
	switch {
	case s == nil:
	case o.Unload && outcome == Applied:
		delete(p.copies, o.Copy)
		p.heldBefore.Add(o.Copy)
	case o.Unload:
		p.known = false // the unload waits for running requests; a report shows when the slot is free
		p.notBefore = now.Add(useGrace)
	case outcome == Applied:
		s.state, s.unconfirmed, s.readyAt, s.lastUse = resident, false, now, now
	default:
		s.unconfirmed, s.acceptedAt, s.readyAt = false, now, now.Add(p.loadTime(o.Copy))
		s.lastUse = s.readyAt
	}
}

// resolveUnconfirmed resolves the unanswered orders: this order was accepted, so the
// runner refuses every earlier one that it has not accepted.
func (p *Placer) resolveUnconfirmed(accepted *Order) {
	for c, s := range p.copies {
		switch {
		case !s.unconfirmed || c == accepted.Copy:
		case s.state == unloading:
			s.state, s.unconfirmed = resident, false
		default:
			delete(p.copies, c)
		}
	}
}

// revert reverts what Next recorded for an order that was refused.
func (p *Placer) revert(o *Order) {
	s, ok := p.copies[o.Copy]
	switch {
	case !ok, p.resend: // the first attempt stays unconfirmed
	case o.Unload:
		s.state = resident
	case s.unconfirmed:
		delete(p.copies, o.Copy)
	}
}

func (p *Placer) modelLoadTime() time.Duration { return p.LoadTime * modelLoadFactor }

// modelLoadFactor is the expected load time of a model, in load times of an adapter.
// A report is requested only after it, as reports have a cost.
const modelLoadFactor = 2
