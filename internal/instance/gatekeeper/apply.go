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
func (l *link) apply(n relayer.News) {
	now := time.Now()
	g := l.gatekeeper
	if n.ReleasedFence > 0 {
		l.leaderEnded(n.ReleasedFence)
		return
	}
	g.applyReachability(n, now)
	matches := l.applyRunners(n)
	l.mu.Lock()
	l.diverged.observe(matches, now)
	if n.Fresh && matches {
		l.freshAt = now
	}
	if sent := now.Add(-n.SinceLeaderUpdate); sent.After(l.lastUpdate) {
		l.lastUpdate = sent
	}
	if n.HasLoads {
		l.setMembers(n.Members)
	}
	l.mu.Unlock()
	if n.Lease.Leader != "" {
		l.setLeader(n.Lease)
	}
	g.applyTables(n.Tables, now)
	if n.Operator.Newest > 0 && g.operator.observeVersion(n.Operator.Newest, now) {
		g.operator.confirmedAt.advance(now.Add(-n.Operator.Age))
	}
	if lacksLeaderState(n) {
		return
	}
	l.applyCopies(n, now)
	d := g.controllers[l.domain]
	d.recordUpdate(n, now)
	if n.HasLoads {
		others := maps.Clone(n.Loads)
		if others == nil {
			others = make(map[string]tracker.Load)
		}
		addLoads(others, d.relayedLoads(now))
		g.Fleet.SetOtherLoads(l.domain, others)
	}
	g.Fleet.SetLeaderPresent(l.domain, n.Acting)
	g.Fleet.SetLoadQueueWait(l.domain, n.LoadQueueWait)
	g.Fleet.SetLoadTimes(l.domain, tracker.LoadTimes{Load: n.LoadTime, Reload: n.ReloadTime})
	d.recordRenewal(n.Lease, n.Renewal, n.Age)
}

// applyReachability records since when another leader has reached the store.
func (g *Gatekeeper) applyReachability(n relayer.News, now time.Time) {
	if n.Operator.Newest > 0 {
		at := now.Add(-n.Operator.Age)
		g.othersReachedStoreAt.advance(at)
		g.storeUp.observeOthers(at, at, now)
	}
	if n.StoreReached != (relayer.Span{}) {
		g.storeUp.observeOthers(now.Add(-n.StoreReached.First), now.Add(-n.StoreReached.Last), now)
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
func (l *link) applyRunners(n relayer.News) (matches bool) {
	g := l.gatekeeper
	g.runnerUpdateMu.Lock()
	defer g.runnerUpdateMu.Unlock()
	if n.Snapshot {
		g.applySnapshot(l.domain, n)
	}
	for _, r := range n.Runners {
		g.setRunner(r, n.From)
	}
	for _, removal := range n.Removed {
		if known, ok := g.Fleet.Get(removal.Runner); !ok || known.Revision <= removal.Revision { // else it was described again since
			g.removeRunnerNow(removal.Runner, removal.Revision, n.From, whyPublished)
		}
	}
	if n.Snapshot {
		g.Fleet.CompleteTo(l.domain, n.Revision)
	}
	return g.matches(l.domain, n)
}

// applyCopies applies which copies the runners hold, and how long copies wait for an adapter
// slot.
func (l *link) applyCopies(n relayer.News, now time.Time) {
	fleet := l.gatekeeper.Fleet
	if n.Snapshot {
		copies := make(map[string]map[placer.Copy]time.Time)
		for _, h := range n.Held {
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
		for _, h := range n.Held {
			for _, s := range h.Copies {
				fleet.SetHeldCopy(h.Runner, h.Copy(s), now.Add(s.ReadyIn), s.ReadyIn >= 0)
			}
		}
	}
	if len(n.SlotWaits) > 0 {
		waits := make(map[string]time.Duration, len(n.SlotWaits))
		for _, r := range n.SlotWaits {
			waits[r.Runner] = r.Wait
		}
		fleet.SetAdapterSlotWaits(waits)
	}
}

// applySnapshot removes the runners of a domain that a snapshot lacks. The snapshot is complete
// up to the revision up to which its sender has read the store, and does not cover runners that
// were described later.
func (g *Gatekeeper) applySnapshot(domain string, n relayer.News) {
	listed := make(map[string]bool, len(n.Runners))
	for _, r := range n.Runners {
		listed[r.ID] = true
	}
	dropped, newer := 0, 0
	for _, r := range g.controllers[domain].runnerDescriptions() {
		switch {
		case r.Domain != domain, listed[r.ID]:
		case r.Revision > n.Revision:
			newer++
		default:
			dropped++
			g.removeRunner(r.ID, n.Revision, n.From, whyUnlisted) // the sender may have started after an outage; removeRunner then waits for the grace period
		}
	}
	g.Recorder.Log(recorder.View, "msg", "snapshot", "domain", domain, "by", n.From, "fresh", n.Fresh, "revision", n.Revision,
		"runners", len(n.Runners), "dropped", dropped, "later", newer)
}
