package gatekeeper

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// Peers manages the connections to other instances.
type Peers interface {
	// CloseLink closes the connection to an address.
	CloseLink(address string)
	// Linked reports whether there is a connection to an address now, and returns an identity
	// of it.
	Linked(address string) (link any, ok bool)
	// Open sends a request and returns the conversation that answers it. If it returns an error
	// the peer has not received the request.
	Open(ctx context.Context, address string, m relayer.Message) (Conversation, error)
	// Serve accepts a connection from a peer.
	Serve(c *fasthttp.RequestCtx)
	// Send sends a message that is not answered.
	Send(ctx context.Context, address string, m relayer.Message) error
}

// A Conversation is a stream of answers to one request.
type Conversation interface {
	// Abandon ends the conversation, and tells the peer that what it stood for did not take place.
	Abandon()
	// Begin lets the peer run the request of a relayer.Detour. After an error it is certain that
	// the peer does not run it.
	Begin() error
	// Close ends the conversation.
	Close()
	// Next returns the next message of the answer.
	Next(ctx context.Context) (relayer.Message, error)
}

// askPeer sends a request to a peer and returns the first message of its answer, and the
// conversation, which the caller closes.
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

// A responder sends the answer to a request of a peer.
type responder interface {
	// Abandoned reports whether the conversation ended other than by a Close of the peer.
	Abandoned() bool
	// Begun returns a channel that is closed when the peer has called Begin.
	Begun() <-chan struct{}
	// Finish sends a message that completes the answer.
	Finish(m relayer.Message) error
	// Send sends one message of the answer.
	Send(m relayer.Message) error
}

// A Linker implements Peers with a mesh.
type Linker struct{ *relayer.Mesh }

// Open implements Peers.
func (l Linker) Open(ctx context.Context, address string, m relayer.Message) (Conversation, error) {
	c, err := l.Mesh.Open(ctx, address, m)
	if err != nil {
		return nil, err
	}
	return c, nil
}
