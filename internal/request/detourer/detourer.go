// Package detourer chooses the peer that serves the requests of an instance that is
// partitioned from the runners.
//
// It knows the other instances, asks for the status of a few of them while there is a
// partition, and chooses among those that reach the runners by their load.
package detourer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// StatusInterval is the interval between two statuses of a watched peer.
const StatusInterval = 150 * time.Millisecond

// LostAfter is the silence after which a watched peer is lost.
const LostAfter = 4 * StatusInterval

const (
	// targetPeers is how many usable peers are watched at a time. The load of a partitioned
	// instance is spread over them.
	targetPeers = 4
	// statusMaxAge is the age up to which a status is used.
	statusMaxAge = 3 * StatusInterval
	// answerTimeout is how long a peer that is newly watched may take to send its first status.
	answerTimeout = 300 * time.Millisecond
	// unusablePause is how long a peer that cannot serve the requests either is not watched, and
	// lostPause how long one whose link failed is not.
	unusablePause = 300 * time.Millisecond
	lostPause     = 200 * time.Millisecond
	// aloneFor is for how long peers that did not answer show that none does, where no further one is asked.
	aloneFor = 2 * time.Second
	// otherDomainCost is how much busier a peer in this instance's own failure domain must be
	// for one in another domain to be chosen: traffic between domains is billed.
	otherDomainCost = 2
)

// A Peer is another instance.
type Peer struct {
	ID      string
	Address string
	Domain  string
}

// A Status is what a peer states about itself.
type Status struct {
	Active    int      // requests in progress
	Stopping  bool     // it accepts no further requests
	Unreached []string // services whose runners it does not reach, or not well
}

// A Detourer chooses peers. Its exported fields are set before use; it is safe for concurrent
// use.
type Detourer struct {
	Domain string // failure domain of this instance
	Self   string // ID of this instance

	mu     sync.Mutex
	peers  map[string]*peer // by ID
	lost   int              // peers that did not answer since one did
	lostAt time.Time        // when the last of them did not
}

// A peer is the state of one peer.
type peer struct {
	Peer

	gone         bool // no longer listed
	outstanding  int  // requests of this instance in progress there
	status       Status
	statusAt     time.Time // when the last status was received; zero if it is not watched
	watchedSince time.Time // zero if it is not watched
	pausedUntil  time.Time
}

// SetPeers sets the known instances. Those that are gone are no longer chosen, but are known
// until the requests there have ended.
func (d *Detourer) SetPeers(all []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make(map[string]*peer, len(all))
	for _, p := range all {
		if p.ID == d.Self {
			continue
		}
		known, ok := d.peers[p.ID]
		if !ok || known.Address != p.Address {
			known = &peer{}
		}
		known.Peer, known.gone = p, false
		peers[p.ID] = known
	}
	for id, p := range d.peers {
		if _, ok := peers[id]; !ok && p.outstanding > 0 {
			p.gone = true
			peers[id] = p
		}
	}
	d.peers = peers
}

// Due returns the peers to begin watching.
func (d *Detourer) Due(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	watched := 0
	var own, others []*peer
	for _, p := range d.peers {
		switch {
		case p.gone:
		case !p.watchedSince.IsZero():
			if p.answers(now) {
				watched++
			}
		case now.Before(p.pausedUntil):
		case p.Domain == d.Domain:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	var due []Peer
	for _, p := range alternate(own, others) {
		if watched+len(due) >= targetPeers {
			break
		}
		p.watchedSince, p.statusAt = now, time.Time{}
		due = append(due, p.Peer)
	}
	return due
}

// answers reports whether a watched peer sends its status, or may still send the first one.
func (p *peer) answers(now time.Time) bool {
	if p.statusAt.IsZero() {
		return now.Sub(p.watchedSince) < answerTimeout
	}
	return now.Sub(p.statusAt) < statusMaxAge
}

// alternate returns the peers of both groups in turns, each group in random order: all of the
// own failure domain may be partitioned.
func alternate(own, others []*peer) []*peer {
	for _, group := range [][]*peer{own, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := make([]*peer, 0, len(own)+len(others))
	for i := range max(len(own), len(others)) {
		if i < len(own) {
			all = append(all, own[i])
		}
		if i < len(others) {
			all = append(all, others[i])
		}
	}
	return all
}

// Observe records the status of a peer. It reports whether to go on watching it: one that
// cannot serve requests for the given services is left for another one.
func (d *Detourer) Observe(id string, s Status, services []string, now time.Time) (usable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[id]
	if !ok || p.watchedSince.IsZero() {
		return false
	}
	p.status, p.statusAt = s, now
	d.lost = 0
	if s.Stopping || !servesAny(s, services) {
		p.unwatch(now.Add(unusablePause))
		return false
	}
	return true
}

// servesAny reports whether a peer reaches the runners of any of the services. True for none.
func servesAny(s Status, services []string) bool {
	for _, service := range services {
		if !slices.Contains(s.Unreached, service) {
			return true
		}
	}
	return len(services) == 0
}

// Lost records that a peer is no longer watched, as it does not answer.
func (d *Detourer) Lost(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok {
		d.lost++
		d.lostAt = now
		p.unwatch(now.Add(lostPause))
	}
}

// Alone reports whether no peer answers: of those that were asked last, none has, as many as are watched at a time. It is false
// where there are none.
func (d *Detourer) Alone(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers) > 0 && d.lost >= min(len(d.peers), targetPeers) && now.Sub(d.lostAt) < aloneFor
}

// Unwatched records that a peer is no longer watched, as there is no partition, and reports whether the
// watch is to end: a request may have been sent there at that moment.
func (d *Detourer) Unwatched(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[id]
	switch {
	case !ok:
		return true
	case p.outstanding > 0:
		return false
	}
	p.unwatch(time.Time{})
	return true
}

func (p *peer) unwatch(pausedUntil time.Time) {
	p.watchedSince, p.statusAt, p.pausedUntil = time.Time{}, time.Time{}, pausedUntil
}

// A Choice is a chosen peer, with the evidence for it.
type Choice struct {
	Peer

	Active    int           // requests in progress there, as of its status
	StatusAge time.Duration // of the status
}

// Choose chooses a peer for a request for a service, other than the excluded ones: the less
// busy one of two that are drawn at random, so that partitioned instances do not all choose
// the same. ok is false if no peer is usable. The caller calls Done at the end of the request.
func (d *Detourer) Choose(service string, excluded map[string]bool, now time.Time) (c Choice, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := d.usable(service, excluded, now)
	if len(usable) == 0 {
		return Choice{}, false
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	if len(usable) > 1 && d.cost(usable[1]) < d.cost(best) {
		best = usable[1]
	}
	best.outstanding++
	return Choice{Peer: best.Peer, Active: best.status.Active, StatusAge: now.Sub(best.statusAt)}, true
}

// usable returns the peers that a request for a service may be sent to.
func (d *Detourer) usable(service string, excluded map[string]bool, now time.Time) []*peer {
	var usable []*peer
	for id, p := range d.peers {
		if !excluded[id] && !p.gone && !p.statusAt.IsZero() && now.Sub(p.statusAt) < statusMaxAge && !slices.Contains(p.status.Unreached, service) {
			usable = append(usable, p)
		}
	}
	return usable
}

// Available reports whether Choose would choose a peer.
func (d *Detourer) Available(service string, excluded map[string]bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.usable(service, excluded, now)) > 0
}

func (d *Detourer) cost(p *peer) int {
	cost := 1 + p.status.Active + p.outstanding
	if p.Domain != d.Domain {
		cost *= otherDomainCost
	}
	return cost
}

// Done records the end of a request at a peer.
func (d *Detourer) Done(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok {
		p.outstanding = max(0, p.outstanding-1)
	}
}

// Pending reports whether a peer that was asked for its status may still answer for the first
// time.
func (d *Detourer) Pending(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		if !p.watchedSince.IsZero() && p.statusAt.IsZero() && p.answers(now) {
			return true
		}
	}
	return false
}

// Busy reports whether requests of this instance are in progress at a peer.
func (d *Detourer) Busy(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[id]
	return ok && p.outstanding > 0
}
