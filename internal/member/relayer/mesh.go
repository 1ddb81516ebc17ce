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

// Path is the path at which an instance accepts links.
const Path = "/peer"

// A Handler handles the messages of peers.
type Handler interface {
	// HandleRequest handles a message that opens a conversation. Its return ends the response,
	// with a Fail if there is an error.
	HandleRequest(ctx context.Context, from heartbeater.Instance, m Message, reply *Reply) error
	// HandleHeartbeat handles a heartbeat.
	HandleHeartbeat(from heartbeater.Instance, beat Beat)
}

// A DemandHandler is a Handler that also handles the demand reports of peers.
type DemandHandler interface {
	// HandleDemand handles a Demand.
	HandleDemand(from heartbeater.Instance, d Demand)
}

// A CrashHandler is a Handler that also handles the crash reports of peers.
type CrashHandler interface {
	// HandleCrashReports handles Crashes.
	HandleCrashReports(from heartbeater.Instance, c Crashes)
}

// A StreamHandler is a Handler that also holds the records of streams that began at peers.
type StreamHandler interface {
	// HandleStreams handles Streams.
	HandleStreams(s Streams)
}

// A Mesh holds the links of one instance. Its exported fields are set before use.
type Mesh struct {
	Handler Handler
	Secret  func() string               // shared by all instances; may change
	Self    func() heartbeater.Instance // current description of this instance
	TLS     *tls.Config                 // for outgoing links; nil for no TLS

	bytes atomic.Int64 // written
	gaps  atomic.Int64 // responses that lost a message
	stale atomic.Int64 // messages that came late or twice

	mu     sync.Mutex
	links  map[string]*outgoingLink // by address
	lastID uint64
}

// An outgoingLink is a link that this instance dialed, with the conversations open on it.
type outgoingLink struct {
	*link
	lastFrameAt   atomic.Pointer[time.Time] // when the last frame was received or the link was established
	conversations map[uint64]*Conversation
}

// dialTimeout limits the time to establish a link.
const dialTimeout = time.Second

// Bytes returns how many bytes of frames were written.
func (m *Mesh) Bytes() int64 { return m.bytes.Load() }

// Dropped returns how many response messages arrived late or twice, and how many
// responses had a gap.
func (m *Mesh) Dropped() (stale, gaps int64) { return m.stale.Load(), m.gaps.Load() }

// CloseLink closes the link to an address. It is called when the peer stops responding: the
// network may keep a dead connection open for a long time, and conversations would
// hang as long.
func (m *Mesh) CloseLink(address string) {
	if l, ok := m.link(address); ok {
		m.dropLink(address, l)
	}
}

// CloseIdleLink closes the link to an address unless a frame was received over it within a
// time: a peer that sends responses is alive even if its heartbeats are late.
func (m *Mesh) CloseIdleLink(address string, within time.Duration, now time.Time) {
	if l, ok := m.link(address); ok && now.Sub(*l.lastFrameAt.Load()) >= within {
		m.dropLink(address, l)
	}
}

func (m *Mesh) link(address string) (*outgoingLink, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[address]
	return l, ok
}

// Open begins a conversation. If it returns an error the peer has not received the
// message.
func (m *Mesh) Open(ctx context.Context, address string, message Message) (*Conversation, error) {
	l, err := m.dial(ctx, address)
	if err != nil {
		return nil, judge.Refuse(judge.ReasonPeer, "link to %s: %v", address, err)
	}
	m.mu.Lock()
	m.lastID++
	c := &Conversation{id: m.lastID, link: l.link, mesh: m, parts: make(chan Message, window+1), failed: make(chan struct{})}
	l.conversations[c.id] = c
	m.mu.Unlock()
	if err := l.send(c.id, 0, message); err != nil {
		m.removeConversation(c)
		return nil, judge.Refuse(judge.ReasonPeer, "link to %s: %v", address, err)
	}
	return c, nil
}

// Serve accepts a link from a peer that sends the secret.
func (m *Mesh) Serve(c *fasthttp.RequestCtx) {
	received := string(c.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if subtle.ConstantTimeCompare([]byte(received), []byte(authorization(m.Secret()))) != 1 {
		c.Error("wrong secret", fasthttp.StatusUnauthorized)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }}
	_ = upgrader.Upgrade(c, m.serveLink) // the library has sent the error response
}

// Send sends a message that needs no response. It dials if there is no link.
func (m *Mesh) Send(ctx context.Context, address string, message Message) error {
	l, err := m.dial(ctx, address)
	if err != nil {
		return err
	}
	return l.send(0, 0, message)
}

// Linked reports whether there is a link to the address now. The first result
// identifies the link; it differs after the link was established again.
func (m *Mesh) Linked(address string) (any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[address]
	return l, ok
}

func (m *Mesh) dial(ctx context.Context, address string) (*outgoingLink, error) {
	if l, ok := m.link(address); ok {
		return l, nil
	}
	scheme := "ws://"
	if m.TLS != nil {
		scheme = "wss://"
	}
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, TLSClientConfig: m.TLS}
	header := http.Header{fasthttp.HeaderAuthorization: {authorization(m.Secret())}}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := dialer.DialContext(ctx, scheme+address+Path, header)
	if response != nil {
		_ = response.Body.Close() // the body is empty after an upgrade
	}
	if err != nil {
		return nil, err
	}
	return m.addLink(address, conn)
}

// addLink registers a new link, unless another one to the address exists by now.
func (m *Mesh) addLink(address string, conn *websocket.Conn) (*outgoingLink, error) {
	hello := Hello{Instance: m.Self()}
	m.mu.Lock()
	if existing, ok := m.links[address]; ok {
		m.mu.Unlock()
		_ = conn.Close()
		return existing, nil
	}
	if m.links == nil {
		m.links = make(map[string]*outgoingLink)
	}
	l := &outgoingLink{link: newLink(conn, &m.bytes), conversations: make(map[uint64]*Conversation)}
	l.recordFrame()
	// Before others find the link: a peer closes a link whose first message is not a Hello.
	err := l.send(0, 0, hello)
	m.links[address] = l
	m.mu.Unlock()
	go m.receive(address, l)
	return l, err
}

func (m *Mesh) removeConversation(c *Conversation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.link == c.link {
			delete(l.conversations, c.id)
		}
	}
}

func (l *outgoingLink) recordFrame() {
	now := time.Now()
	l.lastFrameAt.Store(&now)
}

// receive dispatches response messages to their conversations until the link fails.
func (m *Mesh) receive(address string, l *outgoingLink) {
	defer m.dropLink(address, l)
	for {
		f, message, err := l.read()
		if err != nil {
			return
		}
		l.recordFrame()
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

// dropLink closes a link and ends every conversation on it.
func (m *Mesh) dropLink(address string, l *outgoingLink) {
	l.shutdown()
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

// authorization returns the value of the authorization header for the secret. Without
// a secret it is empty, and only mutual TLS authenticates a peer.
func authorization(secret string) string {
	if secret == "" {
		return ""
	}
	return "Bearer " + secret
}
