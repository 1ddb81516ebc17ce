package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a request that is read, or whose client waits, on a connection that is not to be served, against requests
// that reach an instance which takes none, and against a connection that is lost as it is admitted after others that were not.
func TestConnectionsThatAreNotAdmittedAreRefused(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	var handled, refused, asked, admitted atomic.Int64
	var all atomic.Bool
	d := newDrainTest(t, func(*fasthttp.RequestCtx) { handled.Add(1) }, func(s *Server) {
		s.Admit = func() bool {
			admits := asked.Add(1)%5 == 0 || all.Load()
			if admits {
				admitted.Add(1)
			}
			return admits
		}
		s.OnRefuse = func() { refused.Add(1) }
	})
	// send reports whether a request on a new connection was served, and whether the connection was established.
	send := func() (served, connected bool) {
		c, err := net.Dial("tcp", d.address)
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			return false, false
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(patience))
		fmt.Fprint(c, request) // fails on a connection that has been reset
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_ = response.Body.Close()
			return true, true
		}
		if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a connection ended with %v", err)
		}
		return false, true
	}
	served, reset, unconnected := int64(0), int64(0), int64(0)
	d.until("some are served between those that are not", func() bool {
		switch ok, connected := send(); {
		case ok:
			served++
		case connected:
			reset++
		default:
			unconnected++
		}
		return served >= 5 && reset >= 5
	})
	if unconnected == 0 {
		t.Error("all connections are established while none is admitted")
	}
	// One that is admitted may yet come. Those that the kernel resets or refuses are not counted.
	if handled.Load() != served || admitted.Load()-served > 1 || refused.Load() > reset+unconnected || refused.Load() == 0 {
		t.Errorf("%d were served of %d admitted, %d handled, and %d refused of %d", served, admitted.Load(), handled.Load(), refused.Load(), reset+unconnected)
	}
	all.Store(true)
	d.until("connections are established again", func() bool {
		ok, _ := send()
		return ok
	})
	for range 50 {
		if ok, _ := send(); !ok {
			t.Fatal("a connection that is admitted is not served")
		}
	}
	d.until("none counts as busy", func() bool { return d.server.Busy() == 0 })
}

// Guards against a stop that waits for a listener which is shut, or that leaves one behind.
func TestServerStopsWhileItAdmitsNone(t *testing.T) {
	d := newDrainTest(t, func(*fasthttp.RequestCtx) {}, func(s *Server) { s.Admit = func() bool { return false } })
	d.until("no connection is established", func() bool {
		c, err := net.Dial("tcp", d.address)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.server.Drain(time.Now().Add(patience))
	}()
	select {
	case <-stopped:
	case <-time.After(patience / 2):
		t.Fatal("the server does not stop")
	}
	if c, err := net.Dial("tcp", d.address); err == nil {
		_ = c.Close()
		t.Error("a stopped server listens")
	}
}

// Guards against a server that never listens again, as another process has taken its port meanwhile.
func TestServerListensAgainWhereItsPortWasTaken(t *testing.T) {
	var admits atomic.Bool
	failed := make(chan error, 1)
	d := newDrainTest(t, func(*fasthttp.RequestCtx) {}, func(s *Server) {
		s.Admit = admits.Load
		s.OnAcceptFailure = func(err error) {
			select {
			case failed <- err:
			default:
			}
		}
	})
	var other net.Listener
	d.until("the port is free", func() bool {
		if c, err := net.Dial("tcp", d.address); err == nil {
			_ = c.Close()
		}
		var err error
		other, err = net.Listen("tcp", d.address)
		return err == nil
	})
	admits.Store(true)
	if err := <-failed; !errors.Is(err, syscall.EADDRINUSE) {
		t.Error(err)
	}
	_ = other.Close()
	d.until("a request is served", func() bool {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	})
}

// Guards against descriptors and memory that connections without a request hold, and against a request that is cut as
// they are closed.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	end := make(chan struct{})
	d := newDrainTest(t, func(c *fasthttp.RequestCtx) {
		if len(c.QueryArgs().Peek("wait")) > 0 {
			<-end
		}
	}, func(s *Server) { s.RequestWait = time.Nanosecond })
	kept := d.dial(request, idle)
	busy := d.dial("GET /?wait=1 HTTP/1.1\r\nHost: x\r\n\r\n", handling)
	d.until("the unused connection is closed", func() bool { return !d.server.CloseUnused(ClosedOverload) && d.server.Open() == 1 })
	if _, err := io.ReadAll(kept); err != nil {
		t.Error(err)
	}
	close(end)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}
