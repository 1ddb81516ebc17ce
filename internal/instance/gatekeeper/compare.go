package gatekeeper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Each word carries a checksum of the runners that its sender knows. A receiver that knows
// others is not told of what there is, whatever the reason: without the comparison both
// would differ for good, as only changes are told.

const (
	// differFor is how long the runners that are known may differ from those that are
	// told, as words of several instances cross each other, before a list is asked for.
	differFor = 2 * beat
	// relistFirst and relistMost bound the time between two lists that are asked for.
	relistFirst = 500 * time.Millisecond
	relistMost  = 8 * time.Second
)

// A comparison is whether the runners that are known are those that are told. Its zero
// value is ready.
type comparison struct {
	since    time.Time // when they began to differ; zero if they do not
	relisted time.Time // when a list was asked for last
	times    int       // that one was asked for since
}

// note takes in whether they are alike.
func (c *comparison) note(alike bool, now time.Time) {
	switch {
	case alike:
		*c = comparison{}
	case c.since.IsZero():
		c.since = now
	}
}

// relist reports whether a list is to be asked for now.
func (c *comparison) relist(now time.Time) bool {
	if c.since.IsZero() || now.Sub(c.since) < differFor {
		return false
	}
	if wait := min(relistMost, relistFirst<<min(c.times, 8)); c.times > 0 && now.Sub(c.relisted) < wait {
		return false
	}
	c.times++
	c.relisted = now
	return true
}

// checksum returns that of one runner; those of several are combined with XOR, so that
// their order does not matter.
func checksum(r tracker.Runner) uint64 {
	id := r.ID
	if r.Leaving {
		id += " leaves"
	}
	return xxhash.Sum64String(id)
}

// countRunner changes the checksum of the domain by a runner that comes or goes.
func (d *controller) countRunner(r tracker.Runner) {
	if r.Domain == d.domain {
		d.sum ^= checksum(r)
	}
}

// alike reports whether the runners that are told are those that are known. One that waits
// for its removal may be told or not.
func (g *Gatekeeper) alike(domain string, n relayer.News) bool {
	d := g.controllers[domain]
	d.mu.Lock()
	known := d.sum
	d.mu.Unlock()
	if n.Sum == known {
		g.leaveToTeller(domain, n.UpTo)
		return true
	}
	return n.Sum == known^g.waitingSum(domain)
}

// leaveToTeller leaves the runners whose removal waits here to an instance that knows of
// the removal and keeps them: their rows are back, which it need not tell, or it waits for
// them itself. A holder, which tells others, goes by its own reading.
func (g *Gatekeeper) leaveToTeller(domain string, upTo uint64) {
	if g.holdsAny() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, waits := range g.removals {
		if r, known := g.Fleet.Get(id); known && r.Domain == domain && waits.revision <= upTo {
			delete(g.removals, id)
		}
	}
}

// waitingSum returns the checksum of the domain's runners that wait for their removal.
func (g *Gatekeeper) waitingSum(domain string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for id := range g.removals {
		if r, known := g.Fleet.Get(id); known && r.Domain == domain {
			sum ^= checksum(r)
		}
	}
	return sum
}

// relists reports whether a list of the domain's runners is to be asked for, as those that
// are told have differed for a while from those that are known. A holder reads the store
// itself.
func (l *link) relists() bool {
	g := l.gatekeeper
	if g.holdsAny() {
		return false
	}
	l.mu.Lock()
	since := l.compared.since
	due := l.compared.relist(time.Now())
	l.mu.Unlock()
	if due {
		g.Metrics.GetOrCreateCounter("sardinetiller_lists_asked_total").Inc()
		g.Recorder.Log(recorder.Belief, "msg", "runners differ; asking for a list", "domain", l.domain, "since", time.Since(since))
	}
	return due
}
