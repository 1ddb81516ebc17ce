package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// takeOver acquires a lease if this instance reaches the runners of the domain. On a day on
// which a third of the instances were cut off from them, one takeover in three ended with
// the new leader stepping down again, at a cost of four seconds each.
func (c *controller) takeOver(ctx context.Context, w elector.Write, runners []tracker.Runner) {
	if c.reachesRunners(ctx, runners) {
		c.writeLease(ctx, w)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryAt = uptime() + pollInterval
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "lease left to others", "domain", c.domain, "why", "runners are not reached")
}

const (
	// maxProbes is how many runners are probed before a takeover: one may have crashed.
	maxProbes = 3
	// deferralTime is how long a free lease is left to instances that reach the runners.
	// It is longer than they take to notice that the lease is free.
	deferralTime = 5 * time.Second
)

// probeTargets returns up to limit runners of the domain that take orders.
func (c *controller) probeTargets(limit int) []tracker.Runner {
	var runners []tracker.Runner
	for _, state := range c.runners {
		if len(runners) < limit && !c.gatekeeper.Fleet.Leaving(state.runner.ID) && state.runner.Slots > 0 && len(state.runner.Models) > 0 {
			runners = append(runners, state.runner)
		}
	}
	return runners
}

// reachesRunners reports whether at least half of the given runners answer; true for none.
func (c *controller) reachesRunners(ctx context.Context, runners []tracker.Runner) bool {
	answers := make(chan bool, len(runners))
	for _, r := range runners {
		go func() {
			_, err := c.gatekeeper.Engine.Report(ctx, r)
			answers <- err == nil
		}()
	}
	reached := 0
	for range runners {
		if <-answers {
			reached++
		}
	}
	return 2*reached >= len(runners)
}

// defersTakeover reports whether this instance leaves the lease to others for now, as it does not
// reach the runners of the domain.
func (c *controller) defersTakeover() bool {
	g := c.gatekeeper
	return g.Fleet.Partitioned(c.domain, time.Now()) && g.links[c.domain].sinceUpdate() < deferralTime
}
