package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// choose selects the runner to send the request to and waits until the runner can serve it.
func (p *exchange) choose(ctx context.Context) (tracker.Runner, *judge.Error) {
	started := time.Now()
	for {
		if refused := p.quarantined(); refused != nil {
			return tracker.Runner{}, refused
		}
		p.releaseSlot()
		if runner, refused, decided := p.chooseWithSlot(ctx); decided {
			if refused != nil {
				refused = refused.WithRetryAfter(retryAfter(refused.RetryAfter))
			}
			return runner, refused
		}
		now := time.Now()
		terms, refused := p.rankRunners(now)
		if refused != nil {
			return tracker.Runner{}, refused
		}
		best := terms[0]
		if best.Stall > 0 {
			if refused := p.awaitAdapter(ctx, best, now); refused != nil {
				return tracker.Runner{}, refused
			}
			continue
		}
		runner, ok := p.Fleet.Get(best.Runner)
		if !ok {
			continue // removed in the meantime
		}
		p.adapterWait += now.Sub(started)
		p.queueWait = time.Duration(best.Queue * float64(time.Second))
		p.acquireCopy(runner.ID) // prevents eviction of the copy while the request is delayed
		resident, refused := p.reserve(ctx, runner, terms)
		if !resident {
			p.releaseCopy()
			p.Fleet.SetHeldCopy(runner.ID, p.request.Copy, time.Time{}, false)
			continue
		}
		if runner, ok = p.Fleet.Get(runner.ID); refused == nil && (!ok || runner.Leaving) {
			continue // it started draining while the request was delayed
		}
		if refused == nil {
			refused = p.quarantined() // quarantined while the request was delayed
		}
		if refused == nil || refused.Reason != judge.ReasonQueue || len(p.fullRunners) >= maxFullRunners {
			return runner, refused
		}
		p.fullRunners[runner.ID] = true
		p.lastFull = refused
	}
}

// awaitAdapter requests the adapter at a runner and waits for the next poll. It refuses the
// request if the adapter is expected too late.
func (p *exchange) awaitAdapter(ctx context.Context, best router.Terms, now time.Time) *judge.Error {
	if p.StoppingSoon() {
		return judge.Refuse(judge.ReasonStopping, "the instance ends before the adapter is there").WithRetryAfter(retryAfter(0))
	}
	stall := time.Duration(best.Stall * float64(time.Second))
	waited := now.Sub(p.request.Arrived)
	if waited+stall > p.adapterWaitLimit() {
		return judge.Refuse(judge.ReasonLoad, "the adapter comes in %s", stall.Round(time.Millisecond)).WithRetryAfter(retryAfter(stall))
	}
	p.loadRunner = best.Runner
	p.releaseCopy()
	p.Placement.ReportWaiting(Waiter{
		Copy: p.request.Copy, InTime: waited+stall < p.request.Route.LatencyTarget, Priority: p.request.Priority, Request: p.request.Account + "/" + p.request.ID, Runner: best.Runner,
	})
	if !p.waitForPoll(ctx) {
		return p.contextError(ctx)
	}
	return nil
}

// reserve reserves prefill capacity at the runner and delays the request as long as the
// reservation requires. If nobody can grant a reservation, the request is sent immediately.
func (p *exchange) reserve(ctx context.Context, runner tracker.Runner, terms []router.Terms) (resident bool, refused *judge.Error) {
	r := p.request
	if r.Engine == nil || p.headSent {
		return true, nil
	}
	reservation, refused, ok := p.Placement.Reserve(ctx, ReserveRequest{
		Copy: r.Copy, Runner: runner.ID, Tokens: r.Tokens, MaxGap: p.request.Route.MaxGap, Timeout: p.prefillTimeout(time.Now()),
	})
	switch {
	case !ok:
		return true, nil
	case refused != nil:
		p.requestSpareCopy(terms, p.queueLimit())
		return true, refused.WithRetryAfter(retryAfter(refused.RetryAfter))
	case reservation.Absent:
		return false, nil
	case reservation.Delay <= 0:
		return true, nil
	}
	p.queueWait = reservation.Delay
	p.requestSpareCopy(terms, reservation.Delay)
	delay := time.NewTimer(reservation.Delay)
	defer delay.Stop()
	select {
	case <-ctx.Done():
		return true, p.contextError(ctx)
	case <-delay.C:
		return true, nil
	}
}

// prefillTimeout returns the time within which the prompt has to be prefilled for the
// response to be on time. A request that waited for its adapter until less than half of the
// limit is left, or that has already reached a runner, gets the full limit: it is served
// late rather than refused, as the adapter is resident now.
func (p *exchange) prefillTimeout(now time.Time) time.Duration {
	left := p.queueLimit() - now.Sub(p.request.Arrived) - p.Fleet.BaseLatency(p.request.Service)
	if p.adapterWait > 0 && left < p.queueLimit()/2 || p.delivered > 0 {
		return p.queueLimit()
	}
	return left
}

func (p *exchange) prefillLimit() time.Duration {
	return time.Duration(prefillGapFraction * float64(p.request.Route.MaxGap))
}

// waitForPoll waits for the next poll. It returns false if ctx has ended.
func (p *exchange) waitForPoll(ctx context.Context) bool {
	wait := time.NewTimer(pollInterval)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}

// demand returns the inputs for the choice of a runner.
func (p *exchange) demand(tried map[string]bool) tracker.Demand {
	r := p.request
	return tracker.Demand{
		LoadingRunner: p.loadRunner, Copy: r.Copy, MaxPrefill: p.prefillLimit(), Refused: p.fullRunners, LoadTime: p.LoadTime(), ReloadTime: p.ReloadTime(), Service: r.Service, Tokens: r.Tokens,
		Excluded: tried,
	}
}

// rankRunners returns the runners ordered by the expected time of their response. It
// refuses the request if even the first would respond too late.
func (p *exchange) rankRunners(now time.Time) ([]router.Terms, *judge.Error) {
	r := p.request
	candidates := p.Fleet.Candidates(p.demand(p.tried), now)
	if len(candidates) == 0 && len(p.tried) > 0 && p.lastEventID > r.LastEventID {
		clear(p.tried) // a stream that has started is retried on any runner
		candidates = p.Fleet.Candidates(p.demand(p.tried), now)
	}
	if len(candidates) == 0 {
		return nil, p.noRunner(now)
	}
	choice := router.Router{Policy: router.FirstToken{CrossDomain: crossDomainCost}}
	terms := choice.Choose(router.Request{Adapter: r.Copy.Adapter, TimeLeft: r.Deadline.Sub(now)}, candidates)
	best := terms[0]
	if p.fullRunners[best.Runner] {
		return nil, p.lastFull // and no other runner ranks better
	}
	if limit := p.queueLimit(); best.Queue > limit.Seconds() && p.delivered == 0 {
		p.requestSpareCopy(terms, limit)
		over := time.Duration(best.Queue*float64(time.Second)) - limit
		return nil, judge.Refuse(judge.ReasonQueue, "%.0f ms of work are before it", best.Queue*1000).WithRetryAfter(retryAfter(over))
	}
	return terms, nil
}

// noRunner refuses a request that no runner can serve: either there is no runner, or none
// holds the adapter and no instance can order it now.
func (p *exchange) noRunner(now time.Time) *judge.Error {
	if p.request.Copy.Adapter != "" && p.Fleet.AnyEligible(p.demand(p.tried), now) {
		return judge.Refuse(judge.ReasonLoad, "nobody gives orders to the runners now").WithRetryAfter(retryAfter(noRunnerRetryAfter))
	}
	return judge.Refuse(judge.ReasonUpstream, "no runner of service %s takes requests", p.request.Service).WithRetryAfter(retryAfter(noRunnerRetryAfter))
}

// queueLimit returns how much queued work may be ahead of the request when it is admitted.
func (p *exchange) queueLimit() time.Duration {
	route := p.request.Route
	part := admitFraction - admitPriorityStep*float64(min(p.request.Priority, 5))
	return time.Duration(part * float64(route.LatencyTarget))
}

const (
	// noRunnerRetryAfter is the minimum Retry-After if no runner accepts requests.
	// Restarting a runner takes about that long.
	noRunnerRetryAfter = time.Second
	// minRetryAfter is the minimum Retry-After. A shorter one would bring the caller back
	// within the same second.
	minRetryAfter = 200 * time.Millisecond
)

// contextError returns the error of a request whose deadline passed or whose caller
// disconnected.
func (p *exchange) contextError(ctx context.Context) *judge.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return judge.Refuse(judge.ReasonDeadline, "the deadline passed before the request was sent")
	}
	return judge.Refuse(judge.ReasonCancelled, "the caller went away")
}
