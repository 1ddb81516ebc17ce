package gatekeeper

import (
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// apply applies an update of the domain.
func (l *link) apply(update relayer.News) {
	now := time.Now()
	g := l.gatekeeper
	if update.ReleasedFence > 0 {
		l.leaderEnded(update.ReleasedFence)
		return
	}
	g.applyReachability(update, now)
	matches := l.applyRunners(update)
	g.applyStatements(update, now)
	l.mu.Lock()
	l.diverged.observe(matches, now)
	if update.Fresh && matches {
		l.freshAt = now
	}
	if sent := now.Add(-update.SinceLeaderUpdate); sent.After(l.lastUpdate) {
		l.lastUpdate = sent
	}
	if update.HasLoads {
		l.setMembers(update.Members)
	}
	l.mu.Unlock()
	if update.Lease.Leader != "" {
		l.setLeader(update.Lease)
	}
	g.directory.adopt(l.domain, update.Instances, now)
	g.applyTables(update.Tables, now)
	if update.Operator.Newest > 0 && g.operator.observeVersion(update.Operator.Newest, now) {
		g.operator.confirmedAt.advance(now.Add(-update.Operator.Age))
	}
	if lacksLeaderState(update) {
		return
	}
	l.applyCopies(update, now)
	g.adoptPaces(update.Paces, now)
	c := g.controllers[l.domain]
	c.recordUpdate(update, now)
	if update.HasLoads {
		others := maps.Clone(update.Loads)
		if others == nil {
			others = make(map[string]tracker.Load)
		}
		addLoads(others, c.relayedLoads(now))
		g.Fleet.SetOtherLoads(l.domain, others)
	}
	g.Fleet.SetLeaderPresent(l.domain, update.Acting)
	g.Fleet.SetLoadQueueWait(l.domain, update.QueueWait())
	g.Fleet.SetLoadTimes(l.domain, tracker.LoadTimes{Load: update.LoadTime, Reload: update.ReloadTime})
	c.recordRenewal(update.Lease, update.Renewal, update.Age)
}

// applyStatements applies what runners have stated to other instances.
func (g *Gatekeeper) applyStatements(update relayer.News, now time.Time) {
	for _, runner := range update.Leaving {
		g.observeLeaving(runner, sourcePeer)
	}
	for _, limit := range update.Limits {
		g.observeLimit(limit.Runner, limit.RateLimit(now), sourcePeer)
	}
}

// applyReachability records since when another leader has reached the store.
func (g *Gatekeeper) applyReachability(update relayer.News, now time.Time) {
	if update.Operator.Newest > 0 {
		at := now.Add(-update.Operator.Age)
		g.othersReachedStoreAt.advance(at)
		g.storeUp.observeOthers(at, at, now)
	}
	if update.StoreReached != (relayer.Span{}) {
		g.storeUp.observeOthers(now.Add(-update.StoreReached.First), now.Add(-update.StoreReached.Last), now)
	}
}

// leaderEnded records that the leader has stepped down. The domain counts as leaderless at once.
func (l *link) leaderEnded(fence uint64) {
	l.gatekeeper.controllers[l.domain].recordRelease(fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader.Fence == fence {
		l.lastUpdate = time.Time{}
	}
}

// applyRunners applies the changes of the runners, and reports whether this instance now has
// the same runners as the sender.
func (l *link) applyRunners(update relayer.News) (matches bool) {
	g := l.gatekeeper
	g.runnerUpdateMu.Lock()
	defer g.runnerUpdateMu.Unlock()
	if update.Snapshot {
		g.applySnapshot(l.domain, update)
	}
	for _, r := range update.Runners {
		g.setRunner(r, update.From)
	}
	for _, removal := range update.Removed {
		if known, ok := g.Fleet.Get(removal.Runner); !ok || known.Revision <= removal.Revision { // else it was described again since
			g.removeRunnerNow(removal.Runner, removal.Revision, update.From, whyPublished)
		}
	}
	if update.Snapshot {
		g.Fleet.CompleteTo(l.domain, update.Revision)
	}
	return g.matches(l.domain, update)
}

// applyCopies applies which copies the runners hold, and how long copies wait for an adapter
// slot.
func (l *link) applyCopies(update relayer.News, now time.Time) {
	fleet := l.gatekeeper.Fleet
	if update.Snapshot {
		copies := make(map[string]map[placer.Copy]time.Time)
		for _, h := range update.Held {
			if copies[h.Runner] == nil {
				copies[h.Runner] = make(map[placer.Copy]time.Time)
			}
			for _, s := range h.Copies {
				copies[h.Runner][h.Copy(s)] = now.Add(s.ReadyIn)
			}
		}
		for runner, held := range copies {
			fleet.SetHeld(runner, held)
		}
	} else {
		for _, h := range update.Held {
			for _, s := range h.Copies {
				fleet.SetHeldCopy(h.Runner, h.Copy(s), now.Add(s.ReadyIn), s.ReadyIn >= 0)
			}
		}
	}
	if len(update.SlotWaits) > 0 {
		waits := make(map[string]time.Duration, len(update.SlotWaits))
		for _, r := range update.SlotWaits {
			waits[r.Runner] = r.Wait
		}
		fleet.SetAdapterSlotWaits(waits)
	}
}

// applySnapshot removes the runners of a domain that a snapshot lacks. The snapshot is complete
// up to the revision up to which its sender has read the store, and does not cover runners that
// were described later.
func (g *Gatekeeper) applySnapshot(domain string, update relayer.News) {
	listed := make(map[string]bool, len(update.Runners))
	for _, r := range update.Runners {
		listed[r.ID] = true
	}
	dropped, newer := 0, 0
	for _, r := range g.controllers[domain].runnerDescriptions() {
		switch {
		case r.Domain != domain, listed[r.ID]:
		case r.Revision > update.Revision:
			newer++
		default:
			dropped++
			g.removeRunner(r.ID, update.Revision, update.From, whyUnlisted) // the sender may have started after an outage; removeRunner then waits for the grace period
		}
	}
	g.Recorder.Log(recorder.View, "msg", "snapshot", "domain", domain, "by", update.From, "fresh", update.Fresh, "revision", update.Revision,
		"runners", len(update.Runners), "dropped", dropped, "later", newer)
}
