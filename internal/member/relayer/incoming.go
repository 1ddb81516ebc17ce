package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
)

// An incomingLink is a link that a peer dialed, with the replies in progress on it.
type incomingLink struct {
	mesh *Mesh
	link *link
	from heartbeater.Instance

	mu      sync.Mutex
	detours int  // in progress
	ended   bool // the connection is not to be used any more
	replies map[uint64]*Reply
}

func (s *incomingLink) handle(ctx context.Context, f frame, message Message) {
	switch message := message.(type) {
	case Beat:
		s.from.Leaving = message.Leaving
		s.mesh.Handler.HandleHeartbeat(s.from, message)
	case Demand:
		if d, ok := s.mesh.Handler.(DemandHandler); ok {
			d.HandleDemand(s.from, message)
		}
	case Crashes:
		if h, ok := s.mesh.Handler.(CrashHandler); ok {
			h.HandleCrashReports(s.from, message)
		}
	case Streams:
		if h, ok := s.mesh.Handler.(StreamHandler); ok {
			h.HandleStreams(message)
		}
	case Alive:
	case Begin:
		if r := s.reply(f.Conversation); r != nil {
			r.begin()
		}
	case Cancel:
		if r := s.reply(f.Conversation); r != nil {
			r.closed.Store(!message.Abandoned)
			r.cancel()
		}
	case Grant:
		if r := s.reply(f.Conversation); r != nil {
			r.grant(message.Parts)
		}
	default:
		s.startReply(ctx, f.Conversation, message)
	}
}

func (s *incomingLink) startReply(ctx context.Context, id uint64, message Message) {
	r := newReply(ctx, s.link, id)
	from := s.from
	s.mu.Lock()
	s.replies[id] = r
	s.mu.Unlock()
	_, detour := message.(Detour)
	if detour {
		s.countDetours(1)
	}
	go func() {
		if detour {
			defer s.countDetours(-1)
		}
		r.end(s.mesh.Handler.HandleRequest(r.ctx, from, message, r))
		s.mu.Lock()
		delete(s.replies, id)
		s.mu.Unlock()
	}()
}

// detourReadTimeout is the read timeout of a link with detours in progress. Their initiator
// sends something several times as often; without a sign of it, its callers are taken to have
// left, so that no runner works for nobody.
const detourReadTimeout = 500 * time.Millisecond

// countDetours adds to the number of detours in progress.
func (s *incomingLink) countDetours(n int) {
	s.mu.Lock()
	s.detours += n
	s.mu.Unlock()
	s.extendReadDeadline()
}

// extendReadDeadline limits the wait for the next frame.
func (s *incomingLink) extendReadDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	timeout := readTimeout
	if s.detours > 0 {
		timeout = detourReadTimeout
	}
	s.link.extendReadDeadline(timeout)
}

// end is called before the connection is returned to the library, which reuses it.
func (s *incomingLink) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

func (s *incomingLink) reply(id uint64) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replies[id]
}

// serveLink serves a link that a peer dialed.
func (m *Mesh) serveLink(conn *websocket.Conn) {
	l := newLink(conn, &m.bytes)
	defer l.closeAndWait()
	l.extendReadDeadline(readTimeout)
	_, first, err := l.read()
	hello, ok := first.(Hello)
	if err != nil || !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &incomingLink{mesh: m, link: l, from: hello.Instance, replies: make(map[uint64]*Reply)}
	defer s.end()
	for {
		s.extendReadDeadline()
		f, message, err := l.read()
		if err != nil {
			return
		}
		s.handle(ctx, f, message)
	}
}
