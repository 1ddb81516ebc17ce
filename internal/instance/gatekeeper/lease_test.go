package gatekeeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// readLease decodes the lease row of domain a.
func readLease(t *testing.T, s *feedStore) elector.Lease {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var lease elector.Lease
	if err := encoder.Unmarshal(s.rows[tableLeases+"/a"].Value, &lease); err != nil {
		t.Fatal(err)
	}
	return lease
}

// putLease writes the lease row of domain a.
func putLease(t *testing.T, s *feedStore, lease elector.Lease) {
	t.Helper()
	value, err := encoder.Marshal(lease)
	if err != nil {
		t.Fatal(err)
	}
	s.put(tabler.Row{Key: tableLeases + "/a", Value: value})
}

// Guards against a lease row that stays after a graceful stop: a renewal in flight changes the row
// just before it is to be cleared. No adapter would be loaded in the domain until the lease
// expired, for nine seconds.
func TestGracefulStopReleasesLeaseDuringRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		d := g.controllers["a"]
		lease := elector.Lease{Leader: g.Config.ID, Fence: 1, Serial: 7, Settled: true}
		putLease(t, store, lease)
		d.elector.ObserveRow(lease, store.version, uptime())
		w, _ := d.elector.Next(uptime())
		d.elector.WriteSucceeded(w, store.version, uptime())
		putLease(t, store, w.Row) // the renewal; its response has not arrived yet
		release, _ := d.elector.Leave(uptime())
		d.releaseRow(t.Context(), release)
		if leader := readLease(t, store).Leader; leader != "" {
			t.Errorf("lease row names %s, want no leader", leader)
		}
	})
}

// Guards against a stopping instance that clears the row of the next leader.
func TestGracefulStopKeepsLeaseOfNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		d := g.controllers["a"]
		makeLeader(g, "a")
		putLease(t, store, elector.Lease{Leader: "front-9", Fence: 2})
		release, _ := d.elector.Leave(uptime())
		d.releaseRow(t.Context(), release)
		if leader := readLease(t, store).Leader; leader != "front-9" {
			t.Errorf("lease row names %q, want front-9", leader)
		}
	})
}

// Guards against a freed lease that is acquired only at the next poll: where 27 instances stagger
// their polls, callers of the domain had no adapters for five seconds.
func TestFreeLeaseIsAcquiredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		d := g.controllers["a"]
		d.elector.TakeoverDelay = 0
		d.elector.ObserveRemote(elector.Lease{Leader: "front-1", Fence: 1}, store.version, 0, uptime())
		putLease(t, store, elector.Lease{Fence: 1, Serial: 9})
		d.polling, d.nextPoll = true, uptime()
		d.maintainLease(t.Context()) // polls the row
		time.Sleep(100 * time.Millisecond)
		d.maintainLease(t.Context())
		time.Sleep(100 * time.Millisecond)
		if leader := readLease(t, store).Leader; leader != g.Config.ID {
			t.Errorf("lease row names %q, want this instance", leader)
		}
	})
}

// Guards against polling too late or too often while a domain has no leader: the row may have been
// cleared, but 35 instances that each poll once a second only cost calls.
func TestLeasePollsAreStaggered(t *testing.T) {
	for _, instances := range []int{1, 8, 35, 100} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			var all []*controller
			for range instances {
				g := newTestGatekeeper()
				g.headcount.observe(instances, time.Now())
				all = append(all, g.controllers["a"])
			}
			polls, firstPoll := 0, time.Duration(-1)
			const step, span = 25 * time.Millisecond, 9 * time.Second
			for now := time.Duration(0); now < span; now += step {
				for _, d := range all {
					if d.pollDue(now) {
						polls++
						if firstPoll < 0 {
							firstPoll = now
						}
					}
				}
			}
			if firstPoll > pollInterval {
				t.Errorf("first poll after %s", firstPoll)
			}
			if limit := int(span/pollInterval+1) * max(pollsPerInterval+1, min(instances, pollsPerInterval+1)); polls > limit {
				t.Errorf("%d polls, want at most %d", polls, limit)
			}
		})
	}
}

// A probedEngine answers report requests, or fails them.
type probedEngine struct {
	Engine
	answers bool
}

// Report implements Engine.
func (e probedEngine) Report(context.Context, tracker.Runner) (placer.Report, error) {
	if !e.answers {
		return placer.Report{}, errNoAnswer
	}
	return placer.Report{}, nil
}

// Guards against a new leader that does not reach the runners. A third of the instances are cut off
// from the runners but not from the store, and a lease is free; one of them that acquires it
// loads nothing and keeps the others from leading.
func TestTakeoverRequiresReachableRunners(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint("answers: ", answers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, store := newGatekeeperWithStore()
				g.Engine = probedEngine{answers: answers}
				g.setRunner(tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Slots: 8, Models: []string{"m"}, Revision: 1}, fromStore)
				d := g.controllers["a"]
				d.elector.TakeoverDelay = 0
				released := elector.Lease{Fence: 4}
				putLease(t, store, released)
				d.elector.ObserveRow(released, store.version, uptime())
				d.maintainLease(t.Context())
				time.Sleep(100 * time.Millisecond)
				if acquired := readLease(t, store).Leader == g.Config.ID; acquired != answers {
					t.Errorf("acquired the lease: %v", acquired)
				}
			})
		})
	}
}
