package relayer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// Path is where an instance takes links.
const Path = "/peer"

// A Handler answers what peers ask.
type Handler interface {
	// Answer answers a message that opens a conversation. What it returns ends
	// the answer.
	Answer(ctx context.Context, from heartbeater.Instance, m Message, reply *Reply) error
	// Heard takes in a heartbeat.
	Heard(from heartbeater.Instance, beat Beat)
}

// A Demander takes in what peers need, where an instance orders for them.
type Demander interface {
	// Demanded takes in a Demand.
	Demanded(from heartbeater.Instance, d Demand)
}

// A Suspecter takes in the crashes of runners that peers saw.
type Suspecter interface {
	// HeardCrashes takes in Crashes.
	HeardCrashes(from heartbeater.Instance, c Crashes)
}

// A Mesh holds the links of one instance. Its fields are set before use.
type Mesh struct {
	Handler Handler
	Secret  func() string               // shared by all instances; may change
	Self    func() heartbeater.Instance // this instance as it is now
	TLS     *tls.Config                 // for links that are dialled; nil for none

	bytes atomic.Int64 // sent
	gaps  atomic.Int64
	stale atomic.Int64

	mu    sync.Mutex
	links map[string]*dialled // by address
	next  uint64
}

// A dialled link and the conversations open on it.
type dialled struct {
	*link
	heard         atomic.Pointer[time.Time] // when the last frame came, or the link was made
	conversations map[uint64]*Conversation
}

// dialTimeout bounds how long a link takes to be made.
const dialTimeout = time.Second

// Bytes returns how many bytes of frames were sent.
func (m *Mesh) Bytes() int64 { return m.bytes.Load() }

// Dropped returns how many messages of answers came late or twice, and how many
// answers had a gap.
func (m *Mesh) Dropped() (stale, gaps int64) { return m.stale.Load(), m.gaps.Load() }

// Cut ends the link to an address. It is called when the peer falls silent: the
// network may keep a dead connection open for a long time, and whoever waits on
// it would wait as long.
func (m *Mesh) Cut(address string) {
	if l, ok := m.link(address); ok {
		m.lost(address, l)
	}
}

// CutSilent ends the link to an address, unless a frame came over it within a time:
// a peer that gives answers lives, also when its heartbeats are late.
func (m *Mesh) CutSilent(address string, within time.Duration, now time.Time) {
	if l, ok := m.link(address); ok && now.Sub(*l.heard.Load()) >= within {
		m.lost(address, l)
	}
}

func (m *Mesh) link(address string) (*dialled, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[address]
	return l, ok
}

// Open begins a conversation. If it returns an error the peer has not seen the
// message.
func (m *Mesh) Open(ctx context.Context, address string, message Message) (*Conversation, error) {
	l, err := m.dial(ctx, address)
	if err != nil {
		return nil, judge.Refuse(judge.ReasonPeer, "link to %s: %v", address, err)
	}
	m.mu.Lock()
	m.next++
	c := &Conversation{id: m.next, link: l.link, mesh: m, parts: make(chan Message, window+1), gone: make(chan struct{})}
	l.conversations[c.id] = c
	m.mu.Unlock()
	if err := l.send(c.id, 0, message); err != nil {
		m.drop(c)
		return nil, judge.Refuse(judge.ReasonPeer, "link to %s: %v", address, err)
	}
	return c, nil
}

// Serve takes a link from a peer that knows the secret.
func (m *Mesh) Serve(c *fasthttp.RequestCtx) {
	given := string(c.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if subtle.ConstantTimeCompare([]byte(given), []byte(bearer(m.Secret()))) != 1 {
		c.Error("wrong secret", fasthttp.StatusUnauthorized)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }}
	_ = upgrader.Upgrade(c, m.accept) // the library has answered the client
}

// Tell sends a message that wants no answer. It dials if there is no link.
func (m *Mesh) Tell(ctx context.Context, address string, message Message) error {
	l, err := m.dial(ctx, address)
	if err != nil {
		return err
	}
	return l.send(0, 0, message)
}

// Linked reports whether there is a link to the address now, and an identity of
// it that changes when it is made anew.
func (m *Mesh) Linked(address string) (any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[address]
	return l, ok
}

func (m *Mesh) dial(ctx context.Context, address string) (*dialled, error) {
	if l, ok := m.link(address); ok {
		return l, nil
	}
	scheme := "ws://"
	if m.TLS != nil {
		scheme = "wss://"
	}
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, TLSClientConfig: m.TLS}
	header := http.Header{fasthttp.HeaderAuthorization: {bearer(m.Secret())}}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := dialer.DialContext(ctx, scheme+address+Path, header)
	if response != nil {
		_ = response.Body.Close() // it has none after an upgrade
	}
	if err != nil {
		return nil, err
	}
	return m.adopt(address, conn)
}

// adopt enters a new link unless another was made meanwhile.
func (m *Mesh) adopt(address string, conn *websocket.Conn) (*dialled, error) {
	m.mu.Lock()
	if other, ok := m.links[address]; ok {
		m.mu.Unlock()
		_ = conn.Close()
		return other, nil
	}
	if m.links == nil {
		m.links = make(map[string]*dialled)
	}
	l := &dialled{link: newLink(conn, &m.bytes), conversations: make(map[uint64]*Conversation)}
	l.hear()
	m.links[address] = l
	m.mu.Unlock()
	go m.receive(address, l)
	return l, l.send(0, 0, Hello{Instance: m.Self()})
}

func (m *Mesh) drop(c *Conversation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.link == c.link {
			delete(l.conversations, c.id)
		}
	}
}

func (l *dialled) hear() {
	now := time.Now()
	l.heard.Store(&now)
}

// receive hands answers to their conversations until the link fails.
func (m *Mesh) receive(address string, l *dialled) {
	defer m.lost(address, l)
	for {
		f, message, err := l.read()
		if err != nil {
			return
		}
		l.hear()
		m.mu.Lock()
		c := l.conversations[f.Conversation]
		m.mu.Unlock()
		if c == nil {
			m.stale.Add(1)
			continue
		}
		c.receive(f.Number, message)
	}
}

// lost ends every conversation of a link that failed.
func (m *Mesh) lost(address string, l *dialled) {
	l.shut()
	m.mu.Lock()
	if m.links[address] == l {
		delete(m.links, address)
	}
	conversations := l.conversations
	l.conversations = make(map[uint64]*Conversation)
	m.mu.Unlock()
	for _, c := range conversations {
		c.fail()
	}
}

// bearer returns the value of the header that shows the secret. Without a
// secret there is none, and mutual TLS alone lets a peer in.
func bearer(secret string) string {
	if secret == "" {
		return ""
	}
	return "Bearer " + secret
}
