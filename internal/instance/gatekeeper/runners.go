package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// removals are runners whose rows are gone while that may be a mistake.
type removals map[string]removal

// A removal takes effect at a time, unless the runner is described anew.
type removal struct {
	at       time.Time
	revision uint64
	by       string // who told of it
	why      string
}

// lapse is how long after the store's return a row that is gone may come back:
// rows of living runners lapse while the store is away, and runners write them
// again within about two seconds.
const lapse = 2500 * time.Millisecond

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
	back, away := g.storeBack(now)
	if !away || now.Sub(back) >= lapse {
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
	g.removals[id] = removal{at: back.Add(lapse), revision: revision, by: by, why: why}
	g.Recorder.Log(recorder.Belief, "msg", "runner may be gone", "runner", id, "revision", revision, "by", by, "why", why,
		"until", back.Add(lapse).Sub(now), "since", now.Sub(back))
}

// storeBack returns when the store came back; away is false if it never was away.
func (g *Gatekeeper) storeBack(now time.Time) (back time.Time, away bool) {
	back, down := g.storeUp.back()
	if down {
		return now, true // what is taken in now comes with its first answer, or from others
	}
	return back, !back.IsZero()
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
	gone := make(removals)
	g.mu.Lock()
	for id, r := range g.removals {
		if now.After(r.at) {
			gone[id] = r
			delete(g.removals, id)
		}
	}
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
