package forwarder

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// mayRetry reports whether the request may be retried.
func (x *exchange) mayRetry(ctx context.Context, failed *judge.Error) bool {
	x.retryWait = 0
	switch {
	case ctx.Err() != nil, failed.Reason == judge.ReasonCancelled:
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

const (
	// breakWait is how long a stream waits to see whether connections to other runners break, too. A
	// partition resets all of them within milliseconds.
	breakWait = 20 * time.Millisecond
	// probeWait is how long it waits for probes from when its connection broke. They begin within 200 ms,
	// and runners that answer, refuse or reset show it within milliseconds. Where connecting takes longer,
	// the next attempt gets no connection either and costs no execution.
	probeWait = 250 * time.Millisecond
)

// awaitProbes makes a stream that has started, whose connection to a runner has just broken, wait before
// its last execution until it is known whether this instance still reaches the runners. Otherwise it
// would be sent to another runner behind the same partition, and could not take a detour any more.
func (x *exchange) awaitProbes(ctx context.Context) {
	if x.executions == 0 || x.executions+1 < x.request.Route.MaxExecutions || !x.streamStarted() || !x.mayDetour() {
		return
	}
	for time.Since(x.brokenAt) < probeWait {
		now := time.Now()
		suspects := now.Sub(x.brokenAt) < breakWait && x.Fleet.Detector.Busy(x.request.Service, x.lastRunner)
		if !suspects && !x.Fleet.Detector.Probing(x.request.Service, now) || !x.waitForPoll(ctx) {
			return
		}
	}
}

// runnerPollInterval is how often a stream that waits for its next event checks for a runner that takes it.
const runnerPollInterval = 50 * time.Millisecond

// awaitRunner makes a stream that no runner takes now, and whose caller waits for the next event, wait
// until it is time to look again. It returns false if the stream is to be refused: a runner is not
// expected in time, or it is any other request, whose caller is told when to come back. A request whose
// attempt was ended because its runner was silent waits too, as it would have at that runner.
func (x *exchange) awaitRunner(ctx context.Context, refused *judge.Error) bool {
	switch refused.Reason {
	case judge.ReasonLoad, judge.ReasonQueue:
		if x.progress() == progressTakenUp && x.silenceWaitLimit() <= 0 {
			return false // its limits are those of its caller: it is known to come too late
		}
	case judge.ReasonLimit, judge.ReasonRest, judge.ReasonUpstream:
	case judge.ReasonStopping: // a peer is stopping; a stop of this instance ends ctx
	default:
		return false
	}
	if x.silenceWaitLimit() <= 0 && (!x.awaitsNextEvent() || x.eventWaitLimit() < refused.RetryAfter/2) { // half of it is random
		return false
	}
	x.eligible.retryFull() // they may have capacity by then
	return pacer.Sleep(ctx, runnerPollInterval)
}
