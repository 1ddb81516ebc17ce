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
	d, ok := g.controllers[demand.Domain]
	switch {
	case !ok:
	case d.leads():
		d.applyDemand(from.ID, demand)
		if demand.Urgent() {
			g.checkOrdersNow()
		}
	case g.leadsAny() || d.relaysFor(from.ID):
		d.applyDemand(from.ID, demand)
		g.links[demand.Domain].relayDemand(demand)
	}
}

// relaysFor reports whether this instance relays a member's reports. An instance that has just
// stepped down goes on until the member receives updates from another one; otherwise the
// uses of a whole domain would not be counted in between.
func (d *controller) relaysFor(member string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aggregator.IsMember(member)
}

// applyDemand applies a member's demand report.
func (d *controller) applyDemand(from string, demand relayer.Demand) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if demand.Unsubscribed {
		d.aggregator.Remove(from)
		return
	}
	if d.firstReportAt.IsZero() {
		d.firstReportAt = now
	}
	d.aggregator.Report(from, summedReport(demand), now)
	if from != d.gatekeeper.Config.ID && reportsResponse(demand) {
		d.partition.respondedElsewhere = now
	}
	d.prefillShare.Record(demand.ShortGaps, demand.LongGaps)
	for _, n := range demand.Hits {
		d.withPlacer(n.Runner, func(p *placer.Placer) { d.observeLoad(p.ObserveHit(n.Copy, n.Requests, now.Add(-n.Age))) })
	}
	for _, n := range demand.Misses {
		d.withPlacer(n.Runner, func(p *placer.Placer) { p.ObserveMiss(n.Copy, now) })
	}
	for _, n := range demand.Spare {
		d.withPlacer(n.Runner, func(p *placer.Placer) { p.Request(n.Copy, placer.Spare, now) })
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
func (d *controller) applyWaits(k aggregator.Key, all placer.Waiting) {
	d.withPlacer(k.Runner, func(p *placer.Placer) {
		if all.Requests == 0 {
			p.ClearDemand(k.Copy)
			return
		}
		p.SetDemand(k.Copy, all, time.Now())
	})
}

// loadsExcept returns the load of all members except one. This instance counts as a member: it
// reports its demand to its own controller.
func (d *controller) loadsExcept(but string, now time.Time) map[string]tracker.Load {
	d.aggregator.Expire(now)
	return d.aggregator.Loads(but)
}

// recordUse counts a use that a member has begun.
func (d *controller) recordUse(by string, k aggregator.Key) { d.aggregator.AddUse(by, k, time.Now()) }

func (d *controller) withPlacer(runner string, do func(p *placer.Placer)) {
	if c, ok := d.runners[runner]; ok && c.placer != nil {
		do(c.placer)
	}
}
