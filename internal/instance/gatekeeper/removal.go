package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Rows of live runners expire during a store outage, and runners write them again within about
// two seconds of its end. A removal that is read just after an outage is held back until then;
// if it were executed at once, live runners would be lost.

// pendingRemovals holds the removals that may be mistaken, by runner ID.
type pendingRemovals map[string]pendingRemoval

// A pendingRemoval is executed after the grace period, unless a newer description of the runner
// arrives.
type pendingRemoval struct {
	revision uint64
	by       string // instance that published the removal, or the store
	why      string
}

const (
	// removalGrace is how long after the end of a store outage a row may be written again.
	removalGrace = 2500 * time.Millisecond
	// removalSpread is the time after any fault by which no instance uses a runner that has
	// left. It is the shortest that any deployment requires.
	removalSpread = 3 * time.Second
	// graceAfterFault limits the grace period relative to this instance's last failed store
	// call, as the store may have recovered soon after it. The remainder of removalSpread is
	// for the removal to reach all instances.
	graceAfterFault = removalSpread - 200*time.Millisecond
	// expiryInterval is the interval of the checks whether the grace period is over.
	expiryInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two such checks that shows that the process was paused.
	pauseThreshold = time.Second
)

// cancelRemoval cancels the pending removal of a runner for which a newer description arrived.
func (g *Gatekeeper) cancelRemoval(r tracker.Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pending, ok := g.pending[r.ID]; ok && r.Revision > pending.revision {
		delete(g.pending, r.ID)
	}
}

// removeRunner removes a runner, at once or after the grace period.
func (g *Gatekeeper) removeRunner(id string, revision uint64, by, why string) {
	now := time.Now()
	due := g.removalDue(now)
	if !due.After(now) {
		g.removeRunnerNow(id, revision, by, why)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = make(pendingRemovals)
	}
	if _, pending := g.pending[id]; pending {
		return
	}
	g.pending[id] = pendingRemoval{revision: revision, by: by, why: why}
	g.Recorder.Log(recorder.View, "msg", "runner removal pending", "runner", id, "revision", revision, "by", by, "why", why,
		"until", due.Sub(now))
}

// removalDue returns when the grace period ends; a time in the past if there is none.
func (g *Gatekeeper) removalDue(now time.Time) time.Time {
	recovered, wasDown := g.storeUp.recoveredAt(now)
	if !wasDown {
		return time.Time{}
	}
	due := recovered.Add(removalGrace)
	lastFault := g.storeUp.lastUnavailable()
	if latest := lastFault.Add(graceAfterFault); recovered.Sub(lastFault) <= maxCallInterval && latest.Before(due) {
		return latest
	}
	return due
}

// expireRemovals executes pending removals after the grace period, until ctx ends.
func (g *Gatekeeper) expireRemovals(ctx context.Context) {
	repeater.Every(ctx, expiryInterval, nil, g.removeExpired)
}

// removeExpired executes the pending removals if the grace period is over.
func (g *Gatekeeper) removeExpired() {
	g.runnerUpdateMu.Lock()
	defer g.runnerUpdateMu.Unlock()
	now := time.Now()
	if !g.expiryCheckedAt.IsZero() && now.Sub(g.expiryCheckedAt) > pauseThreshold {
		g.storeUp.recordStall(now)
	}
	g.expiryCheckedAt = now
	if !g.hasPending() || g.removalDue(now).After(now) {
		return
	}
	g.mu.Lock()
	expired := g.pending
	g.pending = nil
	g.mu.Unlock()
	for id, r := range expired {
		g.removeRunnerNow(id, r.revision, r.by, r.why)
	}
}

// hasPending reports whether there are pending removals.
func (g *Gatekeeper) hasPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}
