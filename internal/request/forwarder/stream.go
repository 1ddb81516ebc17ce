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

// relayStream passes the events of a response on as they arrive. The caller receives only
// complete events, each once and in order, even if they come from two executions.
func (p *exchange) relayStream(ctx context.Context, runner tracker.Runner, reply *Reply, wd *watchdog) *judge.Error {
	p.splitter.Reset()
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			wd.reset()
		}
		if failed := p.relayEvents(reply, buffer[:n]); failed != nil {
			reply.Close(false)
			p.tried[runner.ID] = true
			return failed
		}
		if err == nil {
			continue
		}
		return p.finishStream(ctx, runner, reply, err)
	}
}

// finishStream evaluates how a stream ended. A stream that ends within an event was cut
// off, even if its framing is complete.
func (p *exchange) finishStream(ctx context.Context, runner tracker.Runner, reply *Reply, err error) *judge.Error {
	// A reader returns io.EOF itself at the end; an error that wraps it is a failure.
	ended := err == io.EOF //nolint:errorlint // see above
	if ended && p.splitter.Buffered() > 0 {
		ended = false
		err = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)
	}
	reply.Close(ended)
	if !ended {
		p.tried[runner.ID] = true
		return p.brokenError(ctx, runner, reply, err)
	}
	p.reportCompleted()
	if !p.headSent { // a stream without events
		if p.sink.Head(reply) != nil {
			return errCallerGone
		}
		p.status = reply.Status
	}
	return nil
}

// relayEvents passes on the events that data completes.
func (p *exchange) relayEvents(reply *Reply, data []byte) *judge.Error {
	events, err := p.splitter.Split(data)
	for _, e := range events {
		if err := p.checkOrder(e); err != nil {
			return err
		}
		if e.ID != 0 && e.ID <= p.lastEventID {
			continue // already received from the previous execution
		}
		if !p.headSent {
			if p.sink.Head(reply) != nil {
				return errCallerGone
			}
			p.headSent = true
			p.status = reply.Status
		}
		if p.sink.Event(e.Data) != nil {
			return errCallerGone
		}
		p.recordEventTime(time.Now())
		if e.ID != 0 {
			p.lastEventID = e.ID
		}
	}
	if err != nil {
		return judge.Judge(reply.BodyError(err))
	}
	return nil
}

// recordEventTime records when an event was passed on.
func (p *exchange) recordEventTime(now time.Time) {
	if p.lastEventAt.IsZero() {
		p.timeToFirst = now.Sub(p.request.Arrived)
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// checkOrder rejects an event after a gap in the event IDs: the events in between are lost,
// and only a retry that resumes after the last event can deliver them.
func (p *exchange) checkOrder(e streamer.Event) *judge.Error {
	if e.ID > p.lastEventID+1 {
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCut, Message: fmt.Sprintf("event %d came after event %d", e.ID, p.lastEventID)}
	}
	return nil
}
