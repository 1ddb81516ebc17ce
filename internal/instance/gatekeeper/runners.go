package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// removals are runners whose rows are gone while that may be a mistake.
type removals map[string]removal

// A removal takes effect when rows that lapsed are waited for no more, unless the runner is
// described anew.
type removal struct {
	revision uint64
	by       string // who told of it
	why      string
}

// lapse is how long after the store's return a row that is gone may come back:
// rows of living runners lapse while the store is away, and runners write them
// again within about two seconds.
const lapse = 2500 * time.Millisecond

// lapseMost is how long such a row is waited for at most after the last call that failed, or
// after the instance stood still: the store may have been back soon after it, and three
// seconds after any trouble no instance is to use a runner that has left.
const lapseMost = 2800 * time.Millisecond

// Why a runner is taken out, for the log.
const (
	whyReplaced = "it has started again"
	whyRow      = "its row is gone"
	whyTold     = "told"
	whyUnlisted = "it is not listed"
)

// setRunner takes in the description of a runner that an instance told of, or the store.
func (g *Gatekeeper) setRunner(r tracker.Runner, by string) {
	g.keep(r)
	before, known := g.Fleet.Get(r.ID)
	gone := g.Fleet.Gone(r.ID)
	if earlier, ok := g.Fleet.Set(r); ok {
		g.forget(earlier, by, whyReplaced)
	}
	current, taken := g.Fleet.Get(r.ID)
	if !taken || current.Revision != r.Revision {
		// It is gone, or an older description. Told on, that one would hide from others that
		// the runner leaves: once known it is news no more.
		return
	}
	r = current
	if !known || before.Leaving != r.Leaving {
		g.Recorder.Log(recorder.Belief, "msg", "runner", "runner", r.ID, "service", r.Service, "domain", r.Domain,
			"leaving", r.Leaving, "revision", r.Revision, "by", by, "gone", gone)
	}
	if !known && gone > 0 && !r.Leaving {
		g.Metrics.GetOrCreateCounter("sardinetiller_runners_back_total").Inc()
	}
	g.controller(r.Domain).set(r, !known || before.Leaving != r.Leaving)
}

// keep calls the removal of a runner off that was described anew since.
func (g *Gatekeeper) keep(r tracker.Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if waits, ok := g.removals[r.ID]; ok && r.Revision > waits.revision {
		delete(g.removals, r.ID)
	}
}

// remove takes a runner out, at once or, if the store has just come back, when
// its row has had the time to come back as well.
func (g *Gatekeeper) remove(id string, revision uint64, by, why string) {
	now := time.Now()
	until := g.rowsAwaited(now)
	if !until.After(now) {
		g.removeNow(id, revision, by, why)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.removals == nil {
		g.removals = make(removals)
	}
	if _, waits := g.removals[id]; waits {
		return
	}
	g.removals[id] = removal{revision: revision, by: by, why: why}
	g.Recorder.Log(recorder.Belief, "msg", "runner may be gone", "runner", id, "revision", revision, "by", by, "why", why,
		"until", until.Sub(now))
}

// rowsAwaited returns until when rows that lapsed in an outage of the store are waited for;
// a time that has passed if none are.
func (g *Gatekeeper) rowsAwaited(now time.Time) time.Time {
	back, away := g.storeBack(now)
	if !away {
		return time.Time{}
	}
	until := back.Add(lapse)
	failed := g.storeUp.lastAway()
	if latest := failed.Add(lapseMost); back.Sub(failed) <= nextCall && latest.Before(until) {
		return latest
	}
	return until
}

// storeBack returns when the store came back for whoever reached it first; away is false if
// it never was away for this instance. Counted from its own return, runners that left
// meanwhile were used for as much longer as it came back later than others, here and
// wherever it tells.
func (g *Gatekeeper) storeBack(now time.Time) (back time.Time, away bool) {
	others, _, reached := g.others.span(now)
	if reached {
		g.storeUp.backBefore(others)
	}
	back, down := g.storeUp.back()
	switch {
	case down && reached:
		return others, true
	case down:
		return now, true // what is taken in now comes with its first answer
	default:
		return back, !back.IsZero()
	}
}

// awaitRows takes out the runners whose rows have not come back in time, until ctx ends.
func (g *Gatekeeper) awaitRows(ctx context.Context) {
	repeater.Every(ctx, dueEvery, nil, g.due)
}

const (
	// dueEvery is how often it is looked whether a removal that waits is due.
	dueEvery = 50 * time.Millisecond
	// stoodStillFor is the time without a look after which the instance has stood still.
	stoodStillFor = time.Second
)

// awaits reports whether rows that lapsed are waited for.
func (g *Gatekeeper) awaits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.removals) > 0
}

// removeNow takes a runner out by the word of an instance, or of the store.
func (g *Gatekeeper) removeNow(id string, revision uint64, by, why string) {
	runner, known := g.Fleet.Get(id)
	g.Fleet.Remove(id, revision)
	if known {
		g.forget(runner, by, why)
		return
	}
	for _, d := range g.controllers {
		d.gone(id, revision) // it may have been found replaced by another one at its address
	}
}

// forget drops what is kept of a runner that is gone beside its description.
func (g *Gatekeeper) forget(r tracker.Runner, by, why string) {
	g.Pool.Drop(r.ID)
	gone := g.Fleet.Gone(r.ID)
	g.controller(r.Domain).gone(r.ID, gone)
	g.Recorder.Log(recorder.Belief, "msg", "runner gone", "runner", r.ID, "service", r.Service,
		"known", r.Revision, "gone", gone, "by", by, "why", why)
}

// due takes out the runners whose rows have not come back.
func (g *Gatekeeper) due() {
	g.learning.Lock()
	defer g.learning.Unlock()
	now := time.Now()
	if !g.looked.IsZero() && now.Sub(g.looked) > stoodStillFor {
		g.storeUp.stoodStill(now)
	}
	g.looked = now
	if g.rowsAwaited(now).After(now) {
		return
	}
	g.mu.Lock()
	gone := g.removals
	g.removals = nil
	g.mu.Unlock()
	for id, r := range gone {
		g.removeNow(id, r.revision, r.by, r.why)
	}
}

// controller returns the controller of a failure domain; that of the own one for
// a domain that the settings do not name.
func (g *Gatekeeper) controller(domain string) *controller {
	if d, ok := g.controllers[domain]; ok {
		return d
	}
	return g.controllers[g.Config.Domain]
}
