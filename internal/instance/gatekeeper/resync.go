package gatekeeper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Each message about runners carries a checksum of those that its sender knows. After a
// snapshot only deltas are sent: a receiver that differs, for whatever reason, would differ
// permanently. It requests a snapshot, and meanwhile does not rely on the sender.

const (
	// divergenceTimeout is how long the runners may differ before a snapshot is requested, as
	// messages of several instances may overtake each other.
	divergenceTimeout = 2 * updateInterval
	// minResyncDelay and maxResyncDelay bound the exponential delay between two requests.
	minResyncDelay = 500 * time.Millisecond
	maxResyncDelay = 8 * time.Second
)

// A divergence tracks for how long the known runners have differed from those of the source.
// Its zero value is ready.
type divergence struct {
	since     time.Time // zero if they match
	requested time.Time // when a snapshot was requested last
	requests  int       // since they began to differ
}

// observe records whether they match.
func (d *divergence) observe(matches bool, now time.Time) {
	switch {
	case matches:
		*d = divergence{}
	case d.since.IsZero():
		d.since = now
	}
}

// resync reports whether a snapshot is to be requested now.
func (d *divergence) resync(now time.Time) bool {
	if d.since.IsZero() || now.Sub(d.since) < divergenceTimeout {
		return false
	}
	delay := min(maxResyncDelay, minResyncDelay<<min(d.requests, 8))
	if d.requests > 0 && now.Sub(d.requested) < delay {
		return false
	}
	d.requests++
	d.requested = now
	return true
}

// checksum returns the checksum of one runner. Those of several are combined with XOR, so that
// their order does not matter.
func checksum(r tracker.Runner) uint64 {
	id := r.ID
	if r.Leaving {
		id += " leaves"
	}
	return xxhash.Sum64String(id)
}

// toggleChecksum adds a runner to the checksum of the domain, or removes it.
func (c *controller) toggleChecksum(r tracker.Runner) {
	if r.Domain == c.domain {
		c.checksum ^= checksum(r)
	}
}

// matches reports whether the sender has the same runners as this instance. Those whose removal
// is pending here may be missing there.
func (g *Gatekeeper) matches(domain string, update relayer.News) bool {
	c := g.controllers[domain]
	c.mu.Lock()
	known := c.checksum
	c.mu.Unlock()
	if update.Checksum == known {
		g.deferToSource(domain, update.Revision)
		return true
	}
	return update.Checksum == known^g.pendingChecksum(domain)
}

// deferToSource cancels the pending removals that the sender has read too without removing the
// runner: either its row is back, which is not published as a change, or the removal is pending
// there. A leader relies on its own reading.
func (g *Gatekeeper) deferToSource(domain string, revision uint64) {
	if !g.hasPending() || g.leadsAny() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, pending := range g.pending {
		if r, known := g.Fleet.Get(id); known && r.Domain == domain && pending.revision <= revision {
			delete(g.pending, id)
		}
	}
}

// pendingChecksum returns the checksum of the domain's runners whose removal is pending.
func (g *Gatekeeper) pendingChecksum(domain string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for id := range g.pending {
		if r, known := g.Fleet.Get(id); known && r.Domain == domain {
			sum ^= checksum(r)
		}
	}
	return sum
}

// needsResync reports whether to request a snapshot of the domain's runners. A leader reads the
// store itself.
func (l *link) needsResync() bool {
	g := l.gatekeeper
	if g.leadsAny() {
		return false
	}
	l.mu.Lock()
	since := l.diverged.since
	due := l.diverged.resync(time.Now())
	l.mu.Unlock()
	if due {
		g.Metrics.GetOrCreateCounter("sardinetiller_resyncs_total").Inc()
		g.Recorder.Log(recorder.View, "msg", "runners differ from those of the source; requesting a snapshot", "domain", l.domain, "since", time.Since(since))
	}
	return due
}
