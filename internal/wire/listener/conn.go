package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A Conn is a connection that can detect a disconnect of the client while its
// request is being handled. The HTTP library does not read during that time, so
// without this a disconnect would be noticed only when the response is written.
type Conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time

	mu        sync.Mutex
	phase     phase
	idleSince time.Time     // when the phase became idle
	responded bool          // something was written since the phase became reading
	reason    CloseReason   // why the connection ends; empty while that is not known
	request   string        // ID of the request that is handled
	busy      bool          // it counts as busy at the server
	closed    bool          // it never counts as busy again
	ending    bool          // it is closed as unused: no further request is read
	watchDone chan struct{} // closed when the running watch ends; nil if none runs
}

// A phase is what a connection is used for at a time.
type phase int

const (
	connected phase = iota // nothing was received
	reading                // a part of a request was received
	handling               // a request is handled, or its response is written
	idle                   // nothing was received since the last response
)

// A CloseReason is the reason for which a connection ends.
type CloseReason string

// The reasons.
const (
	ClosedAnswered     CloseReason = "answered"      // after a response with Connection: close
	ClosedBroken       CloseReason = "broken"        // to end a response whose rest does not come
	ClosedByCaller     CloseReason = "caller"        // the client closed it
	ClosedIdle         CloseReason = "idle"          // no request came within the idle timeout
	ClosedOverload     CloseReason = "overload"      // to free what the instance is short of
	ClosedReadTimeout  CloseReason = "read_timeout"  // a request did not arrive whole in time
	ClosedStop         CloseReason = "stop"          // at the end of a stop
	ClosedWrite        CloseReason = "write"         // a response could not be written
	ClosedWriteTimeout CloseReason = "write_timeout" // the client did not take a response in time
)

// A Closed is a connection that has ended.
type Closed struct {
	Reason CloseReason
	// Handling reports whether a request had been read whole whose response was not written whole.
	Handling bool
	Request  string // ID of that request
}

// SetBroken records that the connection ends in the middle of a response, as the rest does not come.
func (c *Conn) SetBroken() { c.note(ClosedBroken) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.note(ClosedAnswered)
	c.linger()
	return c.closeNow()
}

// linger waits until the client has the last response, if that was written whole, and closes the
// connection. The kernel resets a connection that is closed with unread bytes, such as a request that
// the client has sent ahead, and drops what it has not sent yet.
func (c *Conn) linger() {
	c.mu.Lock()
	responded := c.phase == handling || c.phase == reading && c.responded // the latter to refuse what was not read
	switch c.reason {
	case ClosedAnswered, ClosedReadTimeout, ClosedStop:
	default:
		responded = false
	}
	c.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !responded || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(orDefault(c.server.LingerTimeout, lingerTimeout))) // fails on a closed connection, as the read does
	_, _ = io.Copy(io.Discard, tcp)
}

// closeNow closes the connection.
func (c *Conn) closeNow() error {
	if c.server.untrack(c) {
		closed := c.end()
		if c.server.OnClose != nil {
			c.server.OnClose(closed)
		}
	}
	return c.Conn.Close()
}

// end makes the connection no longer count as busy, and returns how it ends.
func (c *Conn) end() Closed {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setBusy(false)
	c.closed = true
	return Closed{Reason: c.reason, Handling: c.phase == handling && c.reason != ClosedAnswered, Request: c.request}
}

// note records why the connection ends, unless that is known.
func (c *Conn) note(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLocked(reason)
}

// noteLocked is note for callers that hold mu.
func (c *Conn) noteLocked(reason CloseReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// SetRequest sets the ID of the request that is handled.
func (c *Conn) SetRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = id
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.sent.Add(n)
	c.mu.Lock()
	c.responded = c.responded || n > 0
	c.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.note(ClosedWriteTimeout)
	case err != nil:
		c.note(ClosedWrite)
	}
	return n, err
}

// WatchDisconnect calls onDisconnect if the client closes the connection before StopWatch, and at once
// if it has closed it already.
func (c *Conn) WatchDisconnect(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchDone != nil {
		return
	}
	raw, err := c.rawConn()
	if err != nil {
		return // it is no network connection, whose end cannot be watched
	}
	if c.Conn.SetReadDeadline(time.Time{}) != nil || c.ClientLeft() {
		c.noteLocked(ClosedByCaller)
		onDisconnect()
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	go func() {
		defer close(done)
		if err := raw.Read(hasLeft); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.note(ClosedByCaller)
			onDisconnect()
		}
	}()
}

// ClientLeft reports whether the client has closed the connection, as far as the kernel knows. It neither
// waits nor reads, and may be called while a watch runs.
func (c *Conn) ClientLeft() bool {
	raw, err := c.rawConn()
	if err != nil {
		return false
	}
	left := false
	if err := raw.Control(func(fd uintptr) { left = hasLeft(fd) }); err != nil {
		return true // closed by this process
	}
	return left
}

func (c *Conn) rawConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// hasLeft reports whether the peer of a socket has closed the connection. What the peer sent before
// stays in the receive buffer.
func hasLeft(fd uintptr) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false
	case err != nil, n == 0:
		return true
	}
	// The bytes come before the end of the connection, which a read would not show.
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(poll, 0)
	return err == nil && ready > 0
}

// StopWatch ends the watch. The connection can be read again afterwards.
func (c *Conn) StopWatch() {
	c.mu.Lock()
	done := c.watchDone
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection, whose read has already returned
	<-done
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.watchDone = nil
	c.mu.Unlock()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.received.Add(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return 0, io.EOF // the request would be handled, and its response not written
	}
	if n > 0 {
		c.received()
	} else if err != nil {
		c.noteReadError(err)
	}
	if err != nil && c.phase == connected {
		err = io.EOF // upon any other error fasthttp would send a response to no request
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of a connection on which nothing was received is the
// end of the idle timeout, whatever is asked for: fasthttp sets its read timeout there, which is for a
// request that has begun.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connected && !t.IsZero() {
		t = c.acceptedAt.Add(orDefault(c.server.IdleTimeout, idleTimeout))
	}
	return c.Conn.SetReadDeadline(t)
}

// received records that a part of a request was received. The caller holds mu.
func (c *Conn) received() {
	if c.phase == connected {
		_ = c.Conn.SetReadDeadline(time.Now().Add(orDefault(c.server.ReadTimeout, readTimeout))) // fails on a closed connection, as the next read does
	}
	if c.phase == connected || c.phase == idle {
		c.enter(reading)
	}
}

// noteReadError records why the connection ends. The caller holds mu.
func (c *Conn) noteReadError(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteLocked(ClosedByCaller)
	case c.phase == reading:
		c.noteLocked(ClosedReadTimeout)
	default:
		c.noteLocked(ClosedIdle)
	}
}

// refuseUnread ends the reading of a request, which the server then refuses.
func (c *Conn) refuseUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == reading {
		c.noteLocked(ClosedStop)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection, whose read has already returned
	}
}

// setPhase sets the phase.
func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(p)
	switch p {
	case idle:
		c.idleSince = time.Now()
	case reading:
		c.responded = false
	default:
	}
}

// enter changes the phase. The caller holds mu.
func (c *Conn) enter(p phase) {
	c.phase = p
	c.setBusy(p != idle)
}

// setBusy sets whether the connection counts as busy. The caller holds mu.
func (c *Conn) setBusy(busy bool) {
	if c.closed || c.busy == busy {
		return
	}
	c.busy = busy
	if busy {
		c.server.busy.Add(1)
	} else {
		c.server.busy.Add(-1)
	}
}

// forgetSilent makes the connection no longer count as busy if nothing was received on it for a while.
func (c *Conn) forgetSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connected && !c.isBusyLocked() {
		c.setBusy(false)
	}
}

// isBusy reports whether a request is being read or handled, or may arrive any moment: the connection is
// new, or its last response has just ended, and did not tell the client that the connection ends.
func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isBusyLocked()
}

// endUnused ends the reading from the connection, unless it is busy, and reports whether it has done so.
func (c *Conn) endUnused(reason CloseReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusyLocked() {
		return false
	}
	c.ending = true
	c.noteLocked(reason)
	return true
}

// isBusyLocked is isBusy for callers that hold mu.
func (c *Conn) isBusyLocked() bool {
	wait := orDefault(c.server.RequestWait, requestWait)
	switch c.phase {
	case connected:
		return time.Since(c.acceptedAt) < wait
	case idle:
		return time.Since(c.idleSince) < wait
	default:
		return true
	}
}
