package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A queueHandler answers an Enqueue with a Queued, and with what comes from answers.
type queueHandler struct {
	answers  chan Message
	canceled chan struct{}
}

func (h *queueHandler) HandleHeartbeat(heartbeater.Instance, Beat) {}

func (h *queueHandler) HandleRequest(ctx context.Context, _ heartbeater.Instance, _ Message, reply *Reply) error {
	if err := reply.Send(Queued{Wait: time.Second}); err != nil {
		return err
	}
	select {
	case m := <-h.answers:
		if fail, failed := m.(Fail); failed {
			return judge.Refuse(fail.Reason, "refused").WithRetryAfter(fail.Retry)
		}
		return reply.Finish(m)
	case <-ctx.Done():
		close(h.canceled)
		return ctx.Err()
	}
}

// A request waits for its turn over a link. Guards against an answer after the first one that
// does not arrive, and against a leader that does not notice that the caller has left or that
// the link broke.
func TestEnqueueOverALink(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(h *queueHandler, m *Mesh, address string, c *Conversation)
		want any // second message, or the reason of the error
	}{
		{"granted", func(h *queueHandler, _ *Mesh, _ string, _ *Conversation) {
			h.answers <- Reserved{PrefillBacklog: time.Second}
		}, Reserved{PrefillBacklog: time.Second}},
		{"refused", func(h *queueHandler, _ *Mesh, _ string, _ *Conversation) {
			h.answers <- Fail{Reason: judge.ReasonQueue, Retry: time.Second}
		}, judge.ReasonQueue},
		{"caller leaves", func(_ *queueHandler, _ *Mesh, _ string, c *Conversation) { c.Close() }, nil},
		{"link breaks", func(_ *queueHandler, m *Mesh, address string, _ *Conversation) { m.CloseLink(address) }, judge.ReasonPeer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := listener.ListenLoopback()
			if err != nil {
				t.Fatal(err)
			}
			h := &queueHandler{answers: make(chan Message, 1), canceled: make(chan struct{})}
			self := func() heartbeater.Instance { return heartbeater.Instance{ID: "i"} }
			server := &Mesh{Handler: h, Secret: func() string { return "" }, Self: self}
			r := router.New()
			r.GET(Path, server.Serve)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			httpServer := listener.Server{Handler: r.Handler, Listener: l, DrainTimeout: time.Millisecond}
			go func() { _ = httpServer.Run(ctx) }()
			m := &Mesh{Handler: h, Secret: func() string { return "" }, Self: self}
			c, err := m.Open(t.Context(), l.Addr().String(), Enqueue{Runner: "i-1"})
			if err != nil {
				t.Fatal(err)
			}
			first, err := c.Next(t.Context())
			if diff := cmp.Diff(Message(Queued{Wait: time.Second}), first, cmp.AllowUnexported(Queued{})); err != nil || diff != "" {
				t.Fatalf("%v %s", err, diff)
			}
			tc.end(h, m, l.Addr().String(), c)
			if tc.want != nil {
				var got any
				if got, err = c.Next(t.Context()); err != nil {
					got = judge.As(err).Reason
				}
				if got != tc.want {
					t.Errorf("got %v, want %v", got, tc.want)
				}
				c.Close()
			}
			if _, answered := tc.want.(Reserved); !answered && tc.want != judge.ReasonQueue {
				<-h.canceled
			}
		})
	}
}
