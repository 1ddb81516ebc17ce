package placer

import (
	"time"
)

// Finish records the outcome of the order that Next returned.
func (p *Placer) Finish(outcome Outcome, now time.Time) {
	o := p.open
	p.open = nil
	if o == nil {
		return
	}
	switch outcome {
	case Accepted, Holds:
		p.accepted(o, outcome, now)
	case Lost:
		// No report is needed: the next order carries the expected sequence, so it
		// is refused if this one was carried out after all.
		if s, ok := p.copies[o.Copy]; ok {
			s.doubt = true
		}
	case Mismatch, Refused, Unreached:
		p.void(o)
		p.known = false
		p.retry = now.Add(pause)
	}
}

func (p *Placer) accepted(o *Order, outcome Outcome, now time.Time) {
	if outcome == Accepted || o.Unload { // a load that is already in effect is not counted by the runner
		p.seq++
		p.settle(o)
	}
	if o.Copy.Adapter == "" {
		p.model = modelLoading
		if outcome == Holds {
			p.model = modelHeld
		}
		p.reached = now.Add(p.modelTime() + modelMargin)
		return
	}
	s := p.copies[o.Copy]
	switch {
	case s == nil:
	case o.Unload && outcome == Holds:
		delete(p.copies, o.Copy)
		p.past.Add(o.Copy)
	case o.Unload:
		p.known = false // the unload waits for running requests; a report shows when the slot is free
		p.retry = now.Add(rest)
	case outcome == Holds:
		s.state, s.doubt, s.ready, s.used = resident, false, now, now
	default:
		s.doubt, s.ordered, s.ready = false, now, now.Add(p.time(o.Copy))
		s.used = s.ready
	}
}

// settle resolves the unanswered orders: this order was accepted, so the runner
// refuses every earlier one that it has not accepted.
func (p *Placer) settle(accepted *Order) {
	for c, s := range p.copies {
		switch {
		case !s.doubt || c == accepted.Copy:
		case s.state == unloading:
			s.state, s.doubt = resident, false
		default:
			delete(p.copies, c)
		}
	}
}

// void reverts what Next recorded for an order that was refused.
func (p *Placer) void(o *Order) {
	s, ok := p.copies[o.Copy]
	switch {
	case !ok, p.again: // the first attempt stays unconfirmed
	case o.Unload:
		s.state = resident
	case s.doubt:
		delete(p.copies, o.Copy)
	}
}

func (p *Placer) modelTime() time.Duration { return p.Load * modelLoads }

// modelLoads is the expected load time of a model, in load times of an adapter. A
// report is requested only after it, as reports have a cost.
const modelLoads = 2
