package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// ErrStopping is the cause of the end of requests in progress when their instance ends.
var ErrStopping = judge.Stopping("the instance ends")

// errCallerGone reports that the caller disconnected.
var errCallerGone = &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCancelled, Message: "the caller went away"}

const (
	// readSize is the size of the read buffer for response bodies, in bytes. One event is
	// about 60 bytes.
	readSize = 4 << 10
	// maxBodySize limits the body of a response that is not streamed, in bytes: it is held in memory
	// until it is complete, so that an attempt that breaks off can be repeated. The attempt fails
	// beyond it.
	maxBodySize = 16 << 20
)

// try sends the request to one runner and forwards the response to the caller.
func (x *exchange) try(ctx context.Context, runner tracker.Runner) *judge.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	deadline, _ := ctx.Deadline()
	run := x.Fleet.Begin(runner.ID, x.request.Tokens, now)
	defer func() { run.End(tracker.CallerLeft, time.Now()) }() // only a panic leaves it open
	x.lastRunner, x.lastVersion, x.lastRun, x.sentAt, x.token = runner.ID, runner.Version, run, now, token{}
	x.writesSince = time.Time{}
	connected, stop := x.awaitConnection(run)
	defer stop()
	x.acquireCopy(runner.ID)
	defer x.releaseCopy()
	defer x.abandonSlot()
	wd := x.newWatchdog(runner, cancel)
	defer wd.stop()
	reply, observation := x.Upstream.Send(ctx, Attempt{
		Request: x.request, Runner: runner, LastEventID: x.lastEventID, Timeout: deadline.Sub(now),
		OnConnected: connected,
	})
	if _, unreachable := observation.(judge.DialFailed); !unreachable {
		connected()
	}
	if observation != nil {
		return x.handleNoResponse(ctx, run, runner, observation)
	}
	x.delivered++
	reply.Version = runner.Version
	if reply.NotRun {
		return x.handleRefusal(run, runner, reply)
	}
	x.executions++
	run.First(time.Now())
	x.reportHit(runner.ID, now)
	var err *judge.Error
	if x.request.Route.Kind == matcher.Streaming && reply.Status < 300 {
		err = x.relayStream(ctx, runner, reply, wd)
		if gap := x.request.Route.MaxGap; err == nil && x.executions == 1 && x.longestGap > 0 && gap > 0 {
			x.Placement.ReportGap(runner.ID, x.longestGap, gap)
		}
	} else {
		wd.stop()
		if err = x.relayComplete(ctx, runner, reply); err == nil {
			x.releaseSlot()
		}
	}
	run.End(runEnd(ctx, err), time.Now())
	return err
}

// connectGrace is how long a request that has no connection to its runner yet counts as load
// there. Connecting to a runner that is up takes milliseconds.
const connectGrace = 50 * time.Millisecond

// awaitConnection makes a request that gets no connection for a while release its request slot
// and no longer count as load, as it may never reach the runner. connected is called when
// there is a connection; further calls have no effect. stop is called at the end.
func (x *exchange) awaitConnection(run *tracker.Run) (connected, stop func()) {
	began, slot := time.Now(), x.slot
	late := time.AfterFunc(connectGrace, func() {
		defer x.Recorder.Recover("timer", x.request.ID, nil)
		run.Waits()
		slot.abandon()
	})
	connected = sync.OnceFunc(func() {
		late.Stop()
		x.connecting += time.Since(began)
		run.Connected(time.Now())
	})
	return connected, func() { late.Stop() }
}

func runEnd(ctx context.Context, err *judge.Error) tracker.End {
	switch {
	case err == nil:
		return tracker.Done
	case errors.Is(err, errCallerGone), errors.Is(context.Cause(ctx), context.Canceled):
		return tracker.CallerLeft
	default:
		return tracker.Failed
	}
}

// handleNoResponse derives the error of an attempt that got no response head.
func (x *exchange) handleNoResponse(ctx context.Context, run *tracker.Run, runner tracker.Runner, observation judge.Observation) *judge.Error {
	err := judge.Judge(observation)
	_, unreachable := observation.(judge.DialFailed)
	_, withdrawn := observation.(judge.Withdrawn)
	if !unreachable && !withdrawn {
		x.delivered++
	}
	if err.Verdict != judge.NotRun {
		x.executions++
	}
	end := tracker.Failed
	switch {
	case withdrawn && (ctx.Err() == nil || errors.Is(context.Cause(ctx), context.Canceled)):
		end = tracker.CallerLeft
	case errors.Is(context.Cause(ctx), context.Canceled):
		end = tracker.CallerLeft
		err = errCallerGone
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		err = &judge.Error{Verdict: err.Verdict, Reason: judge.ReasonDeadline, Message: "the deadline passed at the runner"}
	case errors.Is(context.Cause(ctx), ErrStopping):
		err = &judge.Error{Verdict: err.Verdict, Reason: judge.ReasonStopping, Message: "the instance ended while the request was at the runner"}
	case unreachable:
		end = tracker.ConnectFailed
	}
	run.End(end, time.Now())
	if unreachable {
		if x.delivered > 0 {
			x.retryPaid.Store(true) // the retry that was withdrawn for it has reached no runner
		}
		x.connecting += time.Since(x.sentAt)
		x.Recorder.Log(recorder.View, "msg", "no connection to runner", "request", x.request.ID, "runner", runner.ID, "unreached", x.Fleet.Unreached(), "took", time.Since(x.sentAt), "err", err.Message)
	}
	x.eligible.fail(runner.ID)
	if _, broken := observation.(judge.Broken); broken {
		x.reportBroken(ctx, runner, err)
	}
	return err
}

// handleRefusal handles a response that says the runner did not run the request.
func (x *exchange) handleRefusal(run *tracker.Run, runner tracker.Runner, reply *Reply) *judge.Error {
	err := bodyreader.Discard(reply.Body, maxBodySize)
	reply.Close(err == nil) // a refusal whose body is cut off or too long is still a refusal
	run.End(tracker.Refused, time.Now())
	switch {
	case reply.Instance != "" && reply.Instance != runner.Name():
		x.Fleet.Remove(runner.ID, 0) // its address now belongs to another runner
	case reply.Misdirected:
		x.Fleet.MarkMissing(runner.ID, x.request.Copy)
		x.Placement.ReportMiss(runner.ID, x.request.Copy)
	default:
		x.eligible.fail(runner.ID)
		x.Fleet.RecordRejection(runner.ID, x.Instances(), time.Now())
	}
	return judge.Judge(judge.Refused{Status: reply.Status})
}

// relayComplete reads the complete response before it passes it on.
func (x *exchange) relayComplete(ctx context.Context, runner tracker.Runner, reply *Reply) *judge.Error {
	body, err := x.Bodies.ReadAll(reply.Body, maxBodySize)
	reply.Close(err == nil)
	if err != nil {
		x.eligible.fail(runner.ID)
		return x.brokenError(ctx, runner, reply, err)
	}
	x.reportCompleted()
	if reply.Status >= 500 && !x.streamStarted() && x.request.Route.Repeatable() && x.executions < x.request.Route.MaxExecutions && x.budget.Withdraw() {
		x.eligible.fail(runner.ID)
		x.OnRetry(judge.Judge(judge.Failed{Status: reply.Status}))
		return x.retryFailed(ctx, reply, body)
	}
	failed := x.deliver(reply, body)
	if failed != nil {
		x.eligible.fail(runner.ID)
	}
	return failed
}

// deliver passes a complete response to the caller. For a caller that has received a part of another
// one, it is that of a failed attempt.
func (x *exchange) deliver(reply *Reply, body []byte) *judge.Error {
	switch err := x.response.complete(reply, body); {
	case errors.Is(err, errOutOfOrder):
		return judge.Judge(judge.Failed{Status: reply.Status})
	case err != nil:
		return errCallerGone
	}
	x.status = reply.Status
	return nil
}

// retryFailed sends a request that failed on its runner to another runner. If that yields
// no response, the caller gets the failed response at hand.
func (x *exchange) retryFailed(ctx context.Context, reply *Reply, body []byte) *judge.Error {
	x.useNewestVersion()
	if runner, err := x.choose(ctx); err == nil {
		x.announceRetry()
		failed := x.try(ctx, runner)
		if failed == nil || x.response.started() || failed.Reason == judge.ReasonCancelled {
			return failed
		}
	}
	return x.deliver(reply, body)
}

// brokenError derives the error of a response that broke off. A runner whose response is malformed has not crashed.
func (x *exchange) brokenError(ctx context.Context, runner tracker.Runner, reply *Reply, err error) *judge.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonDeadline, Message: "the deadline passed while the runner worked"}
	case errors.Is(cause, context.Canceled):
		return errCallerGone
	case errors.Is(cause, ErrStopping):
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonStopping, Message: "the instance ended while the runner worked"}
	case errors.Is(err, bodyreader.ErrTooLong):
		return judge.Judge(reply.BodyError(err)) // the runner has not crashed: it counts against no request
	default:
		observation := reply.BodyError(err)
		failed := judge.Judge(observation)
		if _, broken := observation.(judge.Broken); broken {
			x.reportBroken(ctx, runner, failed)
		}
		return failed
	}
}
