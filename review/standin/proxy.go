//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A proxy forwards TCP connections to a target, and can cut off clients.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	// identify finds out who a client is by the first bytes that it sends; empty if they do not show
	// it yet. Nil: its IP address says so.
	identify func(sent []byte) string

	mu    sync.Mutex
	cuts  map[string]cutKind // by client
	conns map[*proxied]bool
}

// A cutKind is how connections fail.
type cutKind int

const (
	cutNone   cutKind = iota
	cutResets         // open connections are reset, new ones too
	cutSilent         // nothing passes, nothing is closed
)

type proxied struct {
	client, target net.Conn
	source         string // who the client is; guarded by the proxy's mutex
	sent           []byte // first bytes of the client, until they say who it is
}

// sniffLimit is the number of bytes by which a client is identified.
const sniffLimit = 4 << 10

// observe looks at bytes that a client has sent, to find out who it is.
func (p *proxy) observe(c *proxied, sent []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.identify == nil || c.source != "" || len(c.sent) > sniffLimit {
		return
	}
	c.sent = append(c.sent, sent...)
	c.source = p.identify(c.sent)
}

// cutOfConn returns how a connection fails.
func (p *proxy) cutOfConn(c *proxied) cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[c.source]
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, cuts: make(map[string]cutKind), conns: make(map[*proxied]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.handle(c)
		}
	}()
	return p, nil
}

// cut cuts off a client, or ends that.
func (p *proxy) cut(source string, kind cutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[source] = kind
	if kind != cutResets {
		return
	}
	for c := range p.conns {
		if c.source == source {
			c.reset()
		}
	}
}

func (p *proxy) cutOf(source string) cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[source]
}

func (c *proxied) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) handle(client net.Conn) {
	address, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	source := address
	if p.identify != nil {
		source = ""
	}
	if p.cutOf(source) == cutResets {
		(&proxied{client: client, target: client}).reset()
		return
	}
	for p.cutOf(source) == cutSilent {
		time.Sleep(5 * time.Millisecond)
	}
	// The target sees the address of the client.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	target, err := dialer.Dial("tcp", p.target)
	if err != nil {
		(&proxied{client: client, target: client}).reset()
		return
	}
	c := &proxied{client: client, target: target, source: source}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, target, client, func(sent []byte) { p.observe(c, sent) }) })
	copies.Go(func() { p.copy(c, client, target, func([]byte) {}) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = client.Close()
	_ = target.Close()
}

// copy copies data in one direction. A reset is passed on as a reset.
func (p *proxy) copy(c *proxied, to, from net.Conn, observe func(sent []byte)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		observe(buffer[:n])
		for p.cutOfConn(c) == cutSilent {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		default:
			c.reset()
			return
		}
	}
}
