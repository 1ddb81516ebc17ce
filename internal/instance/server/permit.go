package server

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/driver"
)

var _ driver.Permits = (*Server)(nil)

// permitAllocator is the load permit allocator of the deployment. It is used only while
// this instance is the one that grants permits, and is guarded by the server's lock.
type permitAllocator struct {
	loader.Allocator

	pending map[uint64]chan struct{} // by request ID; closed when the permit is granted
	lastID  uint64
}

// permitLifetimeLoads is the lifetime of a permit in multiples of the expected load time.
const permitLifetimeLoads = 5

// Acquire implements driver.Permits.
func (s *Server) Acquire(ctx context.Context, value float64) (release func(), ok bool) {
	request, limited := s.permitRequest(value)
	if !limited {
		return func() {}, true
	}
	address, remote := s.allocatorAddress(time.Now())
	if !remote {
		return s.acquireLocal(ctx, request), true
	}
	c, err := s.Mesh.Open(ctx, address, request)
	if err != nil {
		return nil, false
	}
	m, err := c.Next(ctx)
	if _, granted := m.(relayer.Granted); err != nil || !granted {
		c.Close()
		return nil, ctx.Err() != nil // still queued, or the allocator has failed
	}
	return c.Close, true
}

// permitRequest returns a permit request with the limits of the settings in force, or
// false if there are none.
func (s *Server) permitRequest(value float64) (relayer.Permit, bool) {
	active := s.Watcher.Active()
	if active == nil {
		return relayer.Permit{}, false
	}
	w := active.Resolver.Weights()
	if w.Rate <= 0 {
		return relayer.Permit{}, false
	}
	concurrent := max(1, w.Together)
	loadTime := time.Duration(float64(concurrent) / w.Rate * float64(time.Second))
	return relayer.Permit{Value: value, MaxConcurrent: concurrent, TTL: permitLifetimeLoads*loadTime + s.Config.Beat}, true
}

// allocatorAddress returns the address of the instance that grants permits, or false if
// that is this instance. It is the first by ID that is neither suspect nor draining.
func (s *Server) allocatorAddress(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.Monitor.Instances(now) {
		switch {
		case i.Incarnation == s.Incarnation:
			return "", false
		case i.Leaving || s.Monitor.Health(i.Incarnation, now) == heartbeater.Suspect:
			continue
		}
		return i.Address, true
	}
	return "", false
}

// acquireLocal waits for a permit of the local allocator. It returns nil if ctx ends
// first.
func (s *Server) acquireLocal(ctx context.Context, request relayer.Permit) func() {
	id, granted := s.enqueuePermit(request)
	select {
	case <-granted:
		return func() { s.releasePermit(id) }
	case <-ctx.Done():
		s.releasePermit(id)
		return nil
	}
}

// servePermit grants a permit to a peer for as long as its conversation is open.
func (s *Server) servePermit(ctx context.Context, request relayer.Permit, reply *relayer.Reply) error {
	release := s.acquireLocal(ctx, request)
	if release == nil {
		return ctx.Err()
	}
	defer release()
	if err := reply.Send(relayer.Granted{}); err != nil {
		return err
	}
	<-ctx.Done() // the peer closes the conversation, or its link fails
	return nil
}

func (s *Server) enqueuePermit(request relayer.Permit) (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.permits
	if p.pending == nil {
		p.pending = make(map[uint64]chan struct{})
	}
	p.MaxConcurrent = request.MaxConcurrent
	p.PermitTTL = request.TTL
	p.lastID++
	p.pending[p.lastID] = make(chan struct{})
	granted := p.pending[p.lastID]
	p.Bid(p.lastID, request.Value, time.Now())
	s.grantPermits()
	return p.lastID, granted
}

func (s *Server) releasePermit(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Done(id)
	delete(s.permits.pending, id)
	s.grantPermits()
}

// grantPermits signals the permit requests that are granted now.
func (s *Server) grantPermits() {
	for _, id := range s.permits.Grant(time.Now()) {
		close(s.permits.pending[id])
		delete(s.permits.pending, id)
	}
}

// grantFreedPermits grants the permits that were freed by the expiry of others.
func (s *Server) grantFreedPermits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantPermits()
}
