package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cases holds the cases by name. Each returns how the rule was broken; empty if it held.
var cases = map[string]func(p *platform, trouble bool) string{"slow-readers": slowReaders}

// A client keeps connections to one instance open.
type client struct {
	platform *platform
	gates    []*gate
	next     *atomic.Int64

	mu   sync.Mutex
	idle map[*gate][]*kept
}

// A kept is a connection that a client keeps.
type kept struct {
	net.Conn
	reader *bufio.Reader
	uses   int
}

func (c *client) take(g *gate) (*kept, error) {
	c.mu.Lock()
	if conns := c.idle[g]; len(conns) > 0 {
		k := conns[0]
		c.idle[g] = conns[1:]
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) put(g *gate, k *kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[*gate][]*kept)
	}
	c.idle[g] = append(c.idle[g], k)
}

// do sends a request on a kept connection to an instance. kept reports whether the connection had been used before.
func (c *client) do(g *gate, method, path string, body []byte, headers ...string) (id string, a answer, used bool) {
	id = fmt.Sprintf("%016x", c.next.Add(1))
	k, err := c.take(g)
	if err != nil {
		return id, answer{err: err}, false
	}
	used = k.uses > 0
	k.uses++
	_ = k.SetDeadline(time.Now().Add(14 * time.Second))
	a = c.platform.ask(k, k.reader, id, method, path, body, headers...)
	if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
		_ = k.Close()
		return id, a, used
	}
	_ = k.SetDeadline(time.Time{})
	c.put(g, k)
	return id, a, used
}
