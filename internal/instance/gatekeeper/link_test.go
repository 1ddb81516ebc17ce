package gatekeeper

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

func newTestGatekeeper() *Gatekeeper {
	g := &Gatekeeper{
		Config: configurer.Gateway{ID: "front-2", Domain: "a"}, Fleet: &tracker.Fleet{Domain: "a"}, Metrics: metrics.NewSet(),
		Recorder: &recorder.Recorder{Metrics: metrics.NewSet(), Out: io.Discard},
	}
	g.init()
	return g
}

// The store rejects the leader and serves everybody else, and the leader goes on publishing
// outdated runners. Guards against members that rely on it: when a runner drains, they would
// send requests to it until they poll the store themselves.
func TestUpdatesOfALeaderWithoutTheStoreAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		l.apply(relayer.News{Fresh: true, Lease: elector.Lease{Leader: "front-1", Fence: 1}, Renewal: 5})
		if !g.runnersPublished() {
			t.Fatal("does not rely on a fresh update")
		}
		for range 5 {
			time.Sleep(updateInterval)
			l.apply(relayer.News{})
		}
		if l.sinceUpdate() > updateTimeout {
			t.Fatal("no update from the leader; the test proves nothing")
		}
		if g.runnersPublished() {
			t.Error("relies on a leader that has not reached the store")
		}
	})
}

// The store rejects a leader, and a runner registers meanwhile. A member that reads the store
// itself knows it, and receives an older snapshot when it reconnects to the leader. Guards
// against dropping the new runner, or refusing requests that only that one could serve.
func TestOutdatedSnapshotDropsNoRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Pool = &pooler.Pool{}
		l := g.links["a"]
		old := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
		g.setRunner(old, fromStore)
		g.setRunner(tracker.Runner{ID: "i-2", Domain: "a", Service: "llm", Revision: 2}, fromStore)
		l.apply(relayer.News{Revision: 1, Snapshot: true, Runners: []tracker.Runner{old}})
		if _, known := g.Fleet.Get("i-2"); !known {
			t.Error("a runner was dropped that the leader could not know")
		}
		l.apply(relayer.News{Fresh: true, Revision: 2, Snapshot: true, Runners: []tracker.Runner{old}})
		if _, known := g.Fleet.Get("i-2"); known {
			t.Error("a runner that is gone was kept")
		}
	})
}

// An instance restarts and acquires its lease before it has read the runners, as the store is
// slow. Guards against a snapshot without runners: the members dropped all runners of the
// domain and refused every request, until each runner had written its row again.
func TestLeaderPublishesNothingBeforeItHasReadTheRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGatekeeperWithStore()
		g.setViews()
		makeLeader(g, "a")
		err := g.HandleRequest(t.Context(), heartbeater.Instance{ID: "front-1", Domain: "a"}, relayer.Subscribe{Domain: "a"}, nil)
		var refused *judge.Error
		if !errors.As(err, &refused) || refused.Reason != judge.ReasonStarting {
			t.Errorf("got %v, want a refusal because the instance is starting", err)
		}
	})
}

// The store is unavailable for longer than a lease, and no other instance of the domain is
// alive to take over. The leader must detect that the domain is leaderless and acquire its
// lease again when the store is back. When it treated its own ID in the row as proof of a live
// leader, no adapter was loaded for its callers any more.
func TestLeaderDetectsThatItsOwnLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		l.setLeader(elector.Lease{Leader: g.Config.ID, Fence: 1})
		ctx, cancel := context.WithCancel(t.Context())
		go l.reportLoop(ctx)
		time.Sleep(2 * leaderTimeout)
		if !g.controllers["a"].leaderless() {
			t.Error("a domain whose lease expired does not count as leaderless")
		}
		cancel()
		synctest.Wait()
	})
}

// A leader that the store rejects publishes a runner that the member has seen removed from the
// store. Requests must not go there again.
func TestRemovedRunnerIsNotRestoredByAnOldUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		old := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 7}
		g.setRunner(old, fromStore)
		g.Fleet.Remove("i-1", 9)
		g.links["a"].apply(relayer.News{Snapshot: true, Runners: []tracker.Runner{old}})
		if _, known := g.Fleet.Get("i-1"); known {
			t.Error("a removed runner is known again")
		}
		old.Revision = 12 // the runner has registered again
		g.setRunner(old, fromStore)
		if _, known := g.Fleet.Get("i-1"); !known {
			t.Error("a runner that registered again is not known")
		}
	})
}

// Between two updates with loads a member receives other changes. It must not treat runners as
// idle because an update contains no loads, or it would send all its requests to the busiest one.
func TestUpdateWithoutLoadsKeepsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		running := func() int { return g.Fleet.Candidates(tracker.Demand{Service: "llm"}, time.Now())[0].Running }
		runner := tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1}
		l.apply(relayer.News{Snapshot: true, Runners: []tracker.Runner{runner}, HasLoads: true, Loads: map[string]tracker.Load{"i-1": {Running: 7}}})
		l.apply(relayer.News{})
		if n := running(); n != 7 {
			t.Errorf("%d requests of others after an update without loads, want 7", n)
		}
		l.apply(relayer.News{HasLoads: true})
		if n := running(); n != 0 {
			t.Errorf("%d requests of others, want none", n)
		}
	})
}

// The store rejects an instance for a while. Each call is billed, so the pause between them
// grows; the first success resets it.
func TestRetryDelayGrows(t *testing.T) {
	backOff := newBackOff()
	var got []time.Duration
	for _, err := range []error{nil, io.EOF, io.EOF, io.EOF, io.EOF, io.EOF, nil, io.EOF} {
		got = append(got, retryDelay(err, backOff))
	}
	want := []time.Duration{0, minRetryDelay, 2 * minRetryDelay, 4 * minRetryDelay, maxRetryDelay, maxRetryDelay, 0, minRetryDelay}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// All instances start together. Each tries to acquire the lease of its own domain at once; the
// other domains have instances of their own, and trying to acquire their leases too only costs
// calls, unless those domains stay without a leader for a while.
func TestOnlyOwnDomainCountsAsLeaderlessAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Config.Domains = []string{"a", "b"}
		g.init()
		leaderless := func() map[string]bool {
			return map[string]bool{"a": g.controllers["a"].leaderless(), "b": g.controllers["b"].leaderless()}
		}
		if diff := cmp.Diff(map[string]bool{"a": true, "b": false}, leaderless()); diff != "" {
			t.Error(diff)
		}
		time.Sleep(leaderTimeout + foreignTakeoverDelay + time.Second)
		if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, leaderless()); diff != "" {
			t.Error(diff)
		}
	})
}

// A leader fails. The next one must not send orders before the configured quiet period is over,
// counted from the end of the old lease: the old leader may have sent orders until then, and a
// runner that does not check fencing tokens would execute the orders of both in turn.
func TestNewLeaderKeepsTheConfiguredQuietPeriod(t *testing.T) {
	g := newTestGatekeeper()
	g.Config.Bounds.Quiet = 3 * time.Second
	g.init()
	e := &g.controllers["a"].elector
	began := uptime()
	e.ObserveRow(elector.Lease{Leader: "front-1", Fence: 1}, 5, began)
	const step = 50 * time.Millisecond
	now := began
	for {
		if w, ok := e.Next(now); ok {
			e.WriteSucceeded(w, 6, now)
			break
		}
		if now += step; now > began+time.Minute {
			t.Fatal("the lease is never taken over")
		}
	}
	for {
		if _, ok := e.MaySendOrders(now); ok || now > began+time.Minute {
			break
		}
		if w, ok := e.Next(now); ok {
			e.WriteSucceeded(w, 7, now)
		}
		now += step
	}
	if quiet := now - began - leaseDuration; quiet < g.Config.Bounds.Quiet || quiet > 3*g.Config.Bounds.Quiet {
		t.Errorf("orders %s after the end of the old lease, want %s or a little more", quiet, g.Config.Bounds.Quiet)
	}
}
