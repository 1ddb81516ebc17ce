package relayer

import (
	"context"
	"fmt"
	"sync"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// window is how many messages of an answer may be under way. Half of it is
// granted anew at a time.
const window = 64

// A Conversation is the opener's side of one exchange.
type Conversation struct {
	id    uint64
	link  *link
	mesh  *Mesh
	parts chan Message

	ended bool
	order streamer.Sequencer
	taken int

	once sync.Once
	gone chan struct{} // closed when the link failed
}

// Close ends the conversation. If the answer has not ended the peer is told to
// stop.
func (c *Conversation) Close() {
	c.mesh.drop(c)
	if !c.ended {
		_ = c.link.send(c.id, 0, Cancel{}) // a failed link has ended it already
	}
}

// Next returns the next message of the answer: an End is the last. A Fail, a
// failed link and an ended ctx are errors.
func (c *Conversation) Next(ctx context.Context) (Message, error) {
	select {
	case m := <-c.parts:
		return c.take(m)
	default:
	}
	select {
	case m := <-c.parts:
		return c.take(m)
	case <-c.gone:
		return nil, &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonPeer, Message: "the link to the peer failed"}
	case <-ctx.Done():
		return nil, &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonDeadline, Message: "the deadline passed while the peer had the request"}
	}
}

// fail wakes the opener after a link failure.
func (c *Conversation) fail() {
	c.once.Do(func() { close(c.gone) })
}

// receive hands a message of the answer to the opener. A late or doubled one is
// dropped; after a gap the answer cannot be whole.
func (c *Conversation) receive(number uint32, m Message) {
	switch c.order.Accept(number) {
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
	default: // the peer sent more than it was granted
		c.mesh.gaps.Add(1)
		c.fail()
	}
}

func (c *Conversation) take(m Message) (Message, error) {
	c.taken++
	if c.taken%(window/2) == 0 {
		_ = c.link.send(c.id, 0, Grant{Parts: window / 2}) // a failed link shows at the next message
	}
	if fail, failed := m.(Fail); failed {
		c.ended = true
		return nil, &judge.Error{Verdict: fail.Verdict, Reason: fail.Reason, Message: fail.Message, Retry: fail.Retry}
	}
	c.ended = ends(m)
	return m, nil
}

// ends reports whether a message is the last of an answer.
func ends(m Message) bool {
	switch m.(type) {
	case End, Reserved, Settled:
		return true
	default:
		return false
	}
}

// A Reply is the answering side of a conversation.
type Reply struct {
	ctx    context.Context
	cancel context.CancelFunc
	id     uint64
	link   *link

	credit   chan struct{}
	finished bool
	number   uint32
}

func newReply(ctx context.Context, l *link, id uint64) *Reply {
	ctx, cancel := context.WithCancel(ctx)
	r := &Reply{ctx: ctx, cancel: cancel, id: id, link: l, credit: make(chan struct{}, 2*window)}
	r.grant(window)
	return r
}

// Send sends one message of the answer. It waits while the opener has granted
// none and fails when the opener wants no more.
func (r *Reply) Send(m Message) error {
	select {
	case <-r.credit:
	case <-r.ctx.Done():
		return fmt.Errorf("the opener has gone: %w", context.Cause(r.ctx))
	case <-r.link.closed:
		return errClosed
	}
	r.number++
	return r.link.send(r.id, r.number, m)
}

// Finish sends a message that ends the answer by itself.
func (r *Reply) Finish(m Message) error {
	r.finished = true
	r.number++
	return r.link.send(r.id, r.number, m)
}

// end sends the last message, which needs no grant.
func (r *Reply) end(err error) {
	if r.finished {
		r.cancel()
		return
	}
	r.number++
	var last Message = End{}
	if err != nil {
		last = failOf(err)
	}
	_ = r.link.send(r.id, r.number, last) // a failed link tells the opener by itself
	r.cancel()
}

func (r *Reply) grant(parts int) {
	for range parts {
		select {
		case r.credit <- struct{}{}:
		default: // an opener cannot grant more than there is room for
		}
	}
}
