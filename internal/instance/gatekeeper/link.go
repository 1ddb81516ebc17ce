package gatekeeper

import (
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A link follows the leader of a failure domain and reports this instance's demand to it.
type link struct {
	gatekeeper *Gatekeeper
	domain     string
	wake       chan struct{}

	mu             sync.Mutex
	urgentAt       map[aggregator.Key]time.Time // when the leader was last sent an urgent request for a copy
	diverged       divergence
	previousSource source        // previous source, to which this instance reported before
	freshAt        time.Time     // when the source last had current runners that matched this instance's
	lastUpdate     time.Time     // when the last update of the leader was received
	leader         elector.Lease // lease of the domain's leader
	lastEmpty      bool          // the last report was empty
	pendingDemand  pendingDemand
	relayedAt      time.Time     // when the leader sent its last update that arrived through another instance
	unsubscribeAt  time.Time     // until when this instance also reports to previousSource
	reportedAt     time.Time     // when the last report was sent
	relayTimeout   time.Duration // how long the source may receive no update from the leader before the leader is followed directly
	source         source        // source of the last update of the domain; reports go to it
}

const (
	// updateInterval is the interval between reports of load and use to the leader, and between
	// its updates. The load of a runner changes by about one request in that time.
	updateInterval = 150 * time.Millisecond
	// urgentInterval is the minimum time between two urgent requests for the same copy.
	urgentInterval = time.Second
	// reconnectDelay is the pause after a failed connection, resubscribeDelay the one before a
	// source that refused or ended a subscription is tried again, and sourcePollInterval the
	// one between checks whether a source answers.
	reconnectDelay     = 200 * time.Millisecond
	resubscribeDelay   = 50 * time.Millisecond
	sourcePollInterval = 20 * time.Millisecond
)

// setLeader records the current lease.
func (l *link) setLeader(lease elector.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease.Fence <= l.leader.Fence {
		return
	}
	if l.lastUpdate.IsZero() && lease.Leader != "" && lease.Leader != l.self() {
		l.lastUpdate = time.Now() // gives a new leader time to send its first update before the lease counts as vacant
	}
	l.leader = lease
	l.gatekeeper.Recorder.Log(recorder.View, "msg", "leader changed", "domain", l.domain, "holder", lease.Leader, "fence", lease.Fence)
}

// leaderAndSource returns the leader, which sends orders in the domain, and the source of its
// updates; ok is false if the leader is not to be called, as no recent update was received from
// it.
func (l *link) leaderAndSource() (leader, via source, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sourceOf(l.leader), l.source, l.leader.Leader != "" && time.Since(l.lastUpdate) <= updateTimeout
}

// setMembers records the number of instances.
func (l *link) setMembers(members int) {
	g := l.gatekeeper
	before := g.headcount.reported()
	g.headcount.observe(members, time.Now())
	after := g.headcount.reported()
	if max(before, after) > 2*min(before, after) { // one instance more or less among hundreds matters little
		g.Recorder.Log(recorder.View, "msg", "members", "count", after)
	}
}

func (l *link) self() string { return l.gatekeeper.Config.ID }

// sinceUpdate returns the time since the last update of the leader.
func (l *link) sinceUpdate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastUpdate)
}

// sinceFresh returns how long ago the leader's view of the runners was last known to be
// current.
func (l *link) sinceFresh() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.freshAt)
}

// runnersPublished reports whether the leaders of all domains publish current runners to this
// instance, so that it need not poll the store itself.
func (g *Gatekeeper) runnersPublished() bool {
	if g.leadsAny() {
		return false
	}
	for _, l := range g.links {
		if l.sinceFresh() > freshTimeout {
			return false
		}
	}
	return true
}

// Members returns the number of instances, as far as known.
func (g *Gatekeeper) Members() int { return g.headcount.get() }

// MembersKnown reports whether the number of instances has been reported.
func (g *Gatekeeper) MembersKnown() bool { return g.headcount.reported() > 0 }
