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

// The store turns the holder of the tenure away and serves everybody else. The
// holder goes on telling its members, but of runners as they were. A runner
// leaves, and its members send requests to it for as long as they believe that
// they are told: they must ask the store themselves.
func TestNewsOfAHolderWithoutTheStoreIsNotBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		l.take(relayer.News{Fresh: true, Tenure: elector.Tenure{Holder: "front-1", Fence: 1}, Renewal: 5})
		if !g.told() {
			t.Fatal("fresh news is not believed")
		}
		for range 5 {
			time.Sleep(beat)
			l.take(relayer.News{})
		}
		if l.silence() > unheard {
			t.Fatal("the holder is silent; the test shows nothing")
		}
		if g.told() {
			t.Error("believes a holder that has not reached the store")
		}
	})
}

// The store turns a holder away, and a runner registers meanwhile. A member that
// reads the store itself knows it; when its link to the holder is made anew it is told
// of all runners as they were. It must not drop the new one, or refuse what only that
// one could take.
func TestOldNewsOfAllRunnersDropsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Pool = &pooler.Pool{}
		l := g.links["a"]
		old := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
		g.setRunner(old, fromStore)
		g.setRunner(tracker.Runner{ID: "i-2", Domain: "a", Service: "llm", Revision: 2}, fromStore)
		l.take(relayer.News{Revision: 1, Whole: true, Runners: []tracker.Runner{old}})
		if _, there := g.Fleet.Get("i-2"); !there {
			t.Error("a runner was dropped that the holder could not know")
		}
		l.take(relayer.News{Fresh: true, Revision: 2, Whole: true, Runners: []tracker.Runner{old}})
		if _, there := g.Fleet.Get("i-2"); there {
			t.Error("a runner is kept that is gone")
		}
	})
}

// An instance starts again and takes its tenure over before it has read the runners,
// as the store is slow. Whatever it told its members of them would be that there are
// none: they dropped all runners of the domain and refused every request, until each
// runner had written its row anew.
func TestHolderTellsNothingBeforeItKnowsTheRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newFedGatekeeper()
		g.setViews()
		hold(g, "a")
		err := g.Answer(t.Context(), heartbeater.Instance{ID: "front-1", Domain: "a"}, relayer.Subscribe{Domain: "a"}, nil)
		var refused *judge.Error
		if !errors.As(err, &refused) || refused.Reason != judge.ReasonStarting {
			t.Errorf("got %v, want a refusal as it is starting", err)
		}
	})
}

// The store is away for longer than a lease; no other instance of the domain
// lives to take the tenure over. Its holder must see that nobody gives orders,
// itself included, and take it again when the store is back. Taking its own name
// in the row for a sign of life, it left its callers without further adapters
// for good.
func TestHolderWhoseTenureRanOutSeesThatItIsVacant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		l.setHolder(elector.Tenure{Holder: g.Config.ID, Fence: 1})
		ctx, cancel := context.WithCancel(t.Context())
		go l.speak(ctx)
		time.Sleep(2 * quietDomain)
		if !g.controllers["a"].vacant() {
			t.Error("believes that the tenure is held")
		}
		cancel()
		synctest.Wait()
	})
}

// The same holder tells a new member of a runner that the member itself has seen
// leave the store. Requests must not go there again.
func TestRunnerThatIsGoneIsNotBroughtBackByOldNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		old := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 7}
		g.setRunner(old, fromStore)
		g.Fleet.Remove("i-1", 9)
		g.links["a"].take(relayer.News{Whole: true, Runners: []tracker.Runner{old}})
		if _, there := g.Fleet.Get("i-1"); there {
			t.Error("a runner that is gone is back")
		}
		old.Revision = 12 // it has registered again
		g.setRunner(old, fromStore)
		if _, there := g.Fleet.Get("i-1"); !there {
			t.Error("a runner that registered again is not there")
		}
	})
}

// Between two tellings of loads a member hears of other changes. It must not
// take their silence about loads for idle runners, or it would send all its
// requests to the busiest one.
func TestNewsWithoutLoadsLeavesThemAsTheyWere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		l := g.links["a"]
		running := func() int { return g.Fleet.Candidates(tracker.Demand{Service: "llm"}, time.Now())[0].Running }
		runner := tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1}
		l.take(relayer.News{Whole: true, Runners: []tracker.Runner{runner}, Loaded: true, Loads: map[string]tracker.Load{"i-1": {Running: 7}}})
		l.take(relayer.News{})
		if n := running(); n != 7 {
			t.Errorf("%d requests of others, want 7", n)
		}
		l.take(relayer.News{Loaded: true})
		if n := running(); n != 0 {
			t.Errorf("%d requests of others, want none", n)
		}
	})
}

// The store turns an instance away for a while. Each call is paid for, so the
// pause between them grows; the first answer ends it.
func TestPauseAfterFailedCallsGrows(t *testing.T) {
	failed := newPauses()
	var got []time.Duration
	for _, err := range []error{nil, io.EOF, io.EOF, io.EOF, io.EOF, io.EOF, nil, io.EOF} {
		got = append(got, pauseAfter(err, failed))
	}
	want := []time.Duration{0, again, 2 * again, 4 * again, lastAgain, lastAgain, 0, again}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// All instances start together. Each looks at once after the tenure of its own
// domain; the others' have instances of their own, and asking for them as well
// only costs, unless nobody takes them for a while.
func TestAtAStartOnlyTheOwnTenureIsLookedAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Config.Domains = []string{"a", "b"}
		g.init()
		vacant := func() map[string]bool {
			return map[string]bool{"a": g.controllers["a"].vacant(), "b": g.controllers["b"].vacant()}
		}
		if diff := cmp.Diff(map[string]bool{"a": true, "b": false}, vacant()); diff != "" {
			t.Error(diff)
		}
		time.Sleep(quietDomain + foreignLate + time.Second)
		if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, vacant()); diff != "" {
			t.Error(diff)
		}
	})
}

// The holder of a tenure dies. Whoever takes it over must not order before the
// quiet time that the settings ask for, counted from when the old lease has run
// out: the old holder may have ordered until then, and a runner that checks no
// fencing numbers would take turns between the two.
func TestNewHolderKeepsTheQuietTimeOfTheSettings(t *testing.T) {
	g := newTestGatekeeper()
	g.Config.Bounds.Quiet = 3 * time.Second
	g.init()
	e := &g.controllers["a"].elector
	began := uptime()
	e.Read(elector.Tenure{Holder: "front-1", Fence: 1}, 5, began)
	const step = 50 * time.Millisecond
	now := began
	for {
		if w, ok := e.Next(now); ok {
			e.Written(w, 6, now)
			break
		}
		if now += step; now > began+time.Minute {
			t.Fatal("never takes over")
		}
	}
	for {
		if _, acts := e.Acts(now); acts || now > began+time.Minute {
			break
		}
		if w, ok := e.Next(now); ok {
			e.Written(w, 7, now)
		}
		now += step
	}
	if quiet := now - began - lease; quiet < g.Config.Bounds.Quiet || quiet > 3*g.Config.Bounds.Quiet {
		t.Errorf("orders %s after the old lease has run out, want %s or a little more", quiet, g.Config.Bounds.Quiet)
	}
}
