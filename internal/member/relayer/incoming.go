package relayer

import (
	"context"
	"sync"

	"github.com/fasthttp/websocket"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
)

// An incomingLink is a link that a peer dialed, with the replies in progress on it.
type incomingLink struct {
	mesh *Mesh
	link *link
	from heartbeater.Instance

	mu      sync.Mutex
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
	case Cancel:
		if r := s.reply(f.Conversation); r != nil {
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
	go func() {
		r.end(s.mesh.Handler.HandleRequest(r.ctx, from, message, r))
		s.mu.Lock()
		delete(s.replies, id)
		s.mu.Unlock()
	}()
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
	l.extendReadDeadline()
	_, first, err := l.read()
	hello, ok := first.(Hello)
	if err != nil || !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &incomingLink{mesh: m, link: l, from: hello.Instance, replies: make(map[uint64]*Reply)}
	for {
		l.extendReadDeadline()
		f, message, err := l.read()
		if err != nil {
			return
		}
		s.handle(ctx, f, message)
	}
}
