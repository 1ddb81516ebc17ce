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

// A linkState is what was told on one link, so that a beat carries only what
// changed.
type linkState struct {
	identity any // of the link; a new link is told everything
	loads    map[int]relayer.Load
	version  uint64
}

// heldUpBeats is how many beats after the last look for silent peers an instance
// counts as held up.
const heldUpBeats = 2

// changeEvery is how soon a change of residency is told between two beats.
const changeEvery = 50 * time.Millisecond

// beatLoop tells the peers of the domain what changed: at once when what is
// resident or the adopted roster changed, and with each beat otherwise. A new
// owner waits for the adoption of all the others.
func (s *Server) beatLoop(ctx context.Context) {
	var told, toldEpoch uint64
	var last time.Time
	repeater.Now(ctx, min(changeEvery, s.Config.Beat), nil, func() {
		now := time.Now()
		_, states, version := s.Driver.Loads(told)
		epoch := s.epoch()
		due := now.Sub(last) >= s.Config.Beat
		if !due && len(states) == 0 && epoch == toldEpoch {
			return
		}
		told = version
		toldEpoch = epoch
		s.beat(ctx, now)
		if due {
			last = now
			s.cutSilent(now)
		}
	})
}

// beat tells every peer of the domain, and one instance of each other domain,
// which passes on only the revision of the settings.
func (s *Server) beat(ctx context.Context, now time.Time) {
	loads, states, version := s.Driver.Loads(0)
	s.Fleet.Hear(s.Incarnation, relayer.Beat{Loads: loads, States: states}, now)
	bare := s.bare()
	for _, peer := range s.peers(now) {
		go s.tell(ctx, peer, bare, loads, version)
	}
	away := bare
	s.mu.Lock()
	away.Line = s.Sharer.Total(away.Line, now)
	s.mu.Unlock()
	for _, peer := range s.neighbours(now) {
		go func() { _ = s.Mesh.Tell(ctx, peer.Address, away) }() // the next beat tries again
	}
	s.tellCrashes(ctx, now)
	if s.Watcher.Force() == nil {
		s.seed(ctx, bare)
	}
}

// seed makes this instance known to the seeds of its settings. One that starts
// while the platform is away has no list and would find nobody; a seed that
// hears it answers with its own heartbeats, which tell the settings in force.
func (s *Server) seed(ctx context.Context, bare relayer.Beat) {
	for _, address := range s.Config.Seeds {
		go func() { _ = s.Mesh.Tell(ctx, address, bare) }() // the next beat tries again
	}
}

func (s *Server) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.Epoch()
}

// bare returns a beat without runners.
func (s *Server) bare() relayer.Beat {
	line := s.Driver.Line()
	s.mu.Lock()
	defer s.mu.Unlock()
	return relayer.Beat{Epoch: s.Holder.Epoch(), Revision: s.Watcher.Revision(), Leaving: s.stop.leaving(), Line: line}
}

// tell sends one peer a beat with what changed since the last one on the link.
func (s *Server) tell(ctx context.Context, peer heartbeater.Instance, beat relayer.Beat, loads []relayer.Load, version uint64) {
	identity, linked := s.Mesh.Linked(peer.Address)
	state := s.linkState(peer.Address, identity)
	_, beat.States, _ = s.Driver.Loads(state.version)
	for _, l := range loads {
		if state.loads[l.Number] != l {
			beat.Loads = append(beat.Loads, l)
		}
	}
	if err := s.Mesh.Tell(ctx, peer.Address, beat); err != nil {
		s.count("sardinetiller_link_failures_total", "tell")
		_ = level.Debug(s.Logger).Log("msg", "peer not reached", "peer", peer.ID, "err", err)
		return
	}
	if !linked {
		return // a link that this beat made is told everything by the next one
	}
	next := linkState{identity: identity, loads: make(map[int]relayer.Load), version: version}
	for _, l := range loads {
		next.loads[l.Number] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[peer.Address] = next
}

// linkState returns what was told on a link, nothing if the link is new.
func (s *Server) linkState(address string, identity any) linkState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.links[address]; state.identity == identity {
		return state
	}
	return linkState{}
}

// cutSilent ends the links to peers that have fallen silent, so that nobody
// waits on them. An instance that was itself held up has not read yet what its peers
// said meanwhile, and takes them for silent: it looks again with the next beat.
func (s *Server) cutSilent(now time.Time) {
	heldUp := now.Sub(s.looked) > heldUpBeats*s.Config.Beat
	s.looked = now
	if heldUp {
		return
	}
	s.mu.Lock()
	var silent []string
	for _, i := range s.Monitor.Instances(now) {
		if i.Domain == s.Config.Domain && s.Monitor.Health(i.Incarnation, now) == heartbeater.Suspect {
			silent = append(silent, i.Address)
		}
	}
	s.mu.Unlock()
	for _, address := range silent {
		s.Mesh.CutSilent(address, s.Monitor.Silence, now)
	}
}

// announce tells the platform of this instance.
func (s *Server) announce(ctx context.Context, ended bool) error {
	return s.Lister.Announce(ctx, lister.Announcement{Instance: s.Self(), Process: os.Getpid(), Ended: ended})
}

// listLoop announces this instance and reads the platform's list.
func (s *Server) listLoop(ctx context.Context) {
	repeater.Now(ctx, s.Config.Poll, nil, func() {
		if err := s.announce(ctx, false); err != nil {
			s.count("sardinetiller_platform_failures_total", "list")
			return
		}
		instances, err := s.Lister.List(ctx)
		if err != nil {
			s.count("sardinetiller_platform_failures_total", "list")
			return
		}
		s.mu.Lock()
		s.Monitor.List(instances, time.Now())
		s.mu.Unlock()
	})
}

// peers returns the other instances of the domain.
func (s *Server) peers(now time.Time) []heartbeater.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.Monitor.Instances(now), func(i heartbeater.Instance) bool {
		return i.Domain != s.Config.Domain || i.Incarnation == s.Incarnation
	})
}

// neighbours returns one instance of each other domain that is not known to be
// leaving. Instances spread over them by their place in their own domain.
func (s *Server) neighbours(now time.Time) []heartbeater.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.Monitor.Instances(now)
	place := slices.IndexFunc(all, func(i heartbeater.Instance) bool { return i.Incarnation == s.Incarnation })
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
		chosen = append(chosen, byDomain[d][max(0, place)%len(byDomain[d])])
	}
	return chosen
}
