package gatekeeper

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// linkLatency is the latency of a message between two instances.
const wayTime = 2 * time.Millisecond

// linkTimeout is the time after which a connection to an instance that does not respond fails.
const linkTimeout = time.Second

var errLink = errors.New("the connection failed")

// sitePeers are the connections of one instance of a simulated deployment.
type sitePeers struct{ from *member }

// Cut implements Peers.
func (sitePeers) Cut(string) {}

// Linked implements Peers.
func (sitePeers) Linked(string) (any, bool) { return nil, false }

// Serve implements Peers.
func (sitePeers) Serve(*fasthttp.RequestCtx) { panic("a simulated deployment has no sockets") }

// Tell implements Peers.
func (sitePeers) Tell(context.Context, string, relayer.Message) error { return nil }

// Open implements Peers.
func (p sitePeers) Open(ctx context.Context, address string, m relayer.Message) (Conversation, error) {
	to := p.from.site.at(address)
	p.from.await(ctx)
	if !p.from.reaches(to) {
		pause(ctx, linkTimeout)
		return nil, errLink
	}
	g, lives := to.running()
	if lives.Err() != nil {
		return nil, errLink
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &siteConversation{from: p.from, to: to, lives: lives, ctx: ctx, cancel: cancel, words: make(chan siteWord, 64)}
	go func() {
		pause(ctx, wayTime)
		to.await(ctx)
		err := g.answer(ctx, p.from.self(), m, c)
		c.put(siteWord{err: err, at: time.Now().Add(wayTime), over: true})
	}()
	return c, nil
}

// A siteConversation is a conversation between two instances of a simulated deployment.
type siteConversation struct {
	from, to *member
	lives    context.Context // of the answering process
	ctx      context.Context
	cancel   context.CancelFunc
	words    chan siteWord
}

// A siteMessage is a message in transit.
type siteWord struct {
	at      time.Time // when it arrives
	message relayer.Message
	err     error
	over    bool
}

func (c *siteConversation) put(w siteWord) {
	select {
	case c.words <- w:
	case <-c.ctx.Done():
	}
}

// Close implements Conversation.
func (c *siteConversation) Close() { c.cancel() }

// Finish implements replier.
func (c *siteConversation) Finish(m relayer.Message) error { return c.Send(m) }

// Send implements replier.
func (c *siteConversation) Send(m relayer.Message) error {
	c.to.await(c.ctx)
	if c.lives.Err() != nil || c.ctx.Err() != nil {
		return errLink
	}
	c.put(siteWord{at: time.Now().Add(wayTime), message: m})
	return nil
}

// Next implements Conversation. Messages in transit during a partition arrive when it is over.
func (c *siteConversation) Next(ctx context.Context) (relayer.Message, error) {
	for {
		c.from.await(ctx)
		if ctx.Err() != nil {
			return nil, judge.Refuse(judge.ReasonDeadline, "no message received")
		}
		if !c.from.reaches(c.to) {
			pause(ctx, 10*time.Millisecond)
			continue
		}
		select {
		case w := <-c.words:
			pause(ctx, time.Until(w.at))
			_, lives := c.from.running()
			c.from.await(lives)
			if w.over && w.err == nil {
				w.err = errLink
			}
			return w.message, w.err
		case <-c.lives.Done():
			return nil, errLink
		case <-ctx.Done():
		}
	}
}
