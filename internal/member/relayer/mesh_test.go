package relayer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A fakeHandler responds to a Fetch with as many parts as its key says, and records the
// keys of responses that could not be sent completely.
type fakeHandler struct {
	beats  chan Beat
	unsent chan string
}

func (h *fakeHandler) HandleRequest(ctx context.Context, _ heartbeater.Instance, m Message, reply *Reply) error {
	fetch, ok := m.(Fetch)
	if !ok {
		return judge.Refuse(judge.ReasonOwner, "no Fetch")
	}
	var parts int
	if _, err := fmt.Sscan(fetch.Key, &parts); err != nil {
		return err
	}
	for i := range parts {
		if err := reply.Send(Data{Data: []byte{byte(i)}}); err != nil {
			h.unsent <- fetch.Key
			return err
		}
	}
	return ctx.Err()
}

func (h *fakeHandler) HandleHeartbeat(_ heartbeater.Instance, beat Beat) { h.beats <- beat }

// newPair returns a mesh that dials, the address of one that responds, and the handler
// of the latter.
func newPair(t *testing.T, secret string) (*Mesh, string, *fakeHandler) {
	t.Helper()
	l, err := listener.ListenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHandler{beats: make(chan Beat, 8), unsent: make(chan string, 8)}
	self := func() heartbeater.Instance { return heartbeater.Instance{ID: "i", Incarnation: "i-1"} }
	server := &Mesh{Handler: h, Secret: func() string { return "right" }, Self: self}
	r := router.New()
	r.GET(Path, server.Serve)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	httpServer := listener.Server{Handler: r.Handler, Listener: l, DrainTimeout: time.Millisecond}
	go func() { _ = httpServer.Run(ctx) }()
	return &Mesh{Handler: h, Secret: func() string { return secret }, Self: self}, l.Addr().String(), h
}

func readAll(t *testing.T, c *Conversation) int {
	t.Helper()
	parts := 0
	for {
		m, err := c.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, ended := m.(End); ended {
			return parts
		}
		parts++
	}
}

// One initiator reads nothing of a long response. Another one on the same link must still
// receive its complete response: credit is granted per conversation.
func TestSlowReaderBlocksOnlyItsOwnConversation(t *testing.T) {
	m, address, h := newPair(t, "right")
	slow, err := m.Open(t.Context(), address, Fetch{Key: "1000"})
	if err != nil {
		t.Fatal(err)
	}
	quick, err := m.Open(t.Context(), address, Fetch{Key: "5000"})
	if err != nil {
		t.Fatal(err)
	}
	if got := readAll(t, quick); got != 5000 {
		t.Errorf("quick reader got %d parts, want 5000", got)
	}
	slow.Close()
	if key := <-h.unsent; key != "1000" {
		t.Errorf("the response to %s was canceled, want 1000", key)
	}
}

// The link fails in the middle of a response. The initiator must get an error at once,
// with the verdict that the peer may have run the request.
func TestLinkFailureEndsConversations(t *testing.T) {
	m, address, _ := newPair(t, "right")
	c, err := m.Open(t.Context(), address, Fetch{Key: "1000"})
	if err != nil {
		t.Fatal(err)
	}
	m.CloseLink(address)
	for {
		if _, err = c.Next(t.Context()); err != nil {
			break
		}
	}
	if got := judge.As(err); got.Verdict != judge.MayHaveRun || got.Reason != judge.ReasonPeer {
		t.Errorf("got %v", got)
	}
}

func TestFailPreservesVerdict(t *testing.T) {
	m, address, _ := newPair(t, "right")
	c, err := m.Open(t.Context(), address, Inquire{})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Next(t.Context())
	want := judge.Refuse(judge.ReasonOwner, "no Fetch")
	if diff := cmp.Diff(want, judge.As(err)); diff != "" {
		t.Error(diff)
	}
}

func TestPeerWithWrongSecretIsRefused(t *testing.T) {
	m, address, h := newPair(t, "wrong")
	_, err := m.Open(t.Context(), address, Fetch{Key: "1"})
	if err == nil || judge.As(err).Verdict != judge.NotRun {
		t.Errorf("Open = %v, want a refusal", err)
	}
	if len(h.beats) > 0 {
		t.Error("received a heartbeat of a peer with the wrong secret")
	}
}

func TestSequencer(t *testing.T) {
	var s streamer.Sequencer
	for i, tc := range []struct {
		number uint32
		want   streamer.Position
	}{{1, streamer.Next}, {1, streamer.Stale}, {2, streamer.Next}, {4, streamer.Gap}, {1, streamer.Stale}, {3, streamer.Next}} {
		if got := s.Accept(tc.number); got != tc.want {
			t.Errorf("step %d: Accept(%d) = %v, want %v", i, tc.number, got, tc.want)
		}
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, m := range kinds {
		if m == nil {
			continue
		}
		data, err := encodeFrame(7, 3, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, message, err := decodeFrame(data)
		if err != nil {
			return
		}
		reencoded, err := encodeFrame(frame.Conversation, frame.Number, message)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decodeFrame(reencoded); err != nil {
			t.Errorf("%T is not decoded after encoding it again: %v", message, err)
		}
	})
}

// Links are closed while responses are written to them, as when a peer is killed. The
// library reclaims a connection as soon as its handler returns; a writer that was still
// active then wrote to released buffers, which crashed the process.
func TestClosedLinksDoNotCrashTheProcess(t *testing.T) {
	server := &Mesh{Handler: floodHandler{}, Secret: func() string { return "" }, Self: func() heartbeater.Instance { return heartbeater.Instance{} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: server.Serve}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 40 {
				client := &Mesh{Handler: floodHandler{}, Secret: func() string { return "" }, Self: func() heartbeater.Instance { return heartbeater.Instance{} }}
				c, err := client.Open(t.Context(), l.Addr().String(), Subscribe{Domain: "a"})
				if err != nil {
					continue
				}
				_, _ = c.Next(t.Context()) // whatever the result, the link is closed next
				client.CloseLink(l.Addr().String())
			}
		})
	}
	all.Wait()
}

// floodHandler responds to every message with data until the initiator cancels or the
// link fails.
type floodHandler struct{}

func (floodHandler) HandleRequest(_ context.Context, _ heartbeater.Instance, _ Message, reply *Reply) error {
	for {
		if err := reply.Send(Data{Data: make([]byte, 16<<10)}); err != nil {
			return err
		}
	}
}

func (floodHandler) HandleHeartbeat(heartbeater.Instance, Beat) {}

// An instance is so busy that its heartbeats are late, but it still sends the responses
// that its peer's callers wait for. Its link was closed nevertheless and the callers got
// truncated responses. A link over which no frame was received for as long must still be
// closed, or its conversations would hang.
func TestLinkWithRecentFramesIsNotClosed(t *testing.T) {
	const timeout = time.Minute
	m, address, _ := newPair(t, "right")
	c, err := m.Open(t.Context(), address, Fetch{Key: "3"})
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, c)
	m.CloseIdleLink(address, timeout, time.Now())
	if _, linked := m.Linked(address); !linked {
		t.Error("a link was closed over which a response had just been received")
	}
	m.CloseIdleLink(address, timeout, time.Now().Add(2*timeout))
	if _, linked := m.Linked(address); linked {
		t.Error("a link without recent frames was kept open")
	}
}

// Guards against a change on the wire of the messages that instances exchange where prompts are
// not ordered, and of the numbers of the others.
func TestFramesOfReservations(t *testing.T) {
	for _, tc := range []struct {
		message Message
		want    string
	}{
		{Reserve{Domain: "a", Runner: "i-1", Copy: placer.Copy{Model: "m", Adapter: "x", Version: 2}, Tokens: 7, MaxGap: time.Second, Timeout: 2 * time.Second}, "840102178760616163692d31a301616d0261780302071a3b9aca001a77359400"},
		{Reserved{Delay: time.Millisecond, PrefillBacklog: time.Second}, "840102181883f41a000f42401a3b9aca00"},
		{Enqueue{Domain: "a", Runner: "i-1", Copy: placer.Copy{Model: "m", Adapter: "x", Version: 2}, Tokens: 7, MaxGap: time.Second, Timeout: 2 * time.Second, Priority: 1, Account: "mill"}, "84010218228960616163692d31a301616d0261780302071a3b9aca001a7735940001646d696c6c"},
		{Queued{Wait: time.Millisecond}, "8401021823811a000f4240"},
	} {
		data, err := encodeFrame(1, 2, tc.message)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(tc.want, fmt.Sprintf("%x", data)); diff != "" {
			t.Errorf("%T: %s", tc.message, diff)
		}
		_, decoded, err := decodeFrame(data)
		if err != nil || decoded != tc.message {
			t.Errorf("%+v is read as %+v, %v", tc.message, decoded, err)
		}
	}
}
