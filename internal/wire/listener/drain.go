package listener

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// drainInterval is how often a draining server looks whether connections are in use.
	drainInterval = 5 * time.Millisecond
	// refuseTime is how long before the end of its time a draining server refuses the requests that have
	// not been read whole.
	refuseTime = 100 * time.Millisecond
)

// Drain stops listening, waits until each request has been answered of which a part has arrived, at most
// until the deadline, and closes all connections. Unlike with the shutdown of fasthttp, the connections
// that were queued at the listener are served, and no connection on which a request arrives is closed.
// Requests that are still being read shortly before the deadline are passed to HandleError.
func (s *Server) Drain(deadline time.Time) {
	s.init()
	s.acceptor.stop()
	for (s.isBusy() || !s.CloseUnused(ClosedStop)) && time.Now().Before(deadline) {
		if time.Until(deadline) < refuseTime {
			for _, c := range s.connections() {
				c.refuseUnread()
			}
		}
		time.Sleep(drainInterval)
	}
	for _, c := range s.connections() {
		c.note(ClosedStop)
		_ = c.closeNow()
	}
}

// CloseUnused closes the connections that are not busy, and reports whether none is left. A request may
// arrive on one of them meanwhile: its connection stays open.
func (s *Server) CloseUnused(reason CloseReason) bool {
	all := true
	for _, c := range s.connections() {
		if c.endUnused(reason) {
			_ = c.closeNow()
		} else {
			all = false
		}
	}
	return all
}

// connections returns the open connections.
func (s *Server) connections() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) isBusy() bool {
	return slices.ContainsFunc(s.connections(), (*Conn).isBusy)
}

// track returns an accepted connection.
func (s *Server) track(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, server: s, acceptedAt: time.Now(), busy: true}
	s.busy.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*Conn]struct{})
	}
	s.conns[c] = struct{}{}
	return c
}

// untrack forgets a connection and reports whether it was open.
func (s *Server) untrack(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.conns[c]
	delete(s.conns, c)
	return open
}

// handle handles a request that has been read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*Conn); ok {
		c.setPhase(handling)
	}
	s.Handler(ctx)
}

// observe follows what a connection is used for.
func (s *Server) observe(accepted net.Conn, state fasthttp.ConnState) {
	c, ok := accepted.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive: // also where the start of the request was read with the one before
		c.setPhase(reading)
	case fasthttp.StateIdle:
		c.setPhase(idle)
	default:
	}
}
