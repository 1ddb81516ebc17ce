package server

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/lister"
)

// A linkState records what was sent on one link, so that a heartbeat carries only
// changes.
type linkState struct {
	identity    any // of the link; a new link is sent the full state
	sentLoads   map[int]relayer.Load
	sentVersion uint64
}

// maxCheckDelay is the number of heartbeat intervals without a check for
// unresponsive peers after which this instance considers itself to have stalled.
const maxCheckDelay = 2

// changeInterval is how often changes of residency are published between two heartbeats.
const changeInterval = 50 * time.Millisecond

// heartbeatLoop publishes changes to the peers of the failure domain: at once when
// residency or the adopted roster epoch changed, and with each heartbeat
// otherwise. The epoch is urgent because a new owner of a runner waits until all
// the others have adopted it.
func (s *Server) heartbeatLoop(ctx context.Context) {
	var sentVersion, sentEpoch uint64
	var lastHeartbeat time.Time
	repeater.EveryNow(ctx, min(changeInterval, s.Config.Beat), nil, func() {
		now := time.Now()
		_, states, version := s.Driver.Loads(sentVersion)
		epoch := s.epoch()
		due := now.Sub(lastHeartbeat) >= s.Config.Beat
		if !due && len(states) == 0 && epoch == sentEpoch {
			return
		}
		sentVersion = version
		sentEpoch = epoch
		s.sendHeartbeats(ctx, now)
		if due {
			lastHeartbeat = now
			s.closeUnresponsive(now)
		}
	})
}

// sendHeartbeats sends a heartbeat to every peer of the failure domain, and one without
// loads and residency to one instance of each other domain. Of the latter only the
// revision of the settings spreads further, as the instances there adopt it.
func (s *Server) sendHeartbeats(ctx context.Context, now time.Time) {
	loads, states, version := s.Driver.Loads(0)
	s.Fleet.Apply(s.Incarnation, relayer.Beat{Loads: loads, States: states}, now)
	base := s.baseHeartbeat()
	for _, peer := range s.peers(now) {
		go s.sendHeartbeat(ctx, peer, base, loads, version)
	}
	remote := base
	s.mu.Lock()
	remote.LoadQueue = s.Sharer.QueueLength(remote.LoadQueue, now)
	s.mu.Unlock()
	for _, peer := range s.remotePeers(now) {
		go func() { _ = s.Mesh.Send(ctx, peer.Address, remote) }() // retried with the next heartbeat
	}
	s.sendCrashReports(ctx, now)
	if s.Watcher.Active() == nil {
		s.contactSeeds(ctx, base)
	}
}

// contactSeeds sends a heartbeat to the configured seeds. An instance that starts while
// the platform is unavailable has no instance list and would find no peers; a seed that
// receives its heartbeat answers with its own, which carry the revision of the settings
// in force.
func (s *Server) contactSeeds(ctx context.Context, base relayer.Beat) {
	for _, address := range s.Config.Seeds {
		go func() { _ = s.Mesh.Send(ctx, address, base) }() // retried with the next heartbeat
	}
}

func (s *Server) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.Epoch()
}

// baseHeartbeat returns a heartbeat without the state of runners.
func (s *Server) baseHeartbeat() relayer.Beat {
	queued := s.Driver.LoadQueueLen()
	s.mu.Lock()
	defer s.mu.Unlock()
	return relayer.Beat{Epoch: s.Holder.Epoch(), Revision: s.Watcher.Revision(), Leaving: s.stop.leaving(), LoadQueue: queued}
}

// sendHeartbeat sends a heartbeat with the changes since the last one on the same link.
func (s *Server) sendHeartbeat(ctx context.Context, peer heartbeater.Instance, beat relayer.Beat, loads []relayer.Load, version uint64) {
	identity, linked := s.Mesh.Linked(peer.Address)
	state := s.linkState(peer.Address, identity)
	_, beat.States, _ = s.Driver.Loads(state.sentVersion)
	for _, l := range loads {
		if state.sentLoads[l.Number] != l {
			beat.Loads = append(beat.Loads, l)
		}
	}
	if err := s.Mesh.Send(ctx, peer.Address, beat); err != nil {
		s.countReason("sardinetiller_link_failures_total", "tell")
		_ = level.Debug(s.Logger).Log("msg", "peer not reached", "peer", peer.ID, "err", err)
		return
	}
	if !linked {
		return // the next heartbeat sends the full state on a link that this one opened
	}
	next := linkState{identity: identity, sentLoads: make(map[int]relayer.Load), sentVersion: version}
	for _, l := range loads {
		next.sentLoads[l.Number] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkStates[peer.Address] = next
}

// linkState returns what was sent on a link, the zero value if the link is new.
func (s *Server) linkState(address string, identity any) linkState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.linkStates[address]; state.identity == identity {
		return state
	}
	return linkState{}
}

// closeUnresponsive closes the links to unresponsive peers, so that no request waits on
// them. An instance that was stalled itself has not yet read the heartbeats that
// arrived meanwhile and would consider its peers unresponsive, so it skips the
// check until the next heartbeat.
func (s *Server) closeUnresponsive(now time.Time) {
	stalled := now.Sub(s.unresponsiveChecked) > maxCheckDelay*s.Config.Beat
	s.unresponsiveChecked = now
	if stalled {
		return
	}
	s.mu.Lock()
	var unresponsive []string
	for _, i := range s.Monitor.Instances(now) {
		if i.Domain == s.Config.Domain && s.Monitor.Health(i.Incarnation, now) == heartbeater.Suspect {
			unresponsive = append(unresponsive, i.Address)
		}
	}
	s.mu.Unlock()
	for _, address := range unresponsive {
		s.Mesh.CloseIdleLink(address, s.Monitor.SuspectAfter, now)
	}
}

// announce reports to the platform that this instance runs or, if stopped is true, that
// it has stopped.
func (s *Server) announce(ctx context.Context, stopped bool) error {
	return s.Lister.Announce(ctx, lister.Announcement{Instance: s.Self(), Process: os.Getpid(), Stopped: stopped})
}

// listLoop announces this instance and reads the platform's instance list.
func (s *Server) listLoop(ctx context.Context) {
	repeater.EveryNow(ctx, s.Config.Poll, nil, func() {
		if err := s.announce(ctx, false); err != nil {
			s.countReason("sardinetiller_platform_failures_total", "list")
			return
		}
		instances, err := s.Lister.List(ctx)
		if err != nil {
			s.countReason("sardinetiller_platform_failures_total", "list")
			return
		}
		s.mu.Lock()
		s.Monitor.ObserveList(instances, time.Now())
		s.mu.Unlock()
	})
}

// peers returns the other instances of the failure domain.
func (s *Server) peers(now time.Time) []heartbeater.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.Monitor.Instances(now), func(i heartbeater.Instance) bool {
		return i.Domain != s.Config.Domain || i.Incarnation == s.Incarnation
	})
}

// remotePeers returns one instance of each other failure domain, none that is known
// to be draining. The choice follows from this instance's index in the list, so
// that instances spread over those of the other domains.
func (s *Server) remotePeers(now time.Time) []heartbeater.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.Monitor.Instances(now)
	index := slices.IndexFunc(all, func(i heartbeater.Instance) bool { return i.Incarnation == s.Incarnation })
	byDomain := make(map[string][]heartbeater.Instance)
	var domains []string
	for _, i := range all {
		if i.Domain == s.Config.Domain || s.Monitor.Health(i.Incarnation, now) == heartbeater.Leaving || i.Leaving {
			continue
		}
		if len(byDomain[i.Domain]) == 0 {
			domains = append(domains, i.Domain)
		}
		byDomain[i.Domain] = append(byDomain[i.Domain], i)
	}
	var chosen []heartbeater.Instance
	for _, d := range domains {
		chosen = append(chosen, byDomain[d][max(0, index)%len(byDomain[d])])
	}
	return chosen
}
