package gatekeeper

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// tellList has an instance tell another all that it knows of a domain.
func tellList(from, to *Gatekeeper, domain string) {
	news, _, _ := from.controllers[domain].digest(to.Config.ID, -1, true)
	news.From = from.Config.ID
	to.links[domain].take(news)
}

// newTeller returns an instance that holds a tenure and has read the runners' table up to
// a version.
func newTeller(id, domain string, upTo uint64) *Gatekeeper {
	g := newChained(id, domain)
	hold(g, domain)
	g.runners.reached(nil, upTo, time.Now())
	return g
}

// Requests reached a runner seconds after it had said that it leaves, from a few of many
// instances, soon after the tenures of two failure domains had changed hands. An instance
// that had just read that the runner leaves was told a list that was a moment older, and
// from then on told the older description to whoever asked it for a list; when the leaving
// came by the other way too it was nothing new, and nobody was told. Proved by this order
// of events, and by the logs of the random check below, where the same instance logs
// "leaving=true revision=58 by=store" and then "leaving=false revision=7" by another one.
func TestRunnerThatLeavesIsToldAsLeavingAfterAnOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 7}
		leaves := ready
		leaves.Revision, leaves.Leaving = 58, true
		teller, behind, member := newTeller("a-1", "a", 60), newTeller("b-1", "b", 50), newChained("a-2", "a")
		behind.setRunner(ready, fromStore)
		teller.setRunner(ready, fromStore)
		teller.setRunner(leaves, fromStore)
		tellList(behind, teller, "b")
		tellList(teller, member, "b")
		behind.setRunner(leaves, fromStore)
		tellList(behind, teller, "b")
		told, _ := member.Fleet.Get("i-1")
		if diff := cmp.Diff(leaves, told); diff != "" {
			t.Error(diff)
		}
	})
}

// An instance changes its teller. A runner that left meanwhile is not in the list of the
// new one, which has not had an answer of the store for a second; its next words tell only
// what changes. The runner must not be used on for as long as this instance is told.
func TestRunnerMissingFromAListThatIsNotFreshIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, member := newTeller("a-1", "a", 50), newTeller("a-3", "a", 60), newChained("a-2", "a")
		one := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 40}
		two := tracker.Runner{ID: "i-2", Domain: "a", Service: "llm", Revision: 41}
		first.setRunner(one, fromStore)
		first.setRunner(two, fromStore)
		second.setRunner(two, fromStore)
		tellList(first, member, "a")
		time.Sleep(freshFor + time.Millisecond)
		tellList(second, member, "a")
		if _, known := member.Fleet.Get(one.ID); known {
			t.Error("a runner is known that the teller does not list")
		}
	})
}

// An instance reads the store, and is then told a list by one that has read it a moment
// earlier. It must not give up the runners that have registered in between: requests were
// refused for want of them until each wrote its row again.
func TestOlderListGivesUpNoRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, behind := newTeller("a-1", "a", 7), newTeller("b-1", "b", 5)
		g.setRunner(tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 6}, fromStore)
		tellList(behind, g, "b")
		if _, known := g.Fleet.Get("i-1"); !known {
			t.Error("a runner was given up that the other instance could not know")
		}
	})
}

// An instance has read that a runner is gone, or never knew it, and is told a description
// from before. The store will not tell it of the removal again, so the runner would be
// used for as long as the process lives.
func TestRunnerIsNotBroughtBackByAnOlderDescription(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before []tracker.Runner // read first
	}{
		{"it was known", []tracker.Runner{{ID: "i-1", Domain: "b", Service: "llm", Revision: 3}}},
		{"it was never known", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newChained("a-1", "a"), newFeedStore()
				g.Store, g.Decoder = s, siteDecoder{}
				for _, r := range tc.before {
					g.setRunner(r, fromStore)
				}
				s.version = 10
				if err := g.refresh(t.Context(), &g.runners, 0); err != nil {
					t.Fatal(err)
				}
				behind := newTeller("b-1", "b", 5)
				behind.setRunner(tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 5}, fromStore)
				tellList(behind, g, "b")
				if _, known := g.Fleet.Get("i-1"); known {
					t.Error("a runner is known that the store has not had for long")
				}
			})
		})
	}
}

// The row of a runner is gone, and its removal waits as the store has just come back. A
// description from before the removal must not call it off, or the runner is used for good.
func TestOlderDescriptionDoesNotCallARemovalOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newChained("a-1", "a")
		g.Decoder = siteDecoder{}
		runner := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 5}
		g.setRunner(runner, fromStore)
		g.sawStore(time.Now(), errNoAnswer)
		time.Sleep(5 * time.Second)
		g.sawStore(time.Now(), nil)
		g.runnerRow(tabler.Row{Key: "runners/i-1", Version: 9, Removed: true})
		runner.Revision = 7
		g.setRunner(runner, "b-1")
		time.Sleep(2 * lapse)
		g.due()
		if _, known := g.Fleet.Get(runner.ID); known {
			t.Errorf("the runner is known %s after its row was removed", 2*lapse)
		}
	})
}

// A list is taken for what it says only as far as its teller has read the store. An
// instance of an earlier version says nothing of that, and must not be trusted with what
// there is: whoever is told by it asks the store itself.
func TestListOfUnknownAgeIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newChained("a-2", "a")
		g.setRunner(tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}, fromStore)
		g.links["b"].take(relayer.News{Fresh: true})
		g.links["a"].take(relayer.News{Fresh: true, Whole: true})
		if _, known := g.Fleet.Get("i-1"); !known {
			t.Error("a runner was given up")
		}
		if g.told() {
			t.Error("believes that it is told")
		}
	})
}

// Two instances differ in what they know of the runners, for whatever reason. Told only of
// changes they would differ for good.
func TestListIsAskedForAgainWhereKnowledgeDiffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, rand.New(rand.NewPCG(1, 1)), 1, 2)
		defer synctest.Wait()
		defer s.end()
		s.addRunner("a")
		w := newWitness(s)
		s.pass(5*time.Second, w)
		member := s.instances[1].now()
		ghost := tracker.Runner{ID: "i-9", Domain: "a", Service: "llm", Revision: s.store.version + 1}
		member.setRunner(ghost, "test")
		s.pass(drainTime, w)
		if _, known := member.Fleet.Get(ghost.ID); known {
			t.Errorf("a runner that nobody else knows is known for %s", drainTime)
		}
	})
}
