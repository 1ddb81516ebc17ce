// Package pooler sends requests on connections that are kept for further ones.
//
// A kept connection brings two dangers that a fresh one has not: the other side
// may be closing it while a request is written, and bytes of an earlier answer
// may still come. So a connection goes back only after an answer that ended
// where it said, it is checked before its next use, and an answer that does not
// name its request is never taken for the answer to it.
package pooler

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Pool keeps connections by a key, which is the peer and not only its
// address: an address may come to belong to another process. Its fields are set
// before use; it is safe for concurrent use.
type Pool struct {
	Dial time.Duration // bound on connecting
	Idle time.Duration // that a connection may stay unused, unless its peer says less

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed atomic.Int64
}

// unacknowledged is how long sent bytes may stay without an acknowledgement. A
// peer that was cut off or has lost its power answers nothing; without a bound
// the kernel tries for minutes.
const unacknowledged = 2 * time.Second

// userTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const userTimeout = 0x12

// bufferSize holds the head of an answer, which may be long where engines add
// fields of their own. Bytes.
const bufferSize = 8 << 10

// A conn is a connection that may be kept.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	since   time.Time // last use
	limit   time.Duration
	written int
	mu      sync.Mutex
}

// Write implements net.Conn and counts what the kernel took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.written += n
	c.mu.Unlock()
	return n, err
}

func (c *conn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Dialed returns how many connections were made.
func (p *Pool) Dialed() int64 { return p.dialed.Load() }

// Drop closes the unused connections of a peer that is gone.
func (p *Pool) Drop(key string) {
	p.mu.Lock()
	conns := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Sweep closes the connections that have been unused for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.since) < c.limit {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// get returns a kept connection that is fit for use, or nil.
func (p *Pool) get(key string, now time.Time) *conn {
	for {
		p.mu.Lock()
		conns := p.idle[key]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[key] = conns[:len(conns)-1]
		p.mu.Unlock()
		if now.Sub(c.since) < c.limit && c.quiet() {
			c.written = 0
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(key string, c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[key] = append(p.idle[key], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.Dial,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unacknowledged, Interval: unacknowledged / 2, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.dialed.Add(1)
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferSize), limit: p.Idle}, nil
}

// quiet reports whether the connection is open and nothing has come on it since
// its last answer. What came belongs to no request of ours.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = errno == syscall.EAGAIN
		return true
	})
	return err == nil && waits
}
