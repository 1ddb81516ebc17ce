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
	// slotProbes is how many runners of a plain service are asked for a request slot: a
	// third one rarely has a much shorter wait than the better of two. If none of them
	// grants a slot, up to maxSlotProbes runners are asked, so that no request is refused
	// while a slot is free.
	slotProbes    = 2
	maxSlotProbes = 8
	// shortWaitFraction is the fraction of the latency target below which a wait is short
	// enough not to ask another runner.
	shortWaitFraction = 1. / 6
	// slotWaitFraction is the fraction of its patience that a request may wait for a slot. The
	// rest is for its execution and for the requests behind it.
	slotWaitFraction = 0.5
	// retrySlotWaitFraction is the limit for a request that has already reached a runner,
	// as a fraction of the time until its deadline.
	retrySlotWaitFraction = 1. / 3
)

// chooseWithSlot returns a runner of a plain service that granted the request a slot.
// decided is false for a service with an engine, and if no runner granted or refused a
// slot; the runner is then chosen without one.
func (x *exchange) chooseWithSlot(ctx context.Context) (runner tracker.Runner, refused *judge.Error, decided bool) {
	if x.request.Engine != nil {
		return tracker.Runner{}, nil, false
	}
	now := time.Now()
	choice := router.Router{Policy: router.Spread{CrossDomain: crossDomainCost, Draw: rand.Float64}}
	terms := choice.Choose(router.Request{}, x.Fleet.Candidates(x.demand(), now))
	var best runnerSlot
	unanswered := 0
	for n, t := range terms[:min(len(terms), maxSlotProbes)] {
		if n >= slotProbes && best.Release != nil || unanswered >= slotProbes {
			break
		}
		slot, full, ok := x.Placement.AcquireSlot(ctx, t.Runner, x.slotWaitLimit(now))
		switch {
		case !ok:
			unanswered++ // each may have taken the full timeout
			continue
		case full != nil:
			refused = soonerRetry(refused, full)
			continue
		}
		best = best.better(runnerSlot{slot, t.Runner})
		if best.Wait <= time.Duration(shortWaitFraction*float64(x.request.Route.LatencyTarget)) {
			break
		}
	}
	if best.Release == nil {
		return tracker.Runner{}, refused, refused != nil
	}
	runner, known := x.Fleet.Get(best.runner)
	if !known || x.Fleet.Declines(runner.ID, time.Now()) {
		best.abandon()
		return tracker.Runner{}, nil, false
	}
	x.slot, x.queueWait = best.RequestSlot, best.Wait
	return runner, nil, true
}

// acquireRoom acquires a request slot at a brittle runner, unless the request has one. It refuses
// the request if the runner is not known to have room.
func (x *exchange) acquireRoom(ctx context.Context, runner string) (refused *judge.Error) {
	if x.slot.Release != nil || !x.Fleet.Brittle(runner) {
		return nil
	}
	slot, refused, ok := x.Placement.AcquireSlot(ctx, runner, x.slotWaitLimit(time.Now()))
	switch {
	case refused != nil:
		return refused.WithRetryAfter(retryAfter(refused.RetryAfter))
	case ok:
		x.slot = slot
	case !x.Fleet.HasRoom(runner):
		return judge.Refuse(judge.ReasonQueue, "the brittle runner %s is not known to have room", runner).WithRetryAfter(retryAfter(0))
	}
	return nil
}

// A runnerSlot is a request slot at a runner.
type runnerSlot struct {
	RequestSlot

	runner string
}

// better returns the slot with the shorter wait and releases the other one.
func (s runnerSlot) better(other runnerSlot) runnerSlot {
	switch {
	case s.Release == nil:
		return other
	case other.Wait < s.Wait:
		s.abandon()
		return other
	default:
		other.abandon()
		return s
	}
}

// soonerRetry returns the refusal with the shorter Retry-After.
func soonerRetry(a, b *judge.Error) *judge.Error {
	if a == nil || b.RetryAfter < a.RetryAfter {
		return b
	}
	return a
}

// slotWaitLimit returns how long the request may wait for a slot at a runner.
func (x *exchange) slotWaitLimit(now time.Time) time.Duration {
	if x.delivered > 0 {
		return time.Duration(retrySlotWaitFraction * float64(x.request.Deadline.Sub(now)))
	}
	return time.Duration(slotWaitFraction*float64(x.patience())) - now.Sub(x.request.Arrived)
}

// releaseSlot releases the slot that the request holds, if any, after a completed run.
func (x *exchange) releaseSlot() {
	if x.slot.Release != nil {
		x.slot.Release()
	}
	x.slot = RequestSlot{}
}

// abandonSlot releases the slot that the request holds, if any, without a completed run.
func (x *exchange) abandonSlot() {
	x.slot.abandon()
	x.slot = RequestSlot{}
}
