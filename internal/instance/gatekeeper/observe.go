package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// observeInterval is how often a leader that may not give orders yet asks a runner which adapters it holds.
// The orders of the former leader may change that: a runner refuses requests for an adapter that it lacks.
const observeInterval = 2 * time.Second

// observeRunners makes the leader publish which adapters the runners hold while it may not give them orders:
// requests for those need none. After a takeover that takes up to a lease and the quiet period.
func (c *controller) observeRunners(ctx context.Context, now time.Time) {
	if fence := c.elector.Row().Fence; c.observedFence != fence {
		c.observedFence = fence
		for _, state := range c.runners {
			state.published = nil // another leader may have changed it since this instance last led
		}
	}
	for id, state := range c.runners {
		if state.callInFlight || now.Sub(state.reportRequested) < observeInterval || c.gatekeeper.Fleet.Declines(id, now) {
			continue
		}
		if c.newPlacer(c.gatekeeper.Catalog(), state.runner) == nil {
			continue // it holds no adapters
		}
		state.reportRequested, state.callInFlight = now, true
		go c.observeRunner(ctx, state, state.runner)
	}
}

// observeRunner publishes which adapters a runner holds.
func (c *controller) observeRunner(ctx context.Context, state *runnerState, runner tracker.Runner) {
	report, err := c.gatekeeper.Engine.Report(ctx, runner)
	c.mu.Lock()
	defer c.mu.Unlock()
	state.callInFlight = false
	switch {
	case err != nil:
		c.gatekeeper.Recorder.Log(recorder.View, "msg", "runner report failed", "runner", runner.ID, "err", err)
	case c.orderingFence == 0 && c.elector.IsLeader(uptime()):
		held := make(map[placer.Copy]time.Time, len(report.Models)+len(report.Resident))
		for _, model := range report.Models {
			held[placer.Copy{Model: model}] = time.Time{}
		}
		for _, copied := range report.Resident {
			held[copied] = time.Time{}
		}
		c.publishHeld(state, held, time.Now())
	}
}
