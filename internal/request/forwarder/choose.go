package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// choose selects the runner to send the request to and waits until the runner can serve it.
func (x *exchange) choose(ctx context.Context) (tracker.Runner, *judge.Error) {
	started := time.Now()
	for {
		if refused := x.quarantined(); refused != nil {
			return tracker.Runner{}, refused
		}
		switch {
		case x.takesDetour():
			return tracker.Runner{}, errDetour
		case x.Fleet.Detector.Partitioned(x.request.Service):
			// One that came over a detour does not wait here: its sender knows other peers.
			if refused := x.noRunner(time.Now()); x.request.Via != "" || !x.awaitRunner(ctx, refused) {
				return tracker.Runner{}, refused
			}
			continue
		}
		x.abandonSlot()
		if runner, refused, decided := x.chooseWithSlot(ctx); decided {
			if refused != nil {
				return runner, refused.WithRetryAfter(retryAfter(refused.RetryAfter))
			}
			if !x.takeToken(ctx, runner.ID) || !x.takes(runner) {
				continue
			}
			return runner, nil
		}
		now := time.Now()
		terms, refused := x.rankRunners(now)
		if refused != nil {
			if x.eligible.stopAvoiding() || x.awaitRunner(ctx, refused) {
				continue
			}
			return tracker.Runner{}, refused
		}
		best := terms[0]
		if best.Stall > 0 {
			if refused := x.awaitAdapter(ctx, best, now); refused != nil {
				return tracker.Runner{}, refused
			}
			continue
		}
		runner, ok := x.Fleet.Get(best.Runner)
		if !ok {
			continue // removed in the meantime
		}
		if !x.takeToken(ctx, runner.ID) {
			continue
		}
		x.adapterWait += now.Sub(started)
		x.queueWait = time.Duration(best.Queue * float64(time.Second))
		x.acquireCopy(runner.ID) // prevents eviction of the copy while the request is delayed
		resident, refused := x.reserve(ctx, runner, terms)
		if !resident {
			x.releaseCopy()
			x.Fleet.SetHeldCopy(runner.ID, x.request.Copy, time.Time{}, false)
			continue
		}
		if refused == nil && !x.takeToken(ctx, runner.ID) {
			continue // the token expired while the request was delayed
		}
		if runner, ok = x.Fleet.Get(runner.ID); refused == nil && (!ok || !x.takes(runner)) {
			continue // it was removed, replaced, or began to leave or rest, while the request was delayed
		}
		if refused == nil {
			refused = x.quarantined() // quarantined while the request was delayed
		}
		if refused == nil {
			refused = x.acquireRoom(ctx, runner.ID)
		}
		if refused == nil || refused.Reason != judge.ReasonQueue {
			return runner, refused
		}
		refused = x.soonestFull(refused)
		if len(x.eligible.full) >= maxFullRunners {
			return runner, refused
		}
		x.eligible.fill(runner.ID)
		x.lastFull = refused
	}
}

// takes reports whether a runner that was chosen still takes the request.
func (x *exchange) takes(runner tracker.Runner) bool {
	return x.eligible.pin.Allows(runner) && !x.Fleet.Declines(runner.ID, time.Now())
}

// awaitAdapter requests the adapter at a runner and waits for the next poll. It refuses the
// request if the adapter is expected too late for its caller.
func (x *exchange) awaitAdapter(ctx context.Context, best router.Terms, now time.Time) *judge.Error {
	if x.StoppingSoon() {
		return judge.Refuse(judge.ReasonStopping, "the instance ends before the adapter is there").WithRetryAfter(retryAfter(0))
	}
	stall := time.Duration(best.Stall * float64(time.Second))
	waited := now.Sub(x.request.Arrived)
	if end, _ := ctx.Deadline(); stall > x.adapterWaitLeft(end, now) {
		if x.eligible.stopAvoiding() {
			return nil
		}
		return judge.Refuse(judge.ReasonLoad, "the adapter comes in %s", stall.Round(time.Millisecond)).WithRetryAfter(retryAfter(stall))
	}
	x.loadRunner = best.Runner
	x.releaseCopy()
	inTime := x.awaitsNextEvent() || waited+stall < x.request.Route.LatencyTarget
	x.Placement.ReportWaiting(Waiter{
		Copy: x.request.Copy, Continues: x.awaitsNextEvent(), InTime: inTime, Priority: x.request.Priority, Request: x.request.Account + "/" + x.request.ID, Runner: best.Runner,
	})
	if !x.waitForPoll(ctx) {
		return x.contextError(ctx)
	}
	return nil
}

// reserve reserves prefill capacity at the runner and delays the request as long as the
// reservation requires. If no instance can grant a reservation, the request is sent
// immediately.
func (x *exchange) reserve(ctx context.Context, runner tracker.Runner, terms []router.Terms) (resident bool, refused *judge.Error) {
	r := x.request
	if r.Engine == nil || x.streamStarted() {
		return true, nil
	}
	began := time.Now()
	timeout, extension := x.prefillLimits(began)
	reservation, refused, ok := x.Placement.Reserve(ctx, ReserveRequest{
		Account: r.Account, Copy: r.Copy, Priority: r.Priority, Runner: runner.ID, Tokens: r.Tokens, MaxGap: x.request.Route.MaxGap, Timeout: timeout, Extension: extension,
		OnQueued: func(wait time.Duration) {
			x.queueWait = wait
			x.requestSpareCopy(terms, wait)
		},
	})
	if x.Ordered {
		x.queued += time.Since(began)
	}
	switch {
	case x.Ordered && ctx.Err() != nil:
		return true, x.contextError(ctx) // it ended while the request waited for its turn
	case !ok:
		return true, nil
	case refused != nil:
		x.requestSpareCopy(terms, x.queueLimit())
		return true, refused.WithRetryAfter(retryAfter(refused.RetryAfter))
	case reservation.Absent:
		return false, nil
	case reservation.Delay <= 0:
		return true, nil
	}
	x.queueWait = reservation.Delay
	x.requestSpareCopy(terms, reservation.Delay)
	if !pacer.Sleep(ctx, reservation.Delay) {
		return true, x.contextError(ctx)
	}
	return true, nil
}

// soonestFull returns the refusal to pass on after a further runner has refused the request.
// Where Retry-After states when the backlog of a runner drains, that of the first one counts.
func (x *exchange) soonestFull(refused *judge.Error) *judge.Error {
	if !x.Ordered {
		return refused
	}
	return soonerRetry(x.lastFull, refused)
}

func (x *exchange) prefillLimit() time.Duration {
	return time.Duration(prefillGapFraction * float64(x.request.Route.MaxGap))
}

// waitForPoll waits for the next poll. It returns false if ctx has ended.
func (x *exchange) waitForPoll(ctx context.Context) bool { return pacer.Sleep(ctx, pollInterval) }

// demand returns the inputs for the choice of a runner.
func (x *exchange) demand() tracker.Demand {
	r := x.request
	d := tracker.Demand{
		LoadingRunner: x.loadRunner, Copy: r.Copy, MaxGap: r.Route.MaxGap, MaxPrefill: x.prefillLimit(), LoadTime: x.LoadTime(), ReloadTime: x.ReloadTime(), Service: r.Service, Tokens: r.Tokens,
		Ordered: x.Ordered, Priority: r.Priority, Continues: x.awaitsNextEvent(),
	}
	x.eligible.restrict(&d)
	return d
}

// rankRunners returns the runners ordered by the expected time of their response. It
// refuses the request if even the first would respond too late.
func (x *exchange) rankRunners(now time.Time) ([]router.Terms, *judge.Error) {
	r := x.request
	candidates := x.Fleet.Candidates(x.demand(), now)
	if len(candidates) == 0 && (x.streamStarted() || x.silenceWaitLimit() > 0) && x.eligible.retryTried(x.Quarantine.Down) {
		candidates = x.Fleet.Candidates(x.demand(), now)
	}
	if len(candidates) == 0 {
		return nil, x.noRunner(now)
	}
	choice := router.Router{Policy: router.FirstToken{CrossDomain: crossDomainCost}}
	terms := choice.Choose(router.Request{Adapter: r.Copy.Adapter, TimeLeft: r.Deadline.Sub(now)}, candidates)
	best := terms[0]
	if x.eligible.full[best.Runner] {
		return nil, x.lastFull // and no other runner ranks better
	}
	if queue := time.Duration(best.Queue * float64(time.Second)); x.exceedsQueueLimit(queue, now) {
		limit := x.queueLimit()
		x.requestSpareCopy(terms, limit)
		if r.Copy.Adapter != "" {
			x.Placement.ReportRefusal(best.Runner, r.Copy)
		}
		return nil, judge.Refuse(judge.ReasonQueue, "%.0f ms of work are before it", best.Queue*1000).WithRetryAfter(retryAfter(queue - limit))
	}
	return terms, nil
}

// noRunner refuses a request that no runner can serve: none holds the adapter and no instance
// can order it now, or those that there are want no request now, or there is none.
func (x *exchange) noRunner(now time.Time) *judge.Error {
	if x.Fleet.Detector.Partitioned(x.request.Service) {
		return judge.Refuse(judge.ReasonUpstream, "this instance reaches no runner of service %s", x.request.Service).WithRetryAfter(retryAfter(partitionRetryAfter))
	}
	if pin := x.eligible.pin; !x.Fleet.HasVersion(x.request.Service, pin) && x.Fleet.HasVersion(x.request.Service, tracker.VersionPin{}) {
		return judge.Refuse(judge.ReasonVersion, "only runners of other software versions than %q, at which the stream began, are left", pin.Version).WithRetryAfter(retryAfter(noRunnerRetryAfter))
	}
	if x.request.Copy.Adapter != "" && x.Fleet.AnyEligible(x.demand(), now) {
		return judge.Refuse(judge.ReasonLoad, "nobody gives orders to the runners now").WithRetryAfter(retryAfter(noRunnerRetryAfter))
	}
	if pause, ok := x.Fleet.ShortestPause(x.demand(), now); ok {
		reason, why := judge.ReasonRest, "ask for rest"
		if pause.Limit {
			reason, why = judge.ReasonLimit, "limit their request rate"
		}
		return judge.Refuse(reason, "the runners of service %s %s", x.request.Service, why).WithRetryAfter(retryAfter(pause.Left))
	}
	return judge.Refuse(judge.ReasonUpstream, "no runner of service %s takes requests", x.request.Service).WithRetryAfter(retryAfter(noRunnerRetryAfter))
}

const (
	// noRunnerRetryAfter is the minimum Retry-After if no runner accepts requests.
	// Restarting a runner takes about that long.
	noRunnerRetryAfter = time.Second
	// partitionRetryAfter is the minimum Retry-After while this instance is partitioned from the
	// runners. The retry reaches another instance, or this one after it was probed again.
	partitionRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the minimum Retry-After. A shorter one would bring the caller back
	// within the same second.
	minRetryAfter = 200 * time.Millisecond
)

// contextError returns the error of a request whose deadline passed, whose caller
// disconnected or whose instance ends.
func (x *exchange) contextError(ctx context.Context) *judge.Error {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return ErrStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return judge.Refuse(judge.ReasonDeadline, "the deadline passed before the request was sent")
	}
	return judge.Refuse(judge.ReasonCancelled, "the caller went away")
}
