package server

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

var _ relayer.Handler = (*Server)(nil)

// HandleRequest implements relayer.Handler.
func (s *Server) HandleRequest(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply *relayer.Reply) error {
	switch m := m.(type) {
	case relayer.Ask:
		return s.serveForwarded(ctx, &m.Call, reply)
	case relayer.Commit:
		return reply.Send(commitResult(s.Claimer.CommitBatched(ctx, m.Txn)))
	case relayer.Fetch:
		data, ok := s.Watcher.Object(m.Key)
		if !ok {
			return storer.ErrNotFound
		}
		return reply.Send(relayer.Data{Data: data})
	case relayer.Inquire:
		active := s.Watcher.Active()
		if active == nil {
			return errors.New("no settings are in force here")
		}
		return reply.Send(relayer.Told{Head: active.Head})
	case relayer.Permit:
		return s.servePermit(ctx, m, reply)
	case relayer.Preload:
		return s.Driver.Preload(context.WithoutCancel(ctx), m.Runner, m.Adapter)
	case relayer.Yield:
		return reply.Send(s.releaseRunner(m))
	default:
		return errors.Errorf("%s does not open a conversation: %T", from.ID, m)
	}
}

// HandleHeartbeat implements relayer.Handler.
func (s *Server) HandleHeartbeat(from heartbeater.Instance, beat relayer.Beat) {
	now := time.Now()
	s.mu.Lock()
	s.Monitor.ObserveHeartbeat(from, now)
	s.peerHeartbeats[from.Incarnation] = relayer.Beat{Epoch: beat.Epoch, Revision: beat.Revision, Leaving: beat.Leaving}
	sameDomain := from.Domain == s.Config.Domain
	newerEpoch := false
	if sameDomain {
		s.Holder.ObserveAdopted(from.Incarnation, beat.Epoch)
		s.Sharer.Peer(from.Incarnation, beat.LoadQueue, now)
		newerEpoch = beat.Epoch > s.Holder.Epoch()
	} else {
		s.Sharer.Domain(from.Domain, beat.LoadQueue, now)
	}
	s.mu.Unlock()
	if sameDomain {
		s.Fleet.Apply(from.Incarnation, beat, now)
	}
	if newerEpoch {
		s.pollSoon()
	}
	if beat.Revision > s.Watcher.Revision() {
		go s.syncSettings(from.Address)
	}
}

// syncSettingsTimeout bounds a request for the settings to one peer.
const syncSettingsTimeout = 5 * time.Second

func (s *Server) syncSettings(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), syncSettingsTimeout)
	defer cancel()
	s.fetchSettings(ctx, address)
}

// serveForwarded serves a call that a peer forwarded, on the named runner or, if none
// is named, on any runner of this failure domain.
func (s *Server) serveForwarded(ctx context.Context, call *streamer.Call, reply *relayer.Reply) error {
	call.Deadline = time.Now().Add(call.TimeLeft)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.Runner == "" {
		return s.Dispatcher.Dispatch(ctx, call, replySink{reply})
	}
	return s.Driver.Serve(ctx, call, replySink{reply})
}

// releaseRunner answers the next owner's request to release a runner. Until this
// instance has adopted the roster epoch that reassigned the runner, it may still
// send orders to it, so it does not confirm the release.
func (s *Server) releaseRunner(m relayer.Yield) relayer.Surrendered {
	s.mu.Lock()
	adopted := s.Holder.Epoch() >= m.Epoch
	s.mu.Unlock()
	if !adopted {
		s.pollSoon()
		return relayer.Surrendered{}
	}
	handover, released := s.Driver.Handover(m.Runner)
	return relayer.Surrendered{Released: released, Pins: handover.Pins, Evicting: handover.Evicting}
}

// A replySink forwards a response to the instance that sent the call.
type replySink struct{ reply *relayer.Reply }

var _ streamer.Sink = replySink{}

// Data implements streamer.Sink.
func (r replySink) Data(data []byte) error { return r.reply.Send(relayer.Data{Data: data}) }

// Head implements streamer.Sink.
func (r replySink) Head(head streamer.Head) error { return r.reply.Send(relayer.Head{Head: head}) }

// Alive implements dispatcher.Peers.
func (s *Server) Alive(incarnation string) bool {
	if incarnation == s.Incarnation {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	health := s.Monitor.Health(incarnation, time.Now())
	return health == heartbeater.Live || health == heartbeater.Leaving
}

// Forward implements dispatcher.Peers.
func (s *Server) Forward(ctx context.Context, incarnation string, call *streamer.Call, sink streamer.Sink) error {
	address, ok := s.address(incarnation)
	if !ok {
		return judge.Refuse(judge.ReasonPeer, "instance %s is not known", incarnation)
	}
	call.TimeLeft = time.Until(call.Deadline)
	c, err := s.Mesh.Open(ctx, address, relayer.Ask{Call: *call})
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		m, err := c.Next(ctx)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case relayer.Head:
			err = sink.Head(m.Head)
		case relayer.Data:
			err = sink.Data(m.Data)
		case relayer.End:
			return nil
		default:
			err = errors.Errorf("unexpected answer %T", m)
		}
		if err != nil {
			return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCancelled, Message: err.Error()}
		}
	}
}

// RemotePeers implements dispatcher.Peers.
func (s *Server) RemotePeers() []string {
	var incarnations []string
	for _, i := range s.remotePeers(time.Now()) {
		incarnations = append(incarnations, i.Incarnation)
	}
	return incarnations
}

func (s *Server) address(incarnation string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.Monitor.Instance(incarnation, time.Now())
	return i.Address, ok
}

// FencingToken implements driver.Ownership.
func (s *Server) FencingToken(runner string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.MaySendOrders(runner, time.Now())
}

// Owns implements driver.Ownership.
func (s *Server) Owns(runner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.Owns(runner)
}

// MayOrder implements driver.Ownership. Orders may be sent under a valid lease. Without
// one they may be sent only if the table service has just failed to answer: no
// other instance can have taken over through it, and the adapters that this
// instance loaded under its own handles stay its own even if one did
// (docs/design/custody.md). A process that resumes after a pause meets neither
// condition and has to poll the table first.
func (s *Server) MayOrder(runner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.Holder.Owns(runner) {
		return false
	}
	if s.Holder.Valid(now) {
		return true
	}
	failed := s.tableFailedAt.Load()
	return failed != 0 && now.Sub(time.Unix(0, failed)) < 4*s.Config.Poll
}

// PreviousOwners implements driver.Ownership.
func (s *Server) PreviousOwners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.PreviousOwners()
}

// RequestRelease implements driver.Ownership.
func (s *Server) RequestRelease(ctx context.Context, owner, runner string) (keeper.Handover, bool) {
	s.mu.Lock()
	epoch := s.Holder.Epoch()
	_, onRoster := s.Holder.Roster().Member(owner)
	terminated := !onRoster && s.Monitor.Terminated(owner, time.Now())
	s.mu.Unlock()
	if terminated {
		return keeper.Handover{}, true
	}
	address, ok := s.address(owner)
	if !ok {
		return keeper.Handover{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, s.Config.Beat)
	defer cancel()
	c, err := s.Mesh.Open(ctx, address, relayer.Yield{Runner: runner, Epoch: epoch})
	if err != nil {
		return keeper.Handover{}, false
	}
	defer c.Close()
	m, err := c.Next(ctx)
	released, ok := m.(relayer.Surrendered)
	if err != nil || !ok || !released.Released {
		return keeper.Handover{}, false
	}
	return released.Handover(), true
}

// PeerAddresses returns the peer addresses of the other instances, those of this
// failure domain first.
func (s *Server) PeerAddresses() []string {
	now := time.Now()
	var addresses []string
	for _, i := range append(s.peers(now), s.remotePeers(now)...) {
		addresses = append(addresses, i.Address)
	}
	return addresses
}

// Gone reports whether the process of an incarnation has terminated.
func (s *Server) Gone(incarnation string) bool {
	if incarnation == s.Incarnation {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Monitor.Terminated(incarnation, time.Now())
}
