package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// memberTimeout is the time after its last demand report at which a member is dropped.
const memberTimeout = 3 * time.Second

// HandleDemand implements relayer.DemandHandler: it handles a member's demand report as the
// leader of the domain, or relays it to the leader.
func (g *Gatekeeper) HandleDemand(from heartbeater.Instance, demand relayer.Demand) {
	c, ok := g.controllers[demand.Domain]
	switch {
	case !ok:
	case c.leads():
		g.directory.observe(demand.Domain, from, time.Now())
		c.applyDemand(from.ID, demand)
		if demand.Urgent() {
			g.checkOrdersNow()
		}
	case g.leadsAny() || c.relaysFor(from.ID):
		c.applyDemand(from.ID, demand)
		g.links[demand.Domain].relayDemand(demand)
	}
}

// relaysFor reports whether this instance relays a member's reports. An instance that has just
// stepped down goes on until the member receives updates from another one; otherwise the
// uses of a whole domain would not be counted in between.
func (c *controller) relaysFor(member string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aggregator.IsMember(member)
}

// applyDemand applies a member's demand report.
func (c *controller) applyDemand(from string, demand relayer.Demand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if demand.Unsubscribed {
		c.aggregator.Remove(from)
		return
	}
	if c.firstReportAt.IsZero() {
		c.firstReportAt = now
	}
	c.aggregator.Report(from, summedReport(demand), now)
	c.confirmGrants(from, now)
	if from != c.gatekeeper.Config.ID && reportsResponse(demand) {
		c.partition.respondedElsewhere = now
	}
	if from != c.gatekeeper.Config.ID {
		c.applyPaces(demand.Paces, now)
	}
	c.prefillShare.Record(demand.ShortGaps, demand.LongGaps)
	for _, u := range demand.Hits {
		c.withPlacer(u.Runner, func(p *placer.Placer) { c.observeLoad(p.ObserveHit(u.Copy, u.Requests, now.Add(-u.Age))) })
	}
	for _, u := range demand.Misses {
		c.withPlacer(u.Runner, func(p *placer.Placer) { p.ObserveMiss(u.Copy, now) })
	}
	for _, u := range demand.Refused {
		c.recordRefusals(u, now)
	}
	for _, u := range demand.Spare {
		c.withPlacer(u.Runner, func(p *placer.Placer) { p.Request(u.Copy, placer.Spare, now) })
	}
}

// summedReport returns the part of a demand report that is summed up over all members.
func summedReport(demand relayer.Demand) aggregator.Report {
	sums := aggregator.Report{
		Instances: 1 + demand.OtherInstances, Loads: demand.Loads,
		Uses:  make(map[aggregator.Key]int, len(demand.Uses)),
		Waits: make(map[aggregator.Key]placer.Waiting, len(demand.Waits)),
	}
	for _, u := range demand.Uses {
		sums.Uses[keyOf(u.Runner, u.Copy)] += u.Requests
	}
	for _, wait := range demand.Waits {
		sums.Waits[keyOf(wait.Runner, wait.Copy)] = wait.Waiting
	}
	return sums
}

func keyOf(runner string, c placer.Copy) aggregator.Key {
	return aggregator.Key{Runner: runner, Copy: c}
}

// applyWaits updates a runner's placer with the number of requests of all members that wait for a
// copy.
func (c *controller) applyWaits(k aggregator.Key, all placer.Waiting) {
	c.withPlacer(k.Runner, func(p *placer.Placer) {
		if all.Requests == 0 {
			p.ClearDemand(k.Copy)
			return
		}
		p.SetDemand(k.Copy, all, time.Now())
	})
}

// loadsExcept returns the load of all members except one. This instance counts as a member: it
// reports its demand to its own controller.
func (c *controller) loadsExcept(except string, now time.Time) map[string]tracker.Load {
	c.aggregator.Expire(now)
	return c.aggregator.Loads(except)
}

// recordUse counts a use that a member has begun.
func (c *controller) recordUse(by string, k aggregator.Key) { c.aggregator.AddUse(by, k, time.Now()) }

func (c *controller) withPlacer(runner string, do func(p *placer.Placer)) {
	if state, ok := c.runners[runner]; ok && state.placer != nil {
		do(state.placer)
	}
}
