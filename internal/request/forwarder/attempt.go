package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// errGone is a caller that went away.
var errGone = &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCancelled, Message: "the caller went away"}

const (
	// readSize is how much of a body is read at once, in bytes. An event has
	// about 60.
	readSize = 4 << 10
	// wholeLimit bounds an answer that is read whole, in bytes.
	wholeLimit = 16 << 20
)

// try sends the request to one runner and passes its answer on.
func (p *exchange) try(ctx context.Context, runner tracker.Runner) *judge.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	deadline, _ := ctx.Deadline()
	run := p.Fleet.Begin(runner.ID, p.request.Tokens, now)
	p.at, p.sent = runner.ID, now
	p.use(runner.ID)
	defer p.unuse()
	defer p.leavePlace()
	watch := p.watch(runner.ID, cancel)
	defer watch.stop()
	reply, seen := p.Upstream.Send(ctx, Attempt{Request: p.request, Runner: runner, After: p.after, Left: deadline.Sub(now)})
	if seen != nil {
		return p.unanswered(ctx, run, runner, seen)
	}
	p.arrivals++
	if reply.NotRun {
		return p.refused(run, runner, reply)
	}
	p.runs++
	run.First(time.Now())
	p.there(runner.ID, now)
	var err *judge.Error
	if p.request.Route.Kind == matcher.Streaming && reply.Status < 300 {
		err = p.stream(ctx, runner, reply, watch)
		if gap := p.request.Route.Gap; err == nil && p.runs == 1 && p.pause > 0 && gap > 0 {
			p.Placement.Paused(runner.ID, p.pause, gap)
		}
	} else {
		watch.stop()
		err = p.whole(ctx, runner, reply)
	}
	run.End(ended(ctx, err), time.Now())
	return err
}

func ended(ctx context.Context, err *judge.Error) tracker.End {
	switch {
	case err == nil:
		return tracker.Done
	case errors.Is(err, errGone), errors.Is(context.Cause(ctx), context.Canceled):
		return tracker.Left
	default:
		return tracker.Failed
	}
}

// unanswered judges an attempt without an answer.
func (p *exchange) unanswered(ctx context.Context, run *tracker.Run, runner tracker.Runner, seen judge.Observation) *judge.Error {
	err := judge.Judge(seen)
	_, dark := seen.(judge.Dialed)
	if !dark {
		p.arrivals++
	}
	if err.Verdict != judge.NotRun {
		p.runs++
	}
	end := tracker.Failed
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		end = tracker.Left
		err = errGone
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		err = &judge.Error{Verdict: err.Verdict, Reason: judge.ReasonDeadline, Message: "the deadline passed at the runner"}
	case dark:
		end = tracker.Dark
	}
	run.End(end, time.Now())
	p.tried[runner.ID] = true
	if _, broken := seen.(judge.Broken); broken {
		p.broke(ctx, runner, err)
	}
	return err
}

// refused takes in that the runner did not run the request.
func (p *exchange) refused(run *tracker.Run, runner tracker.Runner, reply *Reply) *judge.Error {
	_, err := io.Copy(io.Discard, io.LimitReader(reply.Body, wholeLimit))
	reply.Close(err == nil) // a refusal that breaks off is one still
	run.End(tracker.Refused, time.Now())
	switch {
	case reply.Instance != "" && reply.Instance != runner.Name():
		p.Fleet.Remove(runner.ID, 0) // its address belongs to another one now
	case reply.Absent:
		p.Fleet.Missing(runner.ID, p.request.Copy)
		p.Placement.Missing(runner.ID, p.request.Copy)
	default:
		p.tried[runner.ID] = true
	}
	return judge.Judge(judge.Refused{Status: reply.Status})
}

// whole passes an answer on once all of it is there.
func (p *exchange) whole(ctx context.Context, runner tracker.Runner, reply *Reply) *judge.Error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeLimit))
	reply.Close(err == nil)
	if err != nil {
		p.tried[runner.ID] = true
		return p.cut(ctx, runner, reply, err)
	}
	p.ranWhole()
	if p.answered {
		return judge.Judge(judge.Failed{Status: reply.Status})
	}
	if reply.Status >= 500 && p.request.Route.Repeatable() && p.runs < p.request.Route.Attempts && p.budget.Withdraw() {
		p.tried[runner.ID] = true
		p.Retried(judge.Judge(judge.Failed{Status: reply.Status}))
		return p.once(ctx, reply, body)
	}
	return p.give(reply, body)
}

// give passes a whole answer on.
func (p *exchange) give(reply *Reply, body []byte) *judge.Error {
	if p.sink.Whole(reply, body) != nil {
		return errGone
	}
	p.status = reply.Status
	return nil
}

// once sends a request whose runner failed to another one. If that brings
// nothing, the caller is given the failure that is at hand.
func (p *exchange) once(ctx context.Context, reply *Reply, body []byte) *judge.Error {
	p.renew()
	if runner, err := p.choose(ctx); err == nil {
		failed := p.try(ctx, runner)
		if failed == nil || errors.Is(failed, errGone) {
			// A caller that left while it was given this answer is not given another: the
			// second one ended the process, and the requests of all its other callers.
			return failed
		}
	}
	if p.answered {
		return errGone
	}
	return p.give(reply, body)
}

// cut judges an answer that broke off.
func (p *exchange) cut(ctx context.Context, runner tracker.Runner, reply *Reply, err error) *judge.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonDeadline, Message: "the deadline passed while the runner worked"}
	case errors.Is(cause, context.Canceled):
		return errGone
	default:
		broken := judge.Judge(reply.Broken(err))
		p.broke(ctx, runner, broken)
		return broken
	}
}
