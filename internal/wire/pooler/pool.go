// Package pooler sends HTTP requests on keep-alive connections.
//
// A reused connection has two hazards that a fresh one does not have: the peer
// may be closing it while a request is written, and bytes of an earlier response
// may still arrive. So a connection is returned to the pool only after a
// response that was complete, it is checked before it is reused, and a response
// that names another request is skipped. A peer may send a response again, late,
// so a connection carries each request once: with a second send on it, a response
// that names the request could be that to either. Of the requests whose responses
// name none it carries only one, for the same reason.
package pooler

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/wire/counter"
)

// A Pool keeps idle connections by key. The key identifies the peer and not only
// its address, as another process may start to listen on that address. Its
// fields are set before use; it is safe for concurrent use.
type Pool struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // idle timeout, unless the peer announces a shorter one
	LocalIP     net.IP        // local address of connections; nil: chosen by the system

	mu       sync.Mutex
	idle     map[string][]*conn
	dialed   atomic.Int64
	open     atomic.Int64
	received counter.Traffic
	sent     counter.Traffic
}

// A peer that is partitioned or has lost power acknowledges nothing; without limits the kernel waits
// for minutes. A sound peer may be silent at the network level for 2 s and go on, and has to be asked
// again after that before its connection is dropped.
//
// Linux drops a connection with unacknowledged data userTimeout after its first retransmission. The
// retransmissions back off: sent after 0.2, 0.6, 1.4 and 3 s at the minimum of the retransmission time-out,
// which is what a fast network has, so that with 2 s a silence of 1.4 s ended a connection. At any
// initial time-out up to 0.8 s one is sent between 2 s and 5 s.
//
// While nothing is unacknowledged, Linux sends a keep-alive probe keepAliveIdle after the last segment
// received, and one each keepAliveInterval. If userTimeout is set it replaces the count of probes: the
// connection is dropped when a probe is due, one is unanswered and userTimeout has passed since the last
// segment. So four probes are sent, after 1, 2, 3 and 4 s, and a silence of 2 s swallows three at most.
const (
	userTimeout       = 5 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// bufferSize is the read buffer in bytes. It must hold the header of a response,
// which is long where engines add fields of their own.
const bufferSize = 8 << 10

// A conn is a connection that may be reused.
type conn struct {
	net.Conn
	address     string // that was dialed
	reader      *bufio.Reader
	lastUsed    time.Time
	idleTimeout time.Duration
	pool        *Pool
	written     int      // bytes of the current request
	carried     []uint64 // hashes of the IDs of the requests that were sent on it, the empty one included
	carriedHead bool     // one of them was a HEAD
	mu          sync.Mutex
	onClose     func() // called once
}

// maxCarried is how many requests a connection carries before it is closed, which bounds the memory of a
// connection: 8 KB, as much as its read buffer. One request in maxCarried needs a new connection for that.
const maxCarried = 1024

// hashSeed is the seed of the hashes of IDs. Two IDs with the same hash count as one, which only costs a
// connection.
var hashSeed = maphash.MakeSeed()

// mayCarry reports whether the connection may carry a request: a response to it could not be one to an
// earlier request.
func (c *conn) mayCarry(call Call) bool {
	return call.IDOf == nil || !slices.Contains(c.carried, maphash.String(hashSeed, call.ID))
}

// carry records that a request is sent on the connection.
func (c *conn) carry(call Call) {
	c.carriedHead = c.carriedHead || call.NoBody
	if call.IDOf != nil {
		c.carried = append(c.carried, maphash.String(hashSeed, call.ID))
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pool.received.Add(n)
	return n, err
}

// Write implements net.Conn and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.pool.sent.Add(n)
	c.mu.Lock()
	c.written += n
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// abort closes the connection and discards what has not been delivered: a request that was cancelled
// while its peer could not be reached must not arrive there seconds later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

func (c *conn) bytesWritten() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Dialed returns how many connections were established.
func (p *Pool) Dialed() int64 { return p.dialed.Load() }

// Open returns how many connections are open, idle ones and those in use.
func (p *Pool) Open() int { return int(p.open.Load()) }

// Received returns how many bytes were read from all connections so far, with the header of one packet for each read.
func (p *Pool) Received() int64 { return p.received.Bytes() }

// Sent returns how many bytes were written to all connections so far, with the header of one packet for each write.
func (p *Pool) Sent() int64 { return p.sent.Bytes() }

// ClosePeer closes the idle connections to a peer that was removed.
func (p *Pool) ClosePeer(key string) {
	p.mu.Lock()
	conns := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseUnusable closes the idle connections whose timeout has passed, that the peer has closed, or on which
// something was received: it belongs to no request, and the kernel holds it in memory.
func (p *Pool) CloseUnusable(now time.Time) {
	p.mu.Lock()
	var unusable []*conn
	for key, conns := range p.idle {
		usable := conns[:0]
		for _, c := range conns {
			if c.usable(now) {
				usable = append(usable, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		p.idle[key] = usable
		if len(usable) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Close()
	}
}

// get returns an idle connection that can be reused for a request, or nil. It closes
// those that cannot be reused at all. A peer may have moved: what listens at its former
// address now is not known.
func (p *Pool) get(call Call, now time.Time) *conn {
	for {
		c := p.take(call)
		if c == nil {
			return nil
		}
		if c.address == call.Address && c.usable(now) {
			c.written = 0
			return c
		}
		_ = c.Close()
	}
}

// take removes the idle connection from the pool that was used last, of those that
// may carry a request. It returns nil if there is none.
func (p *Pool) take(call Call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[call.PeerKey]
	for n := len(conns) - 1; n >= 0; n-- {
		if c := conns[n]; c.mayCarry(call) {
			p.idle[call.PeerKey] = slices.Delete(conns, n, n+1)
			return c
		}
	}
	return nil
}

// put adds a connection to the pool after a response.
func (p *Pool) put(key string, c *conn) {
	c.lastUsed = time.Now()
	p.keep(key, c)
}

// keep adds a connection to the pool.
func (p *Pool) keep(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepLocked(key, c)
}

// keepLocked is keep for callers that hold mu.
func (p *Pool) keepLocked(key string, c *conn) {
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[key] = append(p.idle[key], c)
}

// connect connects to a peer. If ctx ends meanwhile, the connection is completed for other requests to the
// peer. Were it given up, a process in which connecting takes longer than its callers wait would never have
// one.
func (p *Pool) connect(ctx context.Context, call Call, wait *patience) (*conn, error) {
	type result struct {
		conn *conn
		err  error
	}
	dialed := make(chan result, 1)
	go func() {
		c, err := p.dial(context.WithoutCancel(ctx), call.Address, wait)
		dialed <- result{c, err}
	}()
	select {
	case r := <-dialed:
		return r.conn, r.err
	case <-ctx.Done():
		go func() {
			if r := <-dialed; r.err == nil {
				p.keepSpare(call.PeerKey, r.conn)
			}
		}()
		return nil, context.Cause(ctx)
	}
}

// keepSpare adds a connection that no request waits for to the pool, unless there is another one to the peer.
func (p *Pool) keepSpare(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) > 0 {
		_ = c.Close()
		return
	}
	p.keepLocked(key, c)
}

// dial connects to a peer within DialTimeout. wait is also told of the socket.
func (p *Pool) dial(ctx context.Context, address string, wait *patience) (*conn, error) {
	ctx, own := withPatience(ctx, p.DialTimeout)
	defer own.stop()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int((userTimeout - keepAliveIdle) / keepAliveInterval)},
		Control: func(_, _ string, raw syscall.RawConn) error {
			own.awaitConnected(raw)
			wait.awaitConnected(raw)
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	if p.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.LocalIP}
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.dialed.Add(1)
	p.open.Add(1)
	established := &conn{
		Conn: c, address: address, lastUsed: time.Now(), idleTimeout: p.IdleTimeout,
		pool: p, onClose: sync.OnceFunc(func() { p.open.Add(-1) }),
	}
	established.reader = bufio.NewReaderSize(established, bufferSize)
	return established, nil
}

// usable reports whether the timeout of an idle connection has not passed, it is open, and no data has arrived since
// its last response. Such data belongs to no request of this pool.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.lastUsed) < c.idleTimeout && c.silent()
}

// silent reports whether the connection is open and no data has arrived on it that has not been read.
func (c *conn) silent() bool {
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
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
