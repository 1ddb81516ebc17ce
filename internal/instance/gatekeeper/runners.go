package gatekeeper

import (
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Reasons for the removal of a runner, for the log.
const (
	whyReplaced  = "it has started again"
	whyRow       = "its row is gone"
	whyPublished = "told"
	whyUnlisted  = "it is not listed"
)

// setRunner applies the description of a runner that came from an instance or from the store.
func (g *Gatekeeper) setRunner(r tracker.Runner, by string) {
	g.cancelRemoval(r)
	before, known := g.Fleet.Get(r.ID)
	if earlier, ok := g.Fleet.Set(r); ok {
		g.dropRunnerState(earlier, by, whyReplaced)
	}
	current, ok := g.Fleet.Get(r.ID)
	if !ok || current.Revision != r.Revision {
		// The runner is removed, or the description is an older one. If that one were published,
		// others would not learn that the runner drains: a known runner is no change for them.
		return
	}
	r = current
	changed := !known || before.Leaving != r.Leaving || before.Version != r.Version
	if changed {
		removedAt := g.Fleet.RemovedRevision(r.ID)
		if !known && removedAt > 0 && !r.Leaving {
			g.Metrics.GetOrCreateCounter("sardinetiller_runners_back_total").Inc()
		}
		g.Recorder.Log(recorder.View, "msg", "runner", "runner", r.ID, "service", r.Service, "domain", r.Domain,
			"leaving", r.Leaving, "revision", r.Revision, "by", by, "gone", removedAt)
	}
	g.controller(r.Domain).setRunner(r, changed)
}

// removeRunnerNow removes a runner as reported by an instance or the store.
func (g *Gatekeeper) removeRunnerNow(id string, revision uint64, by, why string) {
	runner, known := g.Fleet.Get(id)
	g.Fleet.Remove(id, revision)
	if known {
		g.dropRunnerState(runner, by, why)
		return
	}
	for _, c := range g.controllers {
		c.removeRunner(id, revision) // the fleet may already know another incarnation at its address instead
	}
}

// dropRunnerState drops the state of a removed runner other than its description.
func (g *Gatekeeper) dropRunnerState(r tracker.Runner, by, why string) {
	g.Pool.ClosePeer(r.ID)
	removedAt := g.Fleet.RemovedRevision(r.ID)
	g.controller(r.Domain).removeRunner(r.ID, removedAt)
	g.Recorder.Log(recorder.View, "msg", "runner gone", "runner", r.ID, "service", r.Service,
		"known", r.Revision, "gone", removedAt, "by", by, "why", why)
}

// controller returns the controller of a failure domain, or that of this instance's own for a
// domain that is not in the settings.
func (g *Gatekeeper) controller(domain string) *controller {
	if c, ok := g.controllers[domain]; ok {
		return c
	}
	return g.controllers[g.Config.Domain]
}
