package gatekeeper

import (
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Why a runner is taken out, for the log.
const (
	whyReplaced = "it has started again"
	whyRow      = "its row is gone"
	whyTold     = "told"
	whyUnlisted = "it is not listed"
)

// setRunner takes in the description of a runner that an instance told of, or the store.
func (g *Gatekeeper) setRunner(r tracker.Runner, by string) {
	g.cancelRemoval(r)
	before, known := g.Fleet.Get(r.ID)
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
	changed := !known || before.Leaving != r.Leaving
	if changed {
		gone := g.Fleet.Gone(r.ID)
		if !known && gone > 0 && !r.Leaving {
			g.Metrics.GetOrCreateCounter("sardinetiller_runners_back_total").Inc()
		}
		g.Recorder.Log(recorder.Belief, "msg", "runner", "runner", r.ID, "service", r.Service, "domain", r.Domain,
			"leaving", r.Leaving, "revision", r.Revision, "by", by, "gone", gone)
	}
	g.controller(r.Domain).set(r, changed)
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

// controller returns the controller of a failure domain; that of the own one for
// a domain that the settings do not name.
func (g *Gatekeeper) controller(domain string) *controller {
	if d, ok := g.controllers[domain]; ok {
		return d
	}
	return g.controllers[g.Config.Domain]
}
