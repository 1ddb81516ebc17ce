package forwarder

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// errWithinEvent reports a stream that ended within an event: it was cut off, even if its framing
// is complete.
var errWithinEvent = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)

// relayStream passes the events of a response on as they arrive. The caller receives only
// complete events, each once and in order, even if they come from two executions.
func (x *exchange) relayStream(ctx context.Context, runner tracker.Runner, reply *Reply, wd *watchdog) *judge.Error {
	failed, err := x.copyEvents(reply, func() {
		now := time.Now()
		wd.reset()
		x.lastRun.Heard(now)
		x.recordWriting(now)
	})
	reply.Close(failed == nil && err == nil)
	switch {
	case failed != nil:
		x.eligible.fail(runner.ID)
		return failed
	case err != nil:
		x.eligible.fail(runner.ID)
		return x.brokenError(ctx, runner, reply, err)
	}
	x.reportCompleted()
	return x.startStream(reply)
}

// copyEvents passes the events of a response on until its end. It returns why that failed, or an
// error if the response broke off. received is called whenever something is received.
func (x *exchange) copyEvents(reply *Reply, received func()) (failed *judge.Error, err error) {
	x.splitter.Reset()
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			received()
		}
		if failed := x.relayEvents(reply, buffer[:n]); failed != nil {
			return failed, nil
		}
		switch {
		case err == nil:
		case err != io.EOF: // a reader returns io.EOF itself at the end; an error that wraps it is a failure
			return nil, err
		case x.splitter.Buffered() > 0:
			return nil, errWithinEvent
		default:
			return nil, nil
		}
	}
}

// startStream passes the head of a stream on, unless an event has done so before.
func (x *exchange) startStream(reply *Reply) *judge.Error {
	if x.response.started() {
		return nil
	}
	if x.response.start(reply) != nil {
		return errCallerGone
	}
	x.status = reply.Status
	return nil
}

// relayEvents passes on the events that data completes.
func (x *exchange) relayEvents(reply *Reply, data []byte) *judge.Error {
	events, err := x.splitter.Split(data)
	for _, e := range events {
		if err := x.checkOrder(e); err != nil {
			return err
		}
		if e.ID != 0 && e.ID <= x.lastEventID {
			continue // already received from the previous execution
		}
		if err := x.startStream(reply); err != nil {
			return err
		}
		x.recordVersion(reply.Version)
		if x.response.event(e.Data) != nil {
			return errCallerGone
		}
		x.recordEventTime(time.Now())
		if e.ID != 0 {
			x.lastEventID = e.ID
		}
	}
	if err != nil {
		return judge.Judge(reply.BodyError(err))
	}
	return nil
}

// recordEventTime records when an event was passed on.
func (x *exchange) recordEventTime(now time.Time) {
	if x.lastEventAt.IsZero() {
		x.timeToFirst = now.Sub(x.request.Arrived)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// checkOrder rejects an event after a gap in the event IDs: the events in between are lost,
// and only a retry that resumes after the last event can deliver them.
func (x *exchange) checkOrder(e streamer.Event) *judge.Error {
	if e.ID > x.lastEventID+1 {
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCut, Message: fmt.Sprintf("event %d came after event %d", e.ID, x.lastEventID)}
	}
	return nil
}
