package answerer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// A pipe connects the dispatch of one request with the writing of its response.
// The dispatch produces parts; the writer sends them at the pace of the caller,
// and cancels the dispatch when it ends.
type pipe struct {
	answerer  *Answerer
	call      *streamer.Call
	cancel    context.CancelFunc
	ctx       context.Context
	retention time.Duration

	startedAt time.Time
	head      chan streamer.Head
	parts     chan []byte
	done      chan struct{} // closed when the dispatch has ended and err is set
	err       *judge.Error
	recorded  []byte // copy of the body for the claim
	sentHead  streamer.Head
}

// maxBufferedParts is the number of parts buffered for a slow caller.
const maxBufferedParts = 64

// writeTimeout is how long a write to a stalled caller may block before the caller
// counts as disconnected.
const writeTimeout = 30 * time.Second

func newPipe(ctx context.Context, cancel context.CancelFunc, a *Answerer, call *streamer.Call, retention time.Duration) *pipe {
	return &pipe{
		answerer: a, call: call, cancel: cancel, ctx: ctx, retention: retention, startedAt: time.Now(),
		head: make(chan streamer.Head, 1), parts: make(chan []byte, maxBufferedParts), done: make(chan struct{}),
	}
}

// Data implements streamer.Sink.
func (p *pipe) Data(data []byte) error {
	if p.needsClaim() && len(p.recorded) <= maxRecordedBody {
		p.recorded = append(p.recorded, p.event(data)...)
	}
	select {
	case p.parts <- data:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// Head implements streamer.Sink.
func (p *pipe) Head(head streamer.Head) error {
	p.sentHead = head
	p.head <- head
	return nil
}

// maxRecordedBody bounds the copy of a body; a longer body is not stored at all.
const maxRecordedBody = 256 << 10

// needsClaim reports whether the request must not run twice and has a key by
// which a repetition is recognized.
func (p *pipe) needsClaim() bool { return p.call.NonIdempotent && p.call.Key != "" }

// event returns a part as it is written to the caller.
func (p *pipe) event(data []byte) []byte {
	if !p.call.Stream {
		return data
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}

// run dispatches the request.
func (p *pipe) run() {
	err := p.dispatch()
	p.answerer.logAnswered(p.call, err, p.startedAt)
	if err != nil {
		p.err = judge.As(err)
	}
	close(p.done)
}

// finish cancels the dispatch if it still runs, and counts the request as closed.
// It is called when the response has been written: a draining instance waits for
// that, not only for the upstream.
func (p *pipe) finish() {
	p.cancel()
	p.answerer.release(p.call.Account)
}

func (p *pipe) dispatch() error {
	if !p.needsClaim() {
		return p.answerer.Dispatcher.Dispatch(p.ctx, p.call, p)
	}
	digest := claimer.Digest([]byte(p.call.Service), []byte(p.call.Adapter), []byte(p.call.Method), []byte(p.call.Path), p.call.Body)
	ticket, outcome, err := p.answerer.Claimer.Begin(p.ctx, p.call.Account, p.call.Key, digest, p.retention)
	if err != nil {
		return err
	}
	if outcome != nil {
		return p.replay(outcome)
	}
	err = p.answerer.Dispatcher.Dispatch(p.ctx, p.call, p)
	p.record(ticket, err)
	return err
}

// record ends the claim with the response to the caller.
func (p *pipe) record(ticket *claimer.Ticket, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err != nil {
		p.answerer.Claimer.End(ctx, ticket, nil, judge.As(err))
		return
	}
	if p.call.Stream {
		p.recorded = append(p.recorded, doneEvent...)
	}
	p.answerer.Claimer.End(ctx, ticket, &claimer.Outcome{Status: p.sentHead.Status, Type: p.sentHead.ContentType, Body: p.recorded}, nil)
}

// replay sends the outcome of the first request with the key. The stored body
// holds the bytes as they were written, including the framing of events.
func (p *pipe) replay(outcome *claimer.Outcome) error {
	p.call.Stream = false
	p.call.Key = "" // the outcome is already recorded
	if err := p.Head(streamer.Head{Status: outcome.Status, ContentType: outcome.Type}); err != nil {
		return err
	}
	return p.Data(outcome.Body)
}

// write writes the response. For a stream it returns before the body, which is
// written by a body stream writer.
func (p *pipe) write(c *fasthttp.RequestCtx) {
	select {
	case head := <-p.head:
		p.writeHead(c, head)
	case <-p.done:
		select {
		case head := <-p.head: // the head arrived at the same time
			p.writeHead(c, head)
		default:
			defer p.finish()
			p.answerer.refuse(c, p.err)
		}
	}
}

func (p *pipe) writeHead(c *fasthttp.RequestCtx, head streamer.Head) {
	c.SetStatusCode(head.Status)
	c.SetContentType(head.ContentType)
	c.Response.Header.Set(HeaderRunner, head.Runner)
	c.Response.Header.Set(HeaderStall, head.Stall.String())
	if p.call.Stream {
		conn := c.Conn()
		c.SetBodyStreamWriter(func(w *bufio.Writer) { p.writeStream(w, conn) })
		return
	}
	p.writeBody(c)
}

// writeStream writes the parts as events. If the caller stalls or disconnects, the
// dispatch is cancelled, and with it the work upstream.
func (p *pipe) writeStream(w *bufio.Writer, conn net.Conn) {
	defer p.finish()
	send := func(event []byte) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
		_, err := w.Write(event)
		return err == nil && w.Flush() == nil
	}
	for {
		select {
		case part := <-p.parts:
			if !send(p.event(part)) {
				return
			}
			continue
		case <-p.done:
		}
		break
	}
	for len(p.parts) > 0 {
		if !send(p.event(<-p.parts)) {
			return
		}
	}
	if p.err != nil {
		p.answerer.count(p.err)
		send(errorEvent(p.err))
		return
	}
	send([]byte(doneEvent))
}

// writeBody writes a body that is not a stream, once it is complete.
func (p *pipe) writeBody(c *fasthttp.RequestCtx) {
	defer p.finish()
	var body bytes.Buffer
	for done := false; !done; {
		select {
		case part := <-p.parts:
			body.Write(part)
		case <-p.done:
			done = true
		}
	}
	for len(p.parts) > 0 {
		body.Write(<-p.parts)
	}
	if p.err != nil {
		p.answerer.refuse(c, p.err)
		return
	}
	c.SetBody(body.Bytes())
}
