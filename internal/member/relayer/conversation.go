package relayer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// window is how many messages of a response may be in flight. Credit is granted in
// steps of half a window.
const window = 64

// A Conversation is the initiator's side of one exchange.
type Conversation struct {
	id    uint64
	link  *link
	mesh  *Mesh
	parts chan Message

	ended     bool
	sequencer streamer.Sequencer
	consumed  int

	failOnce sync.Once
	failed   chan struct{} // closed when the link failed or a message was lost
}

// Close ends the conversation. If the response has not ended it is canceled at the
// peer.
func (c *Conversation) Close() { c.cancel(Cancel{}) }

// Abandon is like Close, and tells the peer that what the conversation stood for, such as a
// request at a runner, did not take place.
func (c *Conversation) Abandon() { c.cancel(Cancel{Abandoned: true}) }

func (c *Conversation) cancel(m Cancel) {
	c.mesh.removeConversation(c)
	if !c.ended {
		_ = c.link.send(c.id, 0, m) // a failed link has already ended the response
	}
}

// Begin lets the peer run the request of a Detour. After an error it is certain that the peer
// does not run it.
func (c *Conversation) Begin() error { return c.link.send(c.id, 0, Begin{}) }

// Next returns the next message of the response, of which an End is the last. It
// returns an error for a Fail, a failed link or a canceled ctx.
func (c *Conversation) Next(ctx context.Context) (Message, error) {
	select {
	case m := <-c.parts:
		return c.consume(m)
	default:
	}
	select {
	case m := <-c.parts:
		return c.consume(m)
	case <-c.failed:
		select {
		case m := <-c.parts: // received before the failure
			return c.consume(m)
		default:
		}
		return nil, &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonPeer, Message: "the link to the peer failed"}
	case <-ctx.Done():
		return nil, &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonDeadline, Message: "the deadline passed while the peer had the request"}
	}
}

// fail makes Next return an error once the received messages are consumed.
func (c *Conversation) fail() {
	c.failOnce.Do(func() { close(c.failed) })
}

// receive queues a message of the response for the initiator. A late or duplicate one
// is dropped; after a gap the response cannot be complete.
func (c *Conversation) receive(number uint32, m Message) {
	switch c.sequencer.Accept(number) {
	case streamer.Stale:
		c.mesh.stale.Add(1)
		return
	case streamer.Gap:
		c.mesh.gaps.Add(1)
		c.fail()
		return
	}
	select {
	case c.parts <- m:
	default: // the peer exceeded its credit
		c.mesh.gaps.Add(1)
		c.fail()
	}
}

func (c *Conversation) consume(m Message) (Message, error) {
	c.consumed++
	if c.consumed%(window/2) == 0 {
		_ = c.link.send(c.id, 0, Grant{Parts: window / 2}) // a failed link makes a later Next fail
	}
	if fail, failed := m.(Fail); failed {
		c.ended = true
		return nil, fail.Err()
	}
	c.ended = isLast(m)
	return m, nil
}

// isLast reports whether m ends a response.
func isLast(m Message) bool {
	switch m.(type) {
	case Done, End, FoundStream, Reserved, Settled:
		return true
	default:
		return false
	}
}

// A Reply is the responding side of a conversation.
type Reply struct {
	ctx    context.Context
	cancel context.CancelFunc
	id     uint64
	link   *link

	closed     atomic.Bool   // by the initiator, which has not abandoned it
	begun      chan struct{} // closed when the initiator has sent a Begin
	beginOnce  sync.Once
	credit     chan struct{}
	finished   bool
	lastNumber uint32
}

func newReply(ctx context.Context, l *link, id uint64) *Reply {
	ctx, cancel := context.WithCancel(ctx)
	r := &Reply{ctx: ctx, cancel: cancel, id: id, link: l, begun: make(chan struct{}), credit: make(chan struct{}, 2*window)}
	r.grant(window)
	return r
}

// Abandoned reports whether the conversation ended other than by a Close of the initiator: it was
// abandoned, or the link failed.
func (r *Reply) Abandoned() bool { return !r.closed.Load() }

// Begun returns a channel that is closed when the initiator has sent a Begin.
func (r *Reply) Begun() <-chan struct{} { return r.begun }

func (r *Reply) begin() { r.beginOnce.Do(func() { close(r.begun) }) }

// Send sends one message of the response. It blocks while there is no credit and fails
// once the initiator has closed the conversation.
func (r *Reply) Send(m Message) error {
	select {
	case <-r.credit:
	case <-r.ctx.Done():
		return fmt.Errorf("the opener has gone: %w", context.Cause(r.ctx))
	case <-r.link.closed:
		return errClosed
	}
	r.lastNumber++
	return r.link.send(r.id, r.lastNumber, m)
}

// Finish sends a message that ends the response without an End. It returns when the connection has taken
// the message: a process that stops may exit as soon as nothing is in progress.
func (r *Reply) Finish(m Message) error {
	r.finished = true
	r.lastNumber++
	return r.link.sendAndWait(r.id, r.lastNumber, m)
}

// end sends the last message, which needs no credit.
func (r *Reply) end(err error) {
	if r.finished {
		r.cancel()
		return
	}
	r.lastNumber++
	var last Message = End{}
	if err != nil {
		last = FailOf(err)
	}
	_ = r.link.send(r.id, r.lastNumber, last) // a failed link ends the conversation at the initiator, too
	r.cancel()
}

func (r *Reply) grant(parts int) {
	for range parts {
		select {
		case r.credit <- struct{}{}:
		default: // credit beyond the capacity is ignored
		}
	}
}
