package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Rows of living runners lapse while the store is away, and runners write them again within
// about two seconds of its return. A removal that is read just after an outage is pending
// until then: executed at once, it would cost runners that live.

// pendingRemovals are the removals that may be mistaken, by runner.
type pendingRemovals map[string]pendingRemoval

// A pendingRemoval is executed after the grace time, unless the runner is described anew.
type pendingRemoval struct {
	revision uint64
	by       string // instance that told of it, or the store
	why      string
}

const (
	// removalGrace is how long after the store's return a row may come back.
	removalGrace = 2500 * time.Millisecond
	// settled is how long after any trouble no instance uses a runner that has left. It is
	// the shortest that any deployment asks for.
	settled = 3 * time.Second
	// graceAfterTrouble bounds the grace time by this instance's last trouble, as the store may
	// have been back soon after it. What is left is for the removal to reach everybody.
	graceAfterTrouble = settled - 200*time.Millisecond
	// expireEvery is how often it is looked whether the grace time is over.
	expireEvery = 50 * time.Millisecond
	// stoodStillFor is the time without such a look after which the instance has stood still.
	stoodStillFor = time.Second
)

// cancelRemoval cancels the pending removal of a runner that was described anew since.
func (g *Gatekeeper) cancelRemoval(r tracker.Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pending, ok := g.pending[r.ID]; ok && r.Revision > pending.revision {
		delete(g.pending, r.ID)
	}
}

// remove takes a runner out, at once or after the grace time.
func (g *Gatekeeper) remove(id string, revision uint64, by, why string) {
	now := time.Now()
	due := g.removalDue(now)
	if !due.After(now) {
		g.removeNow(id, revision, by, why)
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
	g.Recorder.Log(recorder.Belief, "msg", "runner may be gone", "runner", id, "revision", revision, "by", by, "why", why,
		"until", due.Sub(now))
}

// removalDue returns when the grace time ends; a time that has passed if there is none.
func (g *Gatekeeper) removalDue(now time.Time) time.Time {
	returned, away := g.storeUp.returned(now)
	if !away {
		return time.Time{}
	}
	due := returned.Add(removalGrace)
	trouble := g.storeUp.lastAway()
	if latest := trouble.Add(graceAfterTrouble); returned.Sub(trouble) <= nextCall && latest.Before(due) {
		return latest
	}
	return due
}

// expireRemovals executes pending removals after the grace time, until ctx ends.
func (g *Gatekeeper) expireRemovals(ctx context.Context) {
	repeater.Every(ctx, expireEvery, nil, g.removeExpired)
}

// removeExpired executes the pending removals if the grace time is over.
func (g *Gatekeeper) removeExpired() {
	g.learning.Lock()
	defer g.learning.Unlock()
	now := time.Now()
	if !g.looked.IsZero() && now.Sub(g.looked) > stoodStillFor {
		g.storeUp.stoodStill(now)
	}
	g.looked = now
	if !g.hasPending() || g.removalDue(now).After(now) {
		return
	}
	g.mu.Lock()
	expired := g.pending
	g.pending = nil
	g.mu.Unlock()
	for id, r := range expired {
		g.removeNow(id, r.revision, r.by, r.why)
	}
}

// hasPending reports whether removals are pending.
func (g *Gatekeeper) hasPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}
