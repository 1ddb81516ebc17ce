package gatekeeper

import (
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A link follows the leader of a failure domain and reports this instance's demand to it.
type link struct {
	gatekeeper *Gatekeeper
	domain     string
	kick       chan struct{}

	mu            sync.Mutex
	asked         map[gatherer.Key]time.Time // when the leader was last sent an urgent request for a copy
	diverged      divergence
	previous      source    // previous source, to which this instance reported before
	freshAt       time.Time // when the source last had current runners that matched this instance's
	heard         time.Time // when the last update of the leader was received
	holder        elector.Tenure
	lastEmpty     bool // the last report was empty
	needs         needs
	relayedAt     time.Time     // when the leader sent its last update that arrived through another instance
	unsubscribeAt time.Time     // until when this instance also reports to previous
	reportedAt    time.Time     // when the last report was sent
	relayTimeout  time.Duration // how long the source may receive no update from the leader before the leader is followed directly
	source        source        // source of the last update of the domain; reports go to it
}

const (
	// updateInterval is the interval between reports of load and use to the leader, and between
	// its updates. The load of a runner changes by about one request in that time.
	updateInterval = 150 * time.Millisecond
	// hurryAgain is the minimum time between two urgent requests for the same copy.
	hurryAgain = time.Second
	// reconnectDelay is the pause after a failed connection, resubscribeDelay the one before a
	// source that refused or ended a subscription is tried again, and sourcePollInterval the
	// one between checks whether a source answers.
	reconnectDelay     = 200 * time.Millisecond
	resubscribeDelay   = 50 * time.Millisecond
	sourcePollInterval = 20 * time.Millisecond
)

// setHolder records the current lease.
func (l *link) setHolder(t elector.Tenure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Fence <= l.holder.Fence {
		return
	}
	if l.heard.IsZero() && t.Holder != "" && t.Holder != l.self() {
		l.heard = time.Now() // gives a new leader time to send its first update before the lease counts as vacant
	}
	l.holder = t
	l.gatekeeper.Recorder.Log(recorder.Belief, "msg", "leader changed", "domain", l.domain, "holder", t.Holder, "fence", t.Fence)
}

// orderer returns the leader, which sends orders in the domain, and the source of its updates;
// ok is false if the leader is not to be called, as no recent update was received from it.
func (l *link) orderer() (leader, via source, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sourceOf(l.holder), l.source, l.holder.Holder != "" && time.Since(l.heard) <= unheard
}

// setMembers records the number of instances.
func (l *link) setMembers(members int) {
	g := l.gatekeeper
	before := g.headcount.told()
	g.headcount.tell(members, time.Now())
	after := g.headcount.told()
	if max(before, after) > 2*min(before, after) { // the count need not be exact: small changes matter little
		g.Recorder.Log(recorder.Belief, "msg", "members", "count", after)
	}
}

func (l *link) self() string { return l.gatekeeper.Config.ID }

// silence returns the time since the last update of the leader.
func (l *link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
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
