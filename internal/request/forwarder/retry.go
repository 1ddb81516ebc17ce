package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// mayRetry reports whether the request may be retried.
func (x *exchange) mayRetry(ctx context.Context, failed *judge.Error) bool {
	x.retryWait = 0
	switch {
	case ctx.Err() != nil, errors.Is(failed, errCallerGone):
		return false
	case failed.Verdict == judge.NotRun:
	case !x.request.Route.Repeatable(), x.executions >= x.request.Route.MaxExecutions:
		return false
	}
	return x.delivered == 0 || x.retryPaid.Swap(false) || x.withdrawRetry(ctx, failed)
}

// withdrawRetry withdraws a retry from the budget. A stream that has started waits for one, ahead
// of all other requests, for as long as its caller is expected to wait for the next event. A
// request that no runner has run waits while its response would be on time and the number of
// instances, on which the budget depends, is unknown, as shortly after a start. Any other request
// does not wait: it may have crashed its runner, and would crash another one.
func (x *exchange) withdrawRetry(ctx context.Context, failed *judge.Error) bool {
	began := time.Now()
	defer func() { x.retryWait = time.Since(began) }()
	if x.streamStarted() {
		ctx, cancel := context.WithTimeout(ctx, x.eventWaitLimit())
		defer cancel()
		return x.budget.Await(ctx)
	}
	for !x.budget.Withdraw() {
		onTime := time.Since(x.request.Arrived) < x.request.Route.LatencyTarget
		if failed.Verdict != judge.NotRun || x.InstancesKnown() || !onTime || !x.waitForPoll(ctx) {
			return false
		}
	}
	return true
}

// streamStarted reports whether the caller has received a part of the response, which a failure
// would cut off.
func (x *exchange) streamStarted() bool { return x.headSent || x.request.Resumed }

// eventWaitLimit returns how much longer a stream that has started may wait before it is sent to
// a runner again.
func (x *exchange) eventWaitLimit() time.Duration {
	last := x.lastEventAt
	if last.IsZero() {
		last = x.request.LastEventAt
	}
	return time.Duration(streamWaitFraction*float64(x.callerTimeout())) - time.Since(last)
}
