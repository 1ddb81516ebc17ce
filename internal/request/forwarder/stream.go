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

// stream passes the events of an answer on as they come. The caller gets whole
// events only, each once and in order, also when they come from two runs.
func (p *exchange) stream(ctx context.Context, runner tracker.Runner, reply *Reply, watch *watch) *judge.Error {
	p.split.Reset()
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			watch.heard()
		}
		if failed := p.pass(reply, buffer[:n]); failed != nil {
			reply.Close(false)
			p.tried[runner.ID] = true
			return failed
		}
		if err == nil {
			continue
		}
		return p.end(ctx, runner, reply, err)
	}
}

// end judges how a stream ended. One whose last event is not whole was cut,
// also if its framing is complete.
func (p *exchange) end(ctx context.Context, runner tracker.Runner, reply *Reply, err error) *judge.Error {
	// A reader says io.EOF itself at the end; an error that wraps it is another.
	ended := err == io.EOF //nolint:errorlint // see above
	if ended && p.split.Rest() > 0 {
		ended = false
		err = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)
	}
	reply.Close(ended)
	if !ended {
		p.tried[runner.ID] = true
		return p.cut(ctx, runner, reply, err)
	}
	p.ranWhole()
	if !p.answered { // a stream without events
		if p.sink.Head(reply) != nil {
			return errGone
		}
		p.status = reply.Status
	}
	return nil
}

// pass gives the caller the events that the bytes complete.
func (p *exchange) pass(reply *Reply, data []byte) *judge.Error {
	events, err := p.split.Split(data)
	for _, e := range events {
		if err := p.inOrder(e); err != nil {
			return err
		}
		if e.ID != 0 && e.ID <= p.after {
			continue // came already, from the run before
		}
		if !p.answered {
			if p.sink.Head(reply) != nil {
				return errGone
			}
			p.answered = true
			p.status = reply.Status
		}
		if p.sink.Event(e.Data) != nil {
			return errGone
		}
		p.timed(time.Now())
		if e.ID != 0 {
			p.after = e.ID
		}
	}
	if err != nil {
		return judge.Judge(reply.Broken(err))
	}
	return nil
}

// timed notes when an event was passed on.
func (p *exchange) timed(now time.Time) {
	if p.last.IsZero() {
		p.first = now.Sub(p.request.Arrived)
	} else {
		p.pause = max(p.pause, now.Sub(p.last))
	}
	p.last = now
}

// inOrder refuses an event after a gap: the events between are lost, and a
// later run that goes on from the last one can bring them.
func (p *exchange) inOrder(e streamer.Event) *judge.Error {
	if e.ID > p.after+1 {
		return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCut, Message: fmt.Sprintf("event %d came after event %d", e.ID, p.after)}
	}
	return nil
}
