package tracker_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

func candidates(f *tracker.Fleet, d tracker.Demand) []string {
	var ids []string
	for _, c := range f.Candidates(d, time.Now()) {
		ids = append(ids, c.Runner)
	}
	slices.Sort(ids)
	return ids
}

func TestCandidates(t *testing.T) {
	adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
	for _, tc := range []struct {
		name   string
		setUp  func(f *tracker.Fleet)
		demand tracker.Demand
		want   []string
	}{
		{"all runners of the service", func(*tracker.Fleet) {}, tracker.Demand{Service: "llm"}, []string{"i-1", "i-2"}},
		{"not a draining runner", func(f *tracker.Fleet) {
			f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Leaving: true, Revision: 2})
			f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 3}) // draining is final for an ID
		}, tracker.Demand{Service: "llm"}, []string{"i-2"}},
		{"no load at a runner that limits its request rate", func(f *tracker.Fleet) {
			f.ObserveLimit("i-1", tracker.RateLimit{AsOf: time.Now(), Limited: true, PerSecond: 2})
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-2"}},
		{"a load there if there is no other runner", func(f *tracker.Fleet) {
			for _, id := range []string{"i-1", "i-2"} {
				f.ObserveLimit(id, tracker.RateLimit{AsOf: time.Now(), Limited: true, PerSecond: 2})
			}
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1", "i-2"}},
		{"a resident copy at a runner that limits its request rate", func(f *tracker.Fleet) {
			f.SetHeld("i-1", map[placer.Copy]time.Time{adapter: {}})
			f.ObserveLimit("i-1", tracker.RateLimit{AsOf: time.Now(), Limited: true, PerSecond: 2})
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1", "i-2"}},
		{"not a runner that accepts no connection", func(f *tracker.Fleet) {
			f.Begin("i-2", 0, time.Now()).End(tracker.ConnectFailed, time.Now())
		}, tracker.Demand{Service: "llm"}, []string{"i-1"}},
		{"unresponsive runner is tried again later", func(f *tracker.Fleet) {
			f.Begin("i-2", 0, time.Now()).End(tracker.ConnectFailed, time.Now())
			time.Sleep(time.Second)
		}, tracker.Demand{Service: "llm"}, []string{"i-1", "i-2"}},
		{"not in a domain without a leader", func(f *tracker.Fleet) {
			f.SetLeaderPresent("b", false)
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1"}},
		{"resident copy in a domain without a leader", func(f *tracker.Fleet) {
			f.SetHeld("i-2", map[placer.Copy]time.Time{adapter: {}})
			f.SetLeaderPresent("b", false)
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1", "i-2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &tracker.Fleet{Domain: "a"}
				f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1})
				f.Set(tracker.Runner{ID: "i-2", Service: "llm", Domain: "b", Revision: 1})
				f.Set(tracker.Runner{ID: "i-3", Service: "plain", Domain: "a", Revision: 1})
				tc.setUp(f)
				if diff := cmp.Diff(tc.want, candidates(f, tc.demand)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A runner keeps an evicted adapter in host memory and can load it again in a tenth of
// the time. Guards against sending the request to another runner, where it waits for
// the weight store and delays other loads.
func TestRunnerThatHeldTheAdapterIsReadySooner(t *testing.T) {
	adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
	for _, tc := range []struct {
		name  string
		setUp func(f *tracker.Fleet)
		want  time.Duration
	}{
		{"never held", func(*tracker.Fleet) {}, time.Second},
		{"evicted", func(f *tracker.Fleet) {
			f.SetHeldCopy("i-1", adapter, time.Time{}, true)
			f.SetHeldCopy("i-1", adapter, time.Time{}, false)
		}, 100 * time.Millisecond},
		{"evicted between snapshots", func(f *tracker.Fleet) {
			f.SetHeld("i-1", map[placer.Copy]time.Time{adapter: {}})
			f.SetHeld("i-1", nil)
		}, 100 * time.Millisecond},
		{"request refused for lack of the adapter", func(f *tracker.Fleet) {
			f.SetHeldCopy("i-1", adapter, time.Time{}, true)
			f.MarkMissing("i-1", adapter)
		}, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &tracker.Fleet{Domain: "a"}
			f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1})
			tc.setUp(f)
			demand := tracker.Demand{Service: "llm", Copy: adapter, LoadTime: time.Second, ReloadTime: 100 * time.Millisecond}
			if diff := cmp.Diff(tc.want, f.Candidates(demand, time.Now())[0].ReadyIn); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A runner crashes and restarts under the same name. Guards against applying the state
// of the earlier incarnation, or late reports about it, to the later one: requests
// would be sent for adapters that it does not hold.
func TestRestartedRunnerInheritsNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
		first := tracker.Runner{ID: tracker.Incarnation("i-1", 100), Born: 100, Service: "llm", Domain: "a", Revision: 1}
		later := tracker.Runner{ID: tracker.Incarnation("i-1", 200), Born: 200, Service: "llm", Domain: "a", Revision: 5}
		f := &tracker.Fleet{Domain: "a"}
		f.Set(first)
		f.SetHeld(first.ID, map[placer.Copy]time.Time{adapter: {}})
		run := f.Begin(first.ID, 100, time.Now())
		replaced, ok := f.Set(later)
		if diff := cmp.Diff(first, replaced); diff != "" || !ok {
			t.Error(ok, diff)
		}
		late := first
		late.Revision = 3
		f.Set(late)
		f.SetHeldCopy(first.ID, adapter, time.Time{}, true)
		run.End(tracker.ConnectFailed, time.Now())
		got := f.Candidates(tracker.Demand{Service: "llm", Copy: adapter}, time.Now())
		if len(got) != 1 || got[0].Runner != later.ID || got[0].Resident || got[0].Running != 0 {
			t.Errorf("candidates %+v", got)
		}
		if f.CurrentID("i-1") != later.ID {
			t.Errorf("the name refers to %s", f.CurrentID("i-1"))
		}
	})
}

// No runner holds an adapter. Copies wait for an adapter slot at one runner, while the
// other has a free one. Guards against ignoring the wait for a slot: requests would
// queue at the first runner while the second is idle.
func TestReadyIncludesAdapterSlotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
		f := &tracker.Fleet{Domain: "a"}
		f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1})
		f.Set(tracker.Runner{ID: "i-2", Service: "llm", Domain: "a", Revision: 1})
		f.SetAdapterSlotWaits(map[string]time.Duration{"i-1": time.Second})
		f.SetHeldCopy("i-1", adapter, time.Time{}, false) // evicted: it could be loaded again quickly
		got := make(map[string]time.Duration)
		for _, c := range f.Candidates(tracker.Demand{Service: "llm", Copy: adapter, LoadTime: 250 * time.Millisecond, ReloadTime: 25 * time.Millisecond}, time.Now()) {
			got[c.Runner] = c.ReadyIn
		}
		want := map[string]time.Duration{"i-1": time.Second + 25*time.Millisecond, "i-2": 250 * time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if !f.AdapterSlotsFull("i-1") || f.AdapterSlotsFull("i-2") {
			t.Error("wrong runner reported as having no free adapter slot")
		}
	})
}

// The weight store is busy, and a load takes twice as long as under light load. Only the
// leader that orders the loads can measure that. Its report must change the choice of
// the other instances in favor of runners that have the adapter sooner.
func TestReadyUsesReportedLoadTimes(t *testing.T) {
	now := time.Now()
	demand := tracker.Demand{
		Copy: placer.Copy{Model: "m", Adapter: "a1", Version: 1}, LoadTime: 270 * time.Millisecond, ReloadTime: 35 * time.Millisecond, Service: "llm",
	}
	f := tracker.Fleet{Domain: "a"}
	f.Set(tracker.Runner{ID: "near", Domain: "a", Service: "llm", Revision: 1})
	f.Set(tracker.Runner{ID: "far", Domain: "b", Service: "llm", Revision: 1})
	f.SetLoadTimes("b", tracker.LoadTimes{Load: 600 * time.Millisecond, Reload: 60 * time.Millisecond})
	got := make(map[string]time.Duration)
	for _, c := range f.Candidates(demand, now) {
		got[c.Runner] = c.ReadyIn
	}
	if diff := cmp.Diff(map[string]time.Duration{"near": 270 * time.Millisecond, "far": 600 * time.Millisecond}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a shorter rest that ends a longer one, and against a rest that is lost with
// the row of the runner.
func TestLongestRestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &tracker.Fleet{Domain: "a"}
		r := tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1}
		f.Set(r)
		now := time.Now()
		f.ObserveRest("i-1", now.Add(3*time.Second))
		f.ObserveRest("i-1", now.Add(time.Second))
		f.Remove("i-1", 1)
		r.Revision = 2
		f.Set(r)
		time.Sleep(2 * time.Second)
		if !f.Declines("i-1", time.Now()) {
			t.Error("the rest has ended after 2 s, want 3 s")
		}
		p, ok := f.ShortestPause(tracker.Demand{Service: "llm"}, time.Now())
		if diff := cmp.Diff(tracker.Pause{Left: time.Second}, p); diff != "" || !ok {
			t.Error(diff)
		}
		time.Sleep(time.Second)
		if f.Declines("i-1", time.Now()) {
			t.Error("the rest has not ended after 3 s")
		}
	})
}

// The leader reports the backlog of a runner for one priority. Guards against more urgent
// requests that avoid the runner because of it, and less urgent ones that do not.
func TestPrefillBacklogByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &tracker.Fleet{Domain: "a"}
		f.Set(tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Slots: 8, Revision: 1})
		backlogs := func() (waits []time.Duration) {
			for priority := range 5 {
				waits = append(waits, f.Candidates(tracker.Demand{Copy: placer.Copy{Model: "m"}, Ordered: true, Priority: priority, Service: "llm"}, time.Now())[0].Backlog)
			}
			return waits
		}
		const second = time.Second
		f.SetPrefillBacklog("i-1", 1, 2*second)
		if diff := cmp.Diff([]time.Duration{0, 2 * second, 2 * second, 2 * second, 2 * second}, backlogs()); diff != "" {
			t.Error(diff)
		}
		f.SetPrefillBacklog("i-1", 7, 3*second) // counts as the least urgent one
		if diff := cmp.Diff([]time.Duration{0, 2 * second, 2 * second, 3 * second, 3 * second}, backlogs()); diff != "" {
			t.Error(diff)
		}
		f.SetPrefillBacklog("i-1", 2, second) // includes what is more urgent
		if diff := cmp.Diff([]time.Duration{0, second, second, 3 * second, 3 * second}, backlogs()); diff != "" {
			t.Error(diff)
		}
	})
}
