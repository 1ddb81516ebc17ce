package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// An acceptor accepts connections of type *Conn.
type acceptor struct {
	server    *Server
	acceptNow func(l net.Listener) (net.Conn, error)
	admitted  bool // the next connection is served; it is used by Accept alone

	mu       sync.Mutex
	listener net.Listener
	stopping bool
	closed   chan struct{} // closed when it no longer listens
}

const (
	// The delay before the next attempt to accept a connection doubles from minAcceptDelay to
	// maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
	// stopTimeout bounds the time until Accept has taken the connections that are queued.
	stopTimeout = 100 * time.Millisecond
	// admitInterval is how often it is asked whether connections are admitted again.
	admitInterval = 50 * time.Millisecond
)

// Accept implements net.Listener. It fails only if the listener is closed: any other error passes, as the
// lack of file descriptors does, and the HTTP library would end the server.
func (a *acceptor) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; {
		if a.isStopping() {
			return a.acceptQueued()
		}
		c, err := a.current().Accept()
		switch {
		case err == nil && a.admits():
			return a.server.track(c), nil
		case err == nil:
			a.refuse(c)
			a.shut()
			delay = minAcceptDelay
			continue
		case a.isStopping():
			continue // the deadline that stop has set
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		a.failed(err)
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

// Addr implements net.Listener.
func (a *acceptor) Addr() net.Addr { return a.current().Addr() }

// Close implements net.Listener.
func (a *acceptor) Close() error {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.close()
	return nil
}

func (a *acceptor) current() net.Listener {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener
}

// failed reports an error that may pass.
func (a *acceptor) failed(err error) {
	if a.server.OnAcceptFailure != nil {
		a.server.OnAcceptFailure(err)
	}
}

// admits reports whether a connection that was accepted is served.
func (a *acceptor) admits() bool {
	if a.admitted {
		a.admitted = false
		return true
	}
	return a.server.admits()
}

// admits reports whether a connection is served now.
func (s *Server) admits() bool { return s.Admit == nil || s.Admit() }

// refuse closes a connection unread. The client learns at once that its request was not read, and may go
// elsewhere.
func (a *acceptor) refuse(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
	if a.server.OnRefuse != nil {
		a.server.OnRefuse()
	}
}

// shut does not listen until a connection is admitted. The kernel refuses connections meanwhile, which takes neither time of
// this process nor, as no client sends its request, bandwidth. It resets those that are queued.
func (a *acceptor) shut() {
	l, ok := a.current().(*net.TCPListener)
	if !ok {
		return
	}
	if a.server.OnShut != nil {
		began := time.Now()
		defer func() { a.server.OnShut(time.Since(began)) }()
	}
	address := l.Addr()
	_ = l.Close() // fails only if it is closed
	for !a.server.admits() {
		if a.isStopping() {
			return
		}
		time.Sleep(admitInterval)
	}
	a.admitted = true
	for delay := minAcceptDelay; !a.isStopping(); delay = min(2*delay, maxAcceptDelay) {
		err := a.reopen(address)
		if err == nil {
			return
		}
		a.failed(err) // another process may use the port for a moment
		time.Sleep(delay)
	}
}

// reopen listens again, unless the acceptor is stopping.
func (a *acceptor) reopen(address net.Addr) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return nil
	}
	l, err := net.Listen(address.Network(), address.String())
	if err != nil {
		return err
	}
	a.listener = l
	return nil
}

// acceptQueued accepts a connection that is queued. If there is none, it closes the listener: the kernel
// resets the connections that are still queued then. An error that passes, such as the lack of file
// descriptors, does not mean that there is none.
func (a *acceptor) acceptQueued() (net.Conn, error) {
	for !a.isClosed() {
		c, err := a.acceptNow(a.current())
		switch {
		case err == nil:
			return a.server.track(c), nil
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, errors.ErrUnsupported), errors.Is(err, net.ErrClosed):
			a.close()
		default:
			time.Sleep(minAcceptDelay)
		}
	}
	return nil, io.EOF
}

// acceptNow accepts a connection without waiting for one.
func acceptNow(l net.Listener) (net.Conn, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	var acceptErr error
	if err := raw.Control(func(listening uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
	}); err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer func() { _ = f.Close() }() // FileConn duplicates it
	return net.FileConn(f)
}

// close closes the listener.
func (a *acceptor) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.closed:
	default:
		_ = a.listener.Close()
		close(a.closed)
	}
}

// stop accepts the connections that are queued and closes the listener.
func (a *acceptor) stop() {
	a.mu.Lock()
	a.stopping = true
	if l, ok := a.listener.(*net.TCPListener); ok {
		_ = l.SetDeadline(time.Unix(1, 0)) // wakes Accept
	}
	a.mu.Unlock()
	select {
	case <-a.closed:
	case <-time.After(stopTimeout): // Accept is not called, or cannot be woken
		a.close()
	}
}

func (a *acceptor) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

func (a *acceptor) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}
