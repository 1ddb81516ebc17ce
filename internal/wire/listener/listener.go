// Package listener serves HTTP on a listener until its context ends.
package listener

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/wire/counter"
)

// A Server is an HTTP server with size limits and timeouts. Its fields are set
// before Run.
type Server struct {
	MaxBodySize      int           // maximum request body in bytes; 0 means bodyLimit
	DrainTimeout     time.Duration // time for in-flight requests after shutdown begins; 0 means drainTimeout
	Handler          fasthttp.RequestHandler
	MaxHeaderSize    int           // maximum request header in bytes; 0 means headerLimit
	IdleTimeout      time.Duration // idle timeout of keep-alive connections; 0 means idleTimeout
	Listener         net.Listener
	LingerTimeout    time.Duration                             // time for a client to close its connection after the last response; 0 means lingerTimeout
	ReadTimeout      time.Duration                             // time for a client to send a complete request once it has begun; 0 means readTimeout
	RequestWait      time.Duration                             // time for which Drain waits for the next request on a connection; 0 means requestWait
	NoDefaultHeaders bool                                      // add no default Date and Content-Type header to responses
	Admit            func() bool                               // asked for each new connection; if not, it is reset unread, and those that follow are refused; nil admits all
	HandleError      func(ctx *fasthttp.RequestCtx, err error) // responds to a request that could not be read; nil for plain text
	OnAcceptFailure  func(err error)                           // called when a connection could not be accepted; nil for none
	OnClose          func(Closed)                              // called for each connection that ends; may be nil
	OnRefuse         func()                                    // called for each connection that is reset unread; may be nil
	OnShut           func(time.Duration)                       // called when it listens again, with how long it did not; may be nil

	once     sync.Once
	acceptor *acceptor
	received counter.Traffic
	sent     counter.Traffic
	busy     atomic.Int64 // connections that are not idle
	mu       sync.Mutex
	conns    map[*Conn]struct{} // open ones
}

// Busy returns the number of connections on which a request is expected, read or handled: all but those that are
// idle after a response.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// ForgetSilent makes new connections on which no request came for a while no longer count as busy.
func (s *Server) ForgetSilent() {
	for _, c := range s.connections() {
		c.forgetSilent()
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Received returns how many bytes were read from all connections so far, with the header of one packet for each read.
func (s *Server) Received() int64 { return s.received.Bytes() }

// Sent returns how many bytes were written to all connections so far, with the header of one packet for each write.
func (s *Server) Sent() int64 { return s.sent.Bytes() }

const (
	bodyLimit    = 8 << 20
	drainTimeout = 2 * time.Second
	headerLimit  = 16 << 10
	readTimeout  = 10 * time.Second // for a client to send a complete request
	idleTimeout  = 30 * time.Second
	// lingerTimeout is how long a connection is kept after its last response for the client to close it.
	lingerTimeout = 500 * time.Millisecond
	// requestWait is how long a draining server waits for the first request on a new connection, whose
	// client connected to send one, and for the next one after a response, such as that of a stream which
	// began before the stop. It takes a round trip.
	requestWait = 250 * time.Millisecond
)

func (s *Server) init() {
	s.once.Do(func() {
		s.acceptor = &acceptor{listener: s.Listener, server: s, acceptNow: acceptNow, closed: make(chan struct{})}
	})
}

// Run serves until Drain is called or ctx ends. In the latter case it waits up to DrainTimeout for in-flight
// requests.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	server := &fasthttp.Server{
		ConnState:             s.observe,
		Handler:               s.handle,
		IdleTimeout:           orDefault(s.IdleTimeout, idleTimeout),
		NoDefaultContentType:  s.NoDefaultHeaders,
		NoDefaultDate:         s.NoDefaultHeaders,
		MaxRequestBodySize:    orDefault(s.MaxBodySize, bodyLimit),
		NoDefaultServerHeader: true,
		ReadBufferSize:        orDefault(s.MaxHeaderSize, headerLimit),
		ReadTimeout:           orDefault(s.ReadTimeout, readTimeout),
		Logger:                discardLogger{},
		CloseOnShutdown:       true,
		ErrorHandler:          s.HandleError,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(s.acceptor) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orDefault(s.DrainTimeout, drainTimeout))
	defer cancel()
	_ = server.ShutdownWithContext(drainCtx) // requests still in flight end with the process
	return nil
}

// DecodeJSON decodes the JSON body of a request. On failure it responds with status
// 400 and returns false.
func DecodeJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with a value encoded as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// ListenLoopback listens on a free port of the loopback address.
func ListenLoopback() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// discardLogger discards the log lines of fasthttp: the relevant failures are
// counted and logged by the handlers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
