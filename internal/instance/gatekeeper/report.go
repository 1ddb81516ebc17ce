package gatekeeper

import (
	"context"
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// reportLoop reports the demand to the leader until ctx ends.
func (l *link) reportLoop(ctx context.Context) {
	repeater.Every(ctx, updateInterval, l.wake, func() { l.report(ctx) })
}

// report reports the demand to the leader, directly or through the source of the domain.
func (l *link) report(ctx context.Context) {
	g := l.gatekeeper
	if l.sinceUpdate() > updateTimeout {
		g.Fleet.SetLeaderPresent(l.domain, false)
	}
	if g.controllers[l.domain].leads() {
		g.applyOwnDemand(l.domain, l.demand())
		return
	}
	l.reportToPrevious(ctx)
	target, ok := l.reportTarget()
	if !ok {
		l.mu.Lock()
		l.pendingDemand.dropOldPaces(time.Now())
		l.mu.Unlock()
		return
	}
	demand := l.demand()
	if l.skipReport(demand) {
		return
	}
	_ = g.Peers.Send(ctx, target.address, demand) // a failed connection shows in missing updates
}

// skipReport reports whether a report may be omitted, as neither it nor the previous one
// carries any demand. An instance has no requests in most failure domains most of the time.
func (l *link) skipReport(demand relayer.Demand) bool {
	empty := demand.OtherInstances == 0 && demand.Empty()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if empty && l.lastEmpty && now.Sub(l.reportedAt) < idleReportInterval {
		return true
	}
	l.lastEmpty, l.reportedAt = empty, now
	return false
}

// idleReportInterval is how often an instance without demand reports: a member that has not
// reported for three seconds is no longer counted.
const idleReportInterval = 900 * time.Millisecond

// demand returns and clears what is to be reported: the current requests, and what was observed
// since the last report, by this instance and by those whose reports it relays.
func (l *link) demand() relayer.Demand {
	demand := demandOf(l.domain, l.totalDemand())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	demand.ShortGaps, demand.LongGaps = l.pendingDemand.shortGaps, l.pendingDemand.longGaps
	for k := range l.pendingDemand.misses {
		demand.Misses = append(demand.Misses, relayer.CopyUse{Runner: k.Runner, Copy: k.Copy})
	}
	for k, hit := range l.pendingDemand.hits {
		demand.Hits = append(demand.Hits, relayer.CopyUse{Runner: k.Runner, Copy: k.Copy, Requests: hit.requests, Age: now.Sub(hit.sent)})
	}
	for k, requests := range l.pendingDemand.refused {
		demand.Refused = append(demand.Refused, relayer.CopyUse{Runner: k.Runner, Copy: k.Copy, Requests: requests})
	}
	for k := range l.pendingDemand.spare {
		demand.Spare = append(demand.Spare, relayer.CopyUse{Runner: k.Runner, Copy: k.Copy})
	}
	demand.Paces = l.pendingDemand.takePaces(now)
	l.pendingDemand.misses, l.pendingDemand.spare, l.pendingDemand.hits = nil, nil, nil
	l.pendingDemand.refused = nil
	l.pendingDemand.shortGaps, l.pendingDemand.longGaps = 0, 0
	for k, at := range l.urgentAt {
		if now.Sub(at) > urgentInterval {
			delete(l.urgentAt, k)
		}
	}
	return demand
}

// demandOf returns the message that reports the sums.
func demandOf(domain string, sums aggregator.Report) relayer.Demand {
	demand := relayer.Demand{Domain: domain, OtherInstances: sums.Instances - 1, Loads: sums.Loads}
	for k, n := range sums.Uses {
		demand.Uses = append(demand.Uses, relayer.CopyUse{Runner: k.Runner, Copy: k.Copy, Requests: n})
	}
	for k, waiting := range sums.Waits {
		demand.Waits = append(demand.Waits, relayer.Wait{Runner: k.Runner, Copy: k.Copy, Waiting: waiting})
	}
	return demand
}

// totalDemand returns the sums of this instance's requests in the domain, and those of the
// instances whose reports it relays.
func (l *link) totalDemand() aggregator.Report {
	sums := l.ownDemand()
	g := l.gatekeeper
	if c := g.controllers[l.domain]; !c.leads() {
		sums.Add(c.relayedDemand(time.Now()))
	}
	return sums
}

// ownDemand returns the sums of this instance's requests in the domain.
func (l *link) ownDemand() aggregator.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := aggregator.Report{
		Instances: 1, Loads: l.gatekeeper.Fleet.LoadsIn(l.domain), Uses: maps.Clone(l.pendingDemand.uses), Waits: make(map[aggregator.Key]placer.Waiting),
	}
	now := time.Now()
	for k, waiters := range l.pendingDemand.waits {
		if waiting := sumWaiters(waiters, now); waiting.Requests > 0 {
			sums.Waits[k] = waiting
		} else {
			delete(l.pendingDemand.waits, k)
		}
	}
	return sums
}

// sumWaiters drops the requests that no longer wait and adds up the others.
func sumWaiters(waiters map[string]waiter, now time.Time) placer.Waiting {
	sum := placer.Waiting{Priority: placer.Spare}
	for request, w := range waiters {
		if now.Sub(w.refreshedAt) > waitMaxAge {
			delete(waiters, request)
			continue
		}
		sum.Requests++
		sum.Priority = min(sum.Priority, w.priority)
		sum.InTime += w.inTime
	}
	return sum
}
