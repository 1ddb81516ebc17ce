package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const (
	// slotProbes is how many runners of a plain service are asked for a place. A third one
	// is hardly ever much freer than the better of two. Where none of them has one, up to
	// mostAsked are: nobody is to be refused while there is a place.
	slotProbes    = 2
	maxSlotProbes = 8
	// shortWaitFraction is the part of the goal for which a request may wait without that another
	// runner is asked.
	shortWaitFraction = 1. / 6
	// slotWaitFraction is the part of the goal for which it may wait at all. What is left is for
	// its run, and for those that come after it.
	slotWaitFraction = 0.5
	// retrySlotWaitFraction is the same, of the time that its caller still has, for a request that has
	// been sent before.
	retrySlotWaitFraction = 1. / 3
)

// chooseWithSlot returns a runner of a plain service where the request has a place; asked is false
// if nobody can tell.
func (p *exchange) chooseWithSlot(ctx context.Context) (runner tracker.Runner, refused *judge.Error, decided bool) {
	if p.request.Engine != nil {
		return tracker.Runner{}, nil, false
	}
	now := time.Now()
	choice := router.Router{Policy: router.Spread{CrossDomain: crossDomainCost, Draw: rand.Float64}}
	terms := choice.Choose(router.Request{}, p.Fleet.Candidates(p.demand(p.tried), now))
	var best runnerSlot
	unanswered := 0
	for n, t := range terms[:min(len(terms), maxSlotProbes)] {
		if n >= slotProbes && best.Done != nil || unanswered >= slotProbes {
			break
		}
		slot, full, ok := p.Placement.Place(ctx, t.Runner, p.slotWaitLimit(now))
		switch {
		case !ok:
			unanswered++ // each may have taken the time that an answer is awaited
			continue
		case full != nil:
			refused = soonerRetry(refused, full)
			continue
		}
		best = best.better(runnerSlot{slot, t.Runner})
		if best.Wait <= time.Duration(shortWaitFraction*float64(p.request.Route.Goal)) {
			break
		}
	}
	if best.Done == nil {
		return tracker.Runner{}, refused, refused != nil
	}
	runner, known := p.Fleet.Get(best.runner)
	if !known || runner.Leaving {
		best.Done()
		return tracker.Runner{}, nil, false
	}
	p.slot, p.queueWait = best.Place, best.Wait
	return runner, nil, true
}

// A placed is a place at a runner.
type runnerSlot struct {
	Place

	runner string
}

// better returns the place where the request waits less, and gives the other one back.
func (p runnerSlot) better(other runnerSlot) runnerSlot {
	switch {
	case p.Done == nil:
		return other
	case other.Wait < p.Wait:
		p.Done()
		return other
	default:
		other.Done()
		return p
	}
}

// soonerRetry returns the refusal with the shorter wait.
func soonerRetry(a, b *judge.Error) *judge.Error {
	if a == nil || b.Retry < a.Retry {
		return b
	}
	return a
}

// slotWaitLimit returns for how long the request may wait at a runner.
func (p *exchange) slotWaitLimit(now time.Time) time.Duration {
	if p.delivered > 0 {
		return time.Duration(retrySlotWaitFraction * float64(p.request.Deadline.Sub(now)))
	}
	return time.Duration(slotWaitFraction*float64(p.request.Route.Goal)) - now.Sub(p.request.Arrived)
}

// releaseSlot gives the place at a runner back.
func (p *exchange) releaseSlot() {
	if p.slot.Done != nil {
		p.slot.Done()
	}
	p.slot = Place{}
}
