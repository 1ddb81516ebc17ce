package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// sendSnapshot sends a snapshot of a domain from one instance to another.
func sendSnapshot(from, to *Gatekeeper, domain string) {
	update, _, _ := from.controllers[domain].updateFor(to.Config.ID, -1, true)
	update.From = from.Config.ID
	to.links[domain].apply(update)
}

// newSource returns an instance that leads a domain and has read the runners' table up to a
// version.
func newSource(id, domain string, upTo uint64) *Gatekeeper {
	g := newDomainGatekeeper(id, domain)
	makeLeader(g, domain)
	g.runners.recordCall(nil, upTo, time.Now())
	return g
}

// Requests reached a runner seconds after it had started to drain, from a few of many instances,
// soon after a change of leaders. An instance that had read that the runner drains received a
// slightly older snapshot, and from then on sent the older description in its own snapshots.
// When it read once more that the runner drains, that no longer counted as a change and was not
// published. The logs of the simulation (runners_random_test.go) showed it: "leaving=true
// revision=58", then "leaving=false revision=7" at the same instance.
func TestOlderSnapshotDoesNotHideThatARunnerDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 7}
		draining := ready
		draining.Revision, draining.Leaving = 58, true
		source, behind, member := newSource("a-1", "a", 60), newSource("b-1", "b", 50), newDomainGatekeeper("a-2", "a")
		behind.setRunner(ready, fromStore)
		source.setRunner(ready, fromStore)
		source.setRunner(draining, fromStore)
		sendSnapshot(behind, source, "b")
		sendSnapshot(source, member, "b")
		behind.setRunner(draining, fromStore)
		sendSnapshot(behind, source, "b")
		got, _ := member.Fleet.Get("i-1")
		if diff := cmp.Diff(draining, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a runner that is used forever after a change of the source.
func TestRunnerMissingFromAStaleSnapshotIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, member := newSource("a-1", "a", 50), newSource("a-3", "a", 60), newDomainGatekeeper("a-2", "a")
		one := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 40}
		two := tracker.Runner{ID: "i-2", Domain: "a", Service: "llm", Revision: 41}
		first.setRunner(one, fromStore)
		first.setRunner(two, fromStore)
		second.setRunner(two, fromStore)
		sendSnapshot(first, member, "a")
		time.Sleep(freshFor + time.Millisecond)
		sendSnapshot(second, member, "a")
		if _, known := member.Fleet.Get(one.ID); known {
			t.Error("a runner that the source does not know is still known")
		}
	})
}

// Guards against dropping runners that have just registered: requests would be refused without them.
func TestOlderSnapshotRemovesNoRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, behind := newSource("a-1", "a", 7), newSource("b-1", "b", 5)
		g.setRunner(tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 6}, fromStore)
		sendSnapshot(behind, g, "b")
		if _, known := g.Fleet.Get("i-1"); !known {
			t.Error("a runner was removed that the other instance could not know")
		}
	})
}

// Guards against using a removed runner again: the store reports a removal only once.
func TestRunnerIsNotRestoredByAnOlderDescription(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before []tracker.Runner // read first
	}{
		{"it was known", []tracker.Runner{{ID: "i-1", Domain: "b", Service: "llm", Revision: 3}}},
		{"it was never known", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newDomainGatekeeper("a-1", "a"), newFeedStore()
				g.Store, g.Decoder = s, simDecoder{}
				for _, r := range tc.before {
					g.setRunner(r, fromStore)
				}
				s.version = 10
				if err := g.refresh(t.Context(), &g.runners, 0); err != nil {
					t.Fatal(err)
				}
				behind := newSource("b-1", "b", 5)
				behind.setRunner(tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 5}, fromStore)
				sendSnapshot(behind, g, "b")
				if _, known := g.Fleet.Get("i-1"); known {
					t.Error("a runner that the store removed long ago is known")
				}
			})
		})
	}
}

// Guards against a runner that is used forever because its pending removal was cancelled.
func TestOlderDescriptionCancelsNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("a-1", "a")
		g.Decoder = simDecoder{}
		runner := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 5}
		g.setRunner(runner, fromStore)
		g.recordStoreCall(time.Now(), errNoAnswer)
		time.Sleep(5 * time.Second)
		g.recordStoreCall(time.Now(), nil)
		g.applyRunnerRow(tabler.Row{Key: "runners/i-1", Version: 9, Deleted: true})
		runner.Revision = 7
		g.setRunner(runner, "b-1")
		time.Sleep(2 * removalGrace)
		g.removeExpired()
		if _, known := g.Fleet.Get(runner.ID); known {
			t.Errorf("the runner is known %s after its row was removed", 2*removalGrace)
		}
	})
}

// Guards against snapshots of instances of an earlier version, which carry no revision.
func TestSnapshotWithoutRevisionIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("a-2", "a")
		g.setRunner(tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}, fromStore)
		g.links["b"].apply(relayer.News{Fresh: true})
		g.links["a"].apply(relayer.News{Fresh: true, Snapshot: true})
		if _, known := g.Fleet.Get("i-1"); !known {
			t.Error("a runner was removed")
		}
		if g.runnersPublished() {
			t.Error("relies on updates without a revision")
		}
	})
}

// Guards against instances whose runners differ forever, as only deltas are sent.
func TestSnapshotIsRequestedAfterADivergence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSettledSimulation(t, 2)
		member := s.instances[1].gatekeeper()
		unknown := tracker.Runner{ID: "i-9", Domain: "a", Service: "llm", Revision: s.store.version + 1}
		member.setRunner(unknown, "test")
		s.advance(drainDeadline, c)
		if _, known := member.Fleet.Get(unknown.ID); known {
			t.Errorf("a runner that nobody else knows is known for %s", drainDeadline)
		}
	})
}
