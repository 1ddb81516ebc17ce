package server

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// pollSettings reads the head of the settings from the table service.
func (s *Server) pollSettings(ctx context.Context) {
	row, err := s.Table.Get(ctx, publisher.KeyHead)
	if err != nil || row.Version == 0 {
		s.declareUpstreams()
		return
	}
	var head publisher.Head
	if err := encoder.Unmarshal(row.Value, &head); err != nil {
		s.warnUndecodable("settings head", err)
		return
	}
	s.offerSettings(ctx, head)
	s.declareUpstreams()
}

func (s *Server) offerSettings(ctx context.Context, head publisher.Head) {
	applied, err := s.Watcher.Offer(ctx, head)
	if err != nil {
		s.countReason("sardinetiller_settings_failures_total", "offer")
		_ = level.Warn(s.Logger).Log("msg", "settings not applied", "revision", head.Revision, "err", err)
		return
	}
	if applied {
		_ = level.Info(s.Logger).Log("msg", "settings in force", "revision", head.Revision)
	}
}

// declareUpstreams passes the upstreams of the settings in force to the driver and the
// fleet, and the names of the runners to Holder, which proposes the roster. The driver
// calls this server while it holds its own lock, so it must not be called under the
// server's.
func (s *Server) declareUpstreams() {
	active := s.Watcher.Active()
	if active == nil {
		return
	}
	r := active.Resolver
	values := r.Values("", "", "", "")
	s.Driver.Declare(r.Services(), values.Queue, values.Share)
	if s.declaredRevision.Swap(active.Head.Revision) == active.Head.Revision {
		return
	}
	s.Fleet.Declare(r.Services())
	names := s.Driver.Names()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Holder.SetRunners(names)
}

// updateShare sets the driver's share of the weight store's rate.
func (s *Server) updateShare(now time.Time) {
	active := s.Watcher.Active()
	if active == nil {
		return
	}
	queued := s.Driver.LoadQueueLen()
	shares := make(map[string]float64)
	total := 0.0
	for _, service := range active.Resolver.Services() {
		for _, u := range service.Upstreams {
			if service.Type == parser.TypeEngine {
				shares[u.Domain]++
				total++
			}
		}
	}
	delete(shares, s.Config.Domain)
	for domain := range shares {
		shares[domain] /= total
	}
	s.mu.Lock()
	own := loader.Allotment{Fixed: float64(len(s.Holder.Owned())) / max(1, total), QueueLength: queued}
	share := s.Sharer.Share(own, shares, now)
	s.mu.Unlock()
	s.Driver.SetShare(active.Resolver.Weights(), share)
}

// fetchSettings fetches the head of the settings from a peer. A failure domain that is
// partitioned from the platform, but not from other domains, gets a later revision
// this way.
func (s *Server) fetchSettings(ctx context.Context, address string) {
	c, err := s.Mesh.Open(ctx, address, relayer.Inquire{})
	if err != nil {
		return
	}
	defer c.Close()
	response, err := c.Next(ctx)
	if settings, ok := response.(relayer.Told); ok && err == nil {
		s.offerSettings(ctx, settings.Head)
		s.declareUpstreams()
	}
}

// A ChainStore reads objects from the platform and, if that fails, from peers.
type ChainStore struct {
	Peers func() []string // addresses
	Mesh  *relayer.Mesh
	Store storer.Store
}

var _ storer.Store = (*ChainStore)(nil)

// Get implements storer.Store.
func (c *ChainStore) Get(ctx context.Context, key string) ([]byte, error) {
	data, err := c.Store.Get(ctx, key)
	if err == nil {
		return data, nil
	}
	for _, address := range c.Peers() {
		if data, ok := c.fetch(ctx, address, key); ok {
			return data, nil
		}
	}
	return nil, err
}

// Put implements storer.Store.
func (c *ChainStore) Put(ctx context.Context, key string, data []byte) error {
	return c.Store.Put(ctx, key, data)
}

// objectTimeout bounds a request for an object to one peer, which answers from memory
// within milliseconds. Links to other failure domains are not checked for
// unresponsive peers, and the loop that sends the request renews the lease as well:
// without the limit one unresponsive peer made an instance keep its old settings and
// lose its runners.
const objectTimeout = time.Second

func (c *ChainStore) fetch(ctx context.Context, address, key string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	conversation, err := c.Mesh.Open(ctx, address, relayer.Fetch{Key: key})
	if err != nil {
		return nil, false
	}
	defer conversation.Close()
	response, err := conversation.Next(ctx)
	if ctx.Err() != nil {
		c.Mesh.CloseLink(address) // the next request opens a new link
	}
	data, ok := response.(relayer.Data)
	return data.Data, ok && err == nil
}
