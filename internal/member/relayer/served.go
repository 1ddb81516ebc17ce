package relayer

import (
	"context"
	"sync"

	"github.com/fasthttp/websocket"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
)

// A served link is one that a peer dialed, with the replies in progress on it.
type served struct {
	mesh *Mesh
	link *link
	from heartbeater.Instance

	mu      sync.Mutex
	replies map[uint64]*Reply
}

func (s *served) handle(ctx context.Context, f frame, message Message) {
	switch message := message.(type) {
	case Beat:
		s.from.Leaving = message.Leaving
		s.mesh.Handler.Heard(s.from, message)
	case Demand:
		if d, ok := s.mesh.Handler.(Demander); ok {
			d.Demanded(s.from, message)
		}
	case Crashes:
		if h, ok := s.mesh.Handler.(Suspecter); ok {
			h.HeardCrashes(s.from, message)
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
		s.open(ctx, f.Conversation, message)
	}
}

func (s *served) open(ctx context.Context, id uint64, message Message) {
	r := newReply(ctx, s.link, id)
	from := s.from
	s.mu.Lock()
	s.replies[id] = r
	s.mu.Unlock()
	go func() {
		r.end(s.mesh.Handler.Answer(r.ctx, from, message, r))
		s.mu.Lock()
		delete(s.replies, id)
		s.mu.Unlock()
	}()
}

func (s *served) reply(id uint64) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replies[id]
}

// accept serves a link that a peer dialed.
func (m *Mesh) accept(conn *websocket.Conn) {
	l := newLink(conn, &m.bytes)
	defer l.end()
	l.expect()
	_, first, err := l.read()
	hello, ok := first.(Hello)
	if err != nil || !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &served{mesh: m, link: l, from: hello.Instance, replies: make(map[uint64]*Reply)}
	for {
		l.expect()
		f, message, err := l.read()
		if err != nil {
			return
		}
		s.handle(ctx, f, message)
	}
}
