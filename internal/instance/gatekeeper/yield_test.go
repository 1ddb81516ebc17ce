package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A holder is cut off from its runners and not from the store. It renews its tenure,
// and until the cut is over no adapter is loaded in its domain: callers of 30 runners
// were refused for twelve seconds. It has to make room for an instance that reaches
// them, and to stay where a single runner fails or all of them are gone.
func TestHolderThatDoesNotReachItsRunnersGivesUp(t *testing.T) {
	const runners = 30
	for _, tc := range []struct {
		name     string
		dark     int
		answered bool // others tell of answers
		after    time.Duration
		want     bool
	}{
		{"all are dark, and others are answered", runners, true, severedFor, true},
		{"all are dark for a moment", runners, true, severedFor / 2, false},
		{"all are gone", runners, false, severedFor, false},
		{"a third is dark", runners / 3, true, 10 * severedFor, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s severance
			start := time.Now()
			got := false
			for at := time.Duration(0); at <= tc.after; at += leadEvery {
				now := start.Add(at)
				if tc.answered {
					s.elsewhere = now
				}
				got = s.look(tc.dark, runners, now)
			}
			if got != tc.want {
				t.Errorf("gives up: %v, want %v", got, tc.want)
			}
		})
	}
}

// An instance that does not reach the runners either must not take the freed tenure
// before those that do have had the time to.
func TestTenureIsLeftToThoseThatReachTheRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.links["a"].heard = time.Now()
		for n := range 4 {
			id := string(rune('a' + n))
			g.Fleet.Set(tracker.Runner{ID: id, Domain: "a", Service: "llm", Revision: 1})
			end := tracker.Dark
			if n == 0 {
				end = tracker.Done
			}
			g.Fleet.Begin(id, 0, time.Now()).End(end, time.Now())
		}
		d := g.controllers["a"]
		time.Sleep(quietDomain)
		if !d.deferred() {
			t.Error("takes a tenure whose runners it does not reach")
		}
		time.Sleep(deferredFor)
		if d.deferred() {
			t.Error("leaves it to nobody for good")
		}
	})
}

// The store turns a holder away and serves the others, which say so. Its lease lasts
// for seconds yet, and what it tells its members of runners that leave is old: it must
// make room. In an outage for all it keeps what it holds, as nobody could take it.
func TestHolderThatTheStoreTurnsAwayGivesUp(t *testing.T) {
	for _, tc := range []struct {
		name    string
		renewed time.Duration // ago
		reached time.Duration // ago, by another holder; negative for never
		after   time.Duration // that it is so for
		want    bool
	}{
		{"both reach it", time.Second, 0, strandedWait, false},
		{"it alone is turned away", strandedFor + time.Second, 200 * time.Millisecond, strandedWait, true},
		{"another one has just reached it, after an outage for all", strandedFor + time.Second, 200 * time.Millisecond, strandedWait / 2, false},
		{"nobody reaches it", strandedFor + time.Second, strandedFor, strandedWait, false},
		{"there is nobody else", strandedFor + time.Second, -1, strandedWait, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newTestGatekeeper()
			d := g.controllers["a"]
			d.elector.Late = 0
			sent := uptime() - tc.renewed
			d.elector.Read(elector.Tenure{}, 0, sent)
			w, _ := d.elector.Next(sent)
			d.elector.Written(w, 1, sent)
			start, got := time.Now(), false
			for at := time.Duration(0); at <= tc.after; at += leadEvery {
				now := start.Add(at)
				if tc.reached >= 0 {
					g.reached.advance(now.Add(-tc.reached))
				}
				got = d.stranded(now)
			}
			if got != tc.want {
				t.Errorf("gives up: %v, want %v", got, tc.want)
			}
		})
	}
}

// A holder that does not reach the store cannot free its row, and tells its members
// instead. One of them has to take the tenure at once, though the row still names the
// old holder for the rest of its lease.
func TestMembersTakeOverWhatTheyAreToldIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		d, l := g.controllers["a"], g.links["a"]
		d.elector.Late = 0
		held := elector.Tenure{Holder: "front-1", Fence: 3}
		putTenure(t, store, held)
		l.take(relayer.News{Tenure: held, Renewal: store.version})
		d.tenure(t.Context())
		time.Sleep(100 * time.Millisecond)
		if holder := ownTenure(t, store).Holder; holder != "front-1" {
			t.Fatalf("the row names %q before the tenure was given up", holder)
		}
		l.take(relayer.News{Ended: 3})
		d.tenure(t.Context())
		time.Sleep(100 * time.Millisecond)
		if holder := ownTenure(t, store).Holder; holder != g.Config.ID {
			t.Errorf("the row names %q", holder)
		}
		if _, acts := d.acts(); acts {
			t.Error("orders within the quiet time")
		}
	})
}
