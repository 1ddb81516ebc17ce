// Package responder implements a stand-in for a plain service, some of whose calls
// must not be repeated. It echoes every call and records the calls that it
// executed.
package responder

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// Control paths, and the header with the request ID.
const (
	HeaderRequest = "X-Request-Id"
	PathBooks     = "/books"
	PathControl   = "/control"
)

// Faults are the faults that the service injects.
type Faults struct {
	Lose   int           `json:"lose"`   // number of calls to execute without a response
	Refuse int           `json:"refuse"` // number of calls to reject with status 503
	Slow   time.Duration `json:"slow"`   // delay of each call, in nanoseconds
}

// A Call is a call that the service executed.
type Call struct {
	Request   string    `json:"request"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	StartedAt time.Time `json:"began"`
}

// An Echo is the response to a call.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// A Service is a stand-in for a plain service. Its fields are set before Run.
type Service struct {
	Listener net.Listener

	mu     sync.Mutex
	calls  []Call
	faults Faults
}

// Calls returns the calls executed so far.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Run serves until ctx is cancelled.
func (s *Service) Run(ctx context.Context) error {
	server := listener.Server{Listener: s.Listener, Handler: s.handle}
	return server.Run(ctx)
}

// Set replaces the faults to inject.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) control(c *fasthttp.RequestCtx) {
	var f Faults
	if !listener.DecodeJSON(c, &f) {
		return
	}
	s.Set(f)
}

func (s *Service) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case PathBooks:
		listener.WriteJSON(c, fasthttp.StatusOK, s.Calls())
	case PathControl:
		s.control(c)
	default:
		s.serve(c)
	}
}

func (s *Service) serve(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	f := s.faults
	if f.Refuse > 0 {
		s.faults.Refuse--
		s.mu.Unlock()
		c.Error("refused", fasthttp.StatusServiceUnavailable)
		return
	}
	if f.Lose > 0 {
		s.faults.Lose--
	}
	s.calls = append(s.calls, Call{
		Request:   string(c.Request.Header.Peek(HeaderRequest)),
		Method:    string(c.Method()),
		Path:      string(c.Path()),
		StartedAt: time.Now(),
	})
	s.mu.Unlock()
	time.Sleep(f.Slow)
	if f.Lose > 0 {
		_ = c.Conn().Close()
		return
	}
	listener.WriteJSON(c, fasthttp.StatusCreated, Echo{Method: string(c.Method()), Path: string(c.Path()), Body: string(c.PostBody())})
}
