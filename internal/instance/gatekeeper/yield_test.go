package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against a leader that is cut off from its runners but not from the store and goes on
// renewing its lease. No adapter is loaded in its domain meanwhile: callers of 30 runners were
// refused for twelve seconds. It must step down for an instance that reaches them, and must not
// where a single runner fails or all runners are down.
func TestHolderThatDoesNotReachItsRunnersGivesUp(t *testing.T) {
	const runners = 30
	for _, tc := range []struct {
		name     string
		dark     int
		answered bool // other instances report responses
		after    time.Duration
		want     bool
	}{
		{"all unresponsive, responses elsewhere", runners, true, severedFor, true},
		{"all unresponsive for a moment", runners, true, severedFor / 2, false},
		{"all down", runners, false, severedFor, false},
		{"a third unresponsive", runners / 3, true, 10 * severedFor, false},
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
				t.Errorf("steps down: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against an instance that does not reach the runners either and acquires the freed lease
// before those that do had time to.
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
			t.Error("acquires a lease without reaching the runners")
		}
		time.Sleep(deferredFor)
		if d.deferred() {
			t.Error("never acquires the lease")
		}
	})
}

// Guards against a leader that cannot reach the store while others can, as they publish. Its lease
// lasts for seconds, and what it publishes about runners that leave is stale: it must step down.
// In an outage for all instances it stays leader, as no other could acquire the lease.
func TestHolderThatTheStoreTurnsAwayGivesUp(t *testing.T) {
	for _, tc := range []struct {
		name    string
		renewed time.Duration // ago
		reached time.Duration // ago, by another leader; negative for never
		after   time.Duration // duration of this state
		want    bool
	}{
		{"both reach the store", time.Second, 0, strandedWait, false},
		{"only this one does not", strandedFor + time.Second, 200 * time.Millisecond, strandedWait, true},
		{"another one just has, after an outage for all", strandedFor + time.Second, 200 * time.Millisecond, strandedWait / 2, false},
		{"no instance does", strandedFor + time.Second, strandedFor, strandedWait, false},
		{"there is no other leader", strandedFor + time.Second, -1, strandedWait, false},
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
				t.Errorf("steps down: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a domain without a leader for the rest of a lease: a leader that does not reach the
// store cannot clear its row, and publishes to its members that it stepped down. One of them must
// acquire the lease at once, although the row still names the old leader.
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
			t.Fatalf("lease row names %q before the leader stepped down", holder)
		}
		l.take(relayer.News{Ended: 3})
		d.tenure(t.Context())
		time.Sleep(100 * time.Millisecond)
		if holder := ownTenure(t, store).Holder; holder != g.Config.ID {
			t.Errorf("lease row names %q, want this instance", holder)
		}
		if _, acts := d.acts(); acts {
			t.Error("sends orders within the quiet time")
		}
	})
}
