package gatekeeper

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// Peers are the links to other instances.
type Peers interface {
	// Cut ends the link to an address.
	Cut(address string)
	// Linked reports whether there is a link to an address now, and an identity of it.
	Linked(address string) (link any, ok bool)
	// Open begins a conversation. If it returns an error the peer has not seen the
	// message.
	Open(ctx context.Context, address string, m relayer.Message) (Conversation, error)
	// Serve takes a link from a peer.
	Serve(c *fasthttp.RequestCtx)
	// Tell sends a message that wants no answer.
	Tell(ctx context.Context, address string, m relayer.Message) error
}

// A Conversation is what a peer answers to one message.
type Conversation interface {
	// Close ends the conversation.
	Close()
	// Next returns the next message of the answer.
	Next(ctx context.Context) (relayer.Message, error)
}

// askPeer asks a peer and returns the first message of its answer, and the conversation, which
// the caller closes.
func (g *Gatekeeper) askPeer(ctx context.Context, address string, m relayer.Message, timeout time.Duration) (Conversation, relayer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conversation, err := g.Peers.Open(ctx, address, m)
	if err != nil {
		return nil, nil, err
	}
	message, err := conversation.Next(ctx)
	if err != nil {
		conversation.Close()
		return nil, nil, err
	}
	return conversation, message, nil
}

// A replier takes the answer to a message of a peer.
type replier interface {
	// Finish sends a message that ends the answer by itself.
	Finish(m relayer.Message) error
	// Send sends one message of the answer.
	Send(m relayer.Message) error
}

// A Linker is the links of a mesh.
type Linker struct{ *relayer.Mesh }

// Open implements Peers.
func (l Linker) Open(ctx context.Context, address string, m relayer.Message) (Conversation, error) {
	c, err := l.Mesh.Open(ctx, address, m)
	if err != nil {
		return nil, err
	}
	return c, nil
}
