// Package listener serves HTTP on a listener until its context ends.
package listener

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// A Server is an HTTP server with bounds. Its fields are set before Run.
type Server struct {
	Body     int           // largest request body in bytes; 0 is bodyLimit
	Drain    time.Duration // how long open requests may go on after the end; 0 is drainTimeout
	Handler  fasthttp.RequestHandler
	Header   int           // largest request header in bytes; 0 is headerLimit
	Idle     time.Duration // that a kept connection may stay unused; 0 is idleTimeout
	Listener net.Listener
	Plain    bool                                      // add no header fields to answers
	Refuse   func(ctx *fasthttp.RequestCtx, err error) // answers a request that could not be read; nil for plain text
}

const (
	bodyLimit    = 8 << 20
	drainTimeout = 2 * time.Second
	headerLimit  = 16 << 10
	headTimeout  = 10 * time.Second // for a client to send its request
	idleTimeout  = 30 * time.Second
)

// Run serves until ctx ends, then lets open requests finish within Drain.
func (s *Server) Run(ctx context.Context) error {
	server := &fasthttp.Server{
		Handler:               s.Handler,
		IdleTimeout:           orDefault(s.Idle, idleTimeout),
		NoDefaultContentType:  s.Plain,
		NoDefaultDate:         s.Plain,
		MaxRequestBodySize:    orDefault(s.Body, bodyLimit),
		NoDefaultServerHeader: true,
		ReadBufferSize:        orDefault(s.Header, headerLimit),
		ReadTimeout:           headTimeout,
		Logger:                silent{},
		CloseOnShutdown:       true,
		ErrorHandler:          s.Refuse,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(Listener{s.Listener}) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), orDefault(s.Drain, drainTimeout))
	defer cancel()
	_ = server.ShutdownWithContext(bounded) // what is still open ends with the process
	return nil
}

// Decode reads the body of a request as JSON, or answers that it is none.
func Decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// JSON answers with a value as JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, value any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// Local listens on a free port of the loopback address.
func Local() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// silent drops the library's own log lines: what matters is counted and logged
// where it is decided.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
