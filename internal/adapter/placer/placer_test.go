package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func adapter(name string) placer.Copy { return placer.Copy{Model: "m", Adapter: name, Version: 1} }

func newPlacer(slots int) *placer.Placer {
	p := &placer.Placer{Model: "m", AdapterSlots: slots, LoadTime: 250 * time.Millisecond, MaxLoads: 4}
	p.ApplyReport(placer.Report{Models: []string{"m"}}, start)
	return p
}

func ExamplePlacer_Next() {
	p := newPlacer(2)
	p.Request(adapter("a1"), 0, start)
	order, _ := p.Next(start, placer.FetchAny)
	fmt.Println(order.Copy, order.Unload, order.Expected)
	p.Finish(placer.Accepted, start)
	fmt.Println(p.Held()[adapter("a1")].Sub(start))
	// Output:
	// m/a1@1 false 0
	// 250ms
}

func TestNoOrderBeforeFirstReport(t *testing.T) {
	p := &placer.Placer{Model: "m", AdapterSlots: 1}
	p.Request(adapter("a1"), 0, start)
	if order, ok := p.Next(start, placer.FetchAny); ok {
		t.Errorf("ordered %+v without knowing what the runner holds", order)
	}
}

// Guards against overfilling a runner: it may carry out an unanswered load seconds
// later, when another load has taken what looked like a free slot, and crash. The
// slot must stay taken until a later order was accepted.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	p := newPlacer(1)
	p.Request(adapter("a1"), 0, start)
	first, _ := p.Next(start, placer.FetchAny)
	p.Finish(placer.Lost, start)
	now := start.Add(200 * time.Millisecond)
	p.ApplyReport(placer.Report{Models: []string{"m"}}, now)
	p.Request(adapter("a1"), 5, now)
	p.Request(adapter("a2"), 0, now)
	second, ok := p.Next(now, placer.FetchAny)
	if ok && second.Copy != first.Copy {
		t.Fatalf("ordered %v while %v may still be loaded", second.Copy, first.Copy)
	}
}

// Guards against an unanswered load that counts as a fetch indefinitely: with a
// window of one load for the domain, no adapter was fetched any more, no later order
// resolved the unanswered one, and requests were refused for 15 seconds.
func TestUnansweredLoadStopsCountingAsFetch(t *testing.T) {
	p := newPlacer(2)
	p.Request(adapter("a1"), 0, start)
	if _, ok := p.Next(start, placer.FetchAny); !ok {
		t.Fatal("no order")
	}
	p.Finish(placer.Lost, start)
	if n := p.Fetching(start.Add(100 * time.Millisecond)); n != 1 {
		t.Errorf("%d loads in progress right after the order, want 1", n)
	}
	now := start.Add(2 * time.Second)
	p.ApplyReport(placer.Report{Models: []string{"m"}}, now)
	if n := p.Fetching(now); n != 0 {
		t.Errorf("%d loads in progress, want none", n)
	}
	p.Request(adapter("a2"), 0, now)
	if order, ok := p.Next(now, placer.FetchAny); !ok || order.Copy != adapter("a2") {
		t.Errorf("ordered %v %v, want the next adapter", order, ok)
	}
}

func TestEvictsLeastRecentlyUsedIdleCopy(t *testing.T) {
	p := &placer.Placer{Model: "m", AdapterSlots: 2, MaxLoads: 4}
	p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("old"), adapter("new")}}, start)
	p.MarkAssigned(adapter("old"), start.Add(time.Second))
	p.MarkAssigned(adapter("new"), start.Add(2*time.Second))
	now := start.Add(2100 * time.Millisecond)
	p.Request(adapter("x"), 0, now)
	order, ok := p.Next(now, placer.FetchAny)
	if diff := cmp.Diff(placer.Order{Copy: adapter("old"), Unload: true}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// Runs a placer against a simulated runner that may carry out unanswered orders
// late. Whatever happens to orders and answers, the runner must never be ordered to
// hold more adapters than it has slots for.
func TestNeverExceedsRunnerCapacity(t *testing.T) {
	const slots = 4
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		runner := &fakeRunner{t: t, slots: slots, seed: seed}
		p := &placer.Placer{Model: "m", AdapterSlots: slots, LoadTime: 250 * time.Millisecond, MaxLoads: 4}
		now := start
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			runner.tick(now)
			p.Request(adapter(fmt.Sprint(rng.IntN(12))), rng.IntN(3), now)
			if !p.Known() {
				p.ApplyReport(runner.report(rng, now), now)
			}
			order, ok := p.Next(now, placer.FetchAny)
			if !ok {
				continue
			}
			switch rng.IntN(6) {
			case 0: // order lost
				p.Finish(placer.Lost, now)
			case 1: // carried out, answer lost
				runner.order(order, now)
				p.Finish(placer.Lost, now)
			case 2: // carried out late
				runner.delayed = append(runner.delayed, delayedOrder{order, now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)})
				p.Finish(placer.Lost, now)
			default:
				p.Finish(runner.order(order, now), now)
			}
		}
		if runner.accepted < 20 {
			t.Errorf("seed %d: only %d orders were accepted", seed, runner.accepted)
		}
	}
}

// Guards against replacing an adapter version that is in use: the runner would
// accept no other order until the requests on it have ended. The old version must be
// unloaded when it is idle, and the new one loaded after that.
func TestNewVersionWaitsForOldVersionToBeIdle(t *testing.T) {
	old, fresh := adapter("a1"), adapter("a1")
	fresh.Version = 2
	p := newPlacer(2)
	p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{old}}, start)
	p.MarkAssigned(old, start)
	p.Request(fresh, 0, start)
	if order, ok := p.Next(start, placer.FetchAny); ok {
		t.Fatalf("ordered %+v while the old version is in use", order)
	}
	later := start.Add(800 * time.Millisecond)
	p.Request(fresh, 0, later)
	order, ok := p.Next(later, placer.FetchAny)
	if diff := cmp.Diff(placer.Order{Copy: old, Unload: true}, order); !ok || diff != "" {
		t.Fatalf("order %v: %s", ok, diff)
	}
	p.Finish(placer.Applied, later)
	order, ok = p.Next(later, placer.FetchAny)
	if diff := cmp.Diff(placer.Order{Copy: fresh, Expected: 1}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// A runner accepts a load that it is carrying out already without counting it. Guards
// against ignoring all its later reports as outdated, after which it would get no
// more orders.
func TestReportsWithLaggingSequenceAreApplied(t *testing.T) {
	p := newPlacer(2)
	p.Request(adapter("a1"), 0, start)
	p.Next(start, placer.FetchAny)
	p.Finish(placer.Accepted, start)
	report := placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("a1")}}
	if p.ApplyReport(report, start.Add(200*time.Millisecond)) {
		t.Error("applied a report that may be older than the order")
	}
	if !p.ApplyReport(report, start.Add(1300*time.Millisecond)) {
		t.Error("ignored a report although none can be that old")
	}
}

type delayedOrder struct {
	order placer.Order
	at    time.Time
}

type fakeRunner struct {
	t        *testing.T
	slots    int
	seed     uint64
	held     map[placer.Copy]time.Time // when each load completes
	delayed  []delayedOrder
	history  []placer.Report
	seq      uint64
	accepted int
	model    bool
}

func (f *fakeRunner) order(o placer.Order, now time.Time) placer.Outcome {
	if o.Expected != f.seq {
		return placer.Mismatch
	}
	f.seq++
	f.accepted++
	if f.held == nil {
		f.held = make(map[placer.Copy]time.Time)
	}
	switch {
	case o.Copy.Adapter == "":
		f.model = true
		return placer.Accepted
	case o.Unload:
		delete(f.held, o.Copy)
		return placer.Applied
	}
	f.held[o.Copy] = now.Add(250 * time.Millisecond)
	if len(f.held) > f.slots {
		f.t.Fatalf("seed %d: %d adapters ordered into %d slots", f.seed, len(f.held), f.slots)
	}
	return placer.Accepted
}

func (f *fakeRunner) tick(now time.Time) {
	kept := f.delayed[:0]
	for _, d := range f.delayed {
		if now.Before(d.at) {
			kept = append(kept, d)
			continue
		}
		f.order(d.order, now)
	}
	f.delayed = kept
	r := placer.Report{Sequence: f.seq}
	if f.model {
		r.Models = []string{"m"}
	}
	for c, until := range f.held {
		if now.Before(until) {
			r.Incoming = append(r.Incoming, c)
		} else {
			r.Resident = append(r.Resident, c)
		}
	}
	f.history = append(f.history, r)
}

// report returns the state of the runner as of up to 200 ms ago.
func (f *fakeRunner) report(rng *rand.Rand, _ time.Time) placer.Report {
	back := min(rng.IntN(5), len(f.history)-1)
	return f.history[len(f.history)-1-back]
}

// Most adapters are requested once, a few often. Guards against evicting by recency
// alone, where an adapter requested once displaces one that many callers need.
func TestEvictsLeastValuableCopy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		copies map[placer.Copy]int
		want   placer.Copy
	}{
		{"an adapter wanted once", nil, adapter("once")},
		{"an adapter that another runner holds too", map[placer.Copy]int{adapter("often"): 2}, adapter("often")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &placer.Placer{Model: "m", AdapterSlots: 2, MaxLoads: 4, Copies: func(c placer.Copy) int { return tc.copies[c] }}
			p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("often"), adapter("once")}}, start)
			p.ObserveHit(adapter("often"), 2, start)
			p.MarkAssigned(adapter("often"), start)
			p.ObserveHit(adapter("once"), 1, start.Add(time.Second))
			p.MarkAssigned(adapter("once"), start.Add(time.Second))
			now := start.Add(5 * time.Second)
			p.Request(adapter("x"), 0, now)
			order, ok := p.Next(now, placer.FetchAny)
			if diff := cmp.Diff(placer.Order{Copy: tc.want, Unload: true}, order); !ok || diff != "" {
				t.Errorf("order %v: %s", ok, diff)
			}
		})
	}
}

// A further copy of a hot adapter is requested while a request waits for a cold one,
// and the weight store has capacity for one load. Guards against loading the spare
// copy first.
func TestSpareCopyDoesNotDelayWaitingRequests(t *testing.T) {
	for _, tc := range []struct {
		name       string
		priorities map[placer.Copy]int
		limit      placer.FetchLimit
		want       placer.Copy
	}{
		{"hot and cold requested", map[placer.Copy]int{adapter("hot"): placer.Spare, adapter("cold"): 1}, placer.FetchForWaiting, adapter("cold")},
		{"any load allowed", map[placer.Copy]int{adapter("hot"): placer.Spare, adapter("cold"): 1}, placer.FetchAny, adapter("cold")},
		{"only loads for waiting requests allowed", map[placer.Copy]int{adapter("hot"): placer.Spare}, placer.FetchForWaiting, placer.Copy{}},
		{"only spare copy requested", map[placer.Copy]int{adapter("hot"): placer.Spare}, placer.FetchAny, adapter("hot")},
		{"no load allowed", map[placer.Copy]int{adapter("cold"): 1}, placer.NoFetch, placer.Copy{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(2)
			for c, priority := range tc.priorities {
				p.Request(c, priority, start)
			}
			order, _ := p.Next(start, tc.limit)
			if diff := cmp.Diff(tc.want, order.Copy); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against evicting a copy in use, however long the request runs: the unload
// would wait for it, and the next adapter for the unload. A copy that is no longer in
// use can be evicted at once, even if it was used a moment ago.
func TestOnlyIdleCopiesAreEvicted(t *testing.T) {
	used := map[placer.Copy]bool{adapter("long"): true, adapter("short"): true}
	p := &placer.Placer{Model: "m", AdapterSlots: 2, MaxLoads: 4, InUse: func(c placer.Copy) bool { return used[c] }}
	p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("long"), adapter("short")}}, start)
	now := start.Add(10 * time.Second)
	p.Request(adapter("x"), 0, now)
	if order, ok := p.Next(now, placer.FetchAny); ok || p.Vacant(now) != 0 {
		t.Fatalf("ordered %+v, %d slots vacant, while both copies are in use", order, p.Vacant(now))
	}
	delete(used, adapter("short"))
	if n := p.Vacant(now); n != 1 {
		t.Errorf("%d slots vacant, want 1", n)
	}
	order, ok := p.Next(now, placer.FetchAny)
	if diff := cmp.Diff(placer.Order{Copy: adapter("short"), Unload: true}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// More adapters are requested than there are slots. The one that serves the most
// requests in time must be loaded first, not the one that has waited longest and is
// already late. An adapter that no request waits for any more is not loaded.
func TestLoadOrder(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waits   []placer.Waiting // of a0, a1, ...; each a millisecond after the one before
		cleared string
		want    string
	}{
		{"first of equals", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 1, InTime: 1}}, "", "a0"},
		{"serves more requests", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 3, InTime: 3}}, "", "a1"},
		{"serves more requests in time", []placer.Waiting{{Requests: 5}, {Requests: 1, InTime: 1}}, "", "a1"},
		{"higher priority", []placer.Waiting{{Priority: 1, Requests: 5, InTime: 5}, {Requests: 1, InTime: 1}}, "", "a1"},
		{"no longer requested", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 1, InTime: 1}}, "a0", "a1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(2)
			now := start
			for n, w := range tc.waits {
				now = now.Add(time.Millisecond)
				p.SetDemand(adapter(fmt.Sprint("a", n)), w, now)
			}
			p.ClearDemand(adapter(tc.cleared))
			order, _ := p.Next(now, placer.FetchAny)
			if diff := cmp.Diff(adapter(tc.want), order.Copy); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against blocking a runner after each unanswered order until the next report:
// with half of the orders unanswered, requests would wait while slots and the weight
// store are idle. The next order expects the same sequence, so the runner refuses one
// of the two.
func TestOrdersContinueAfterUnansweredOne(t *testing.T) {
	p := newPlacer(2)
	p.Request(adapter("a1"), 0, start)
	p.Next(start, placer.FetchAny)
	p.Finish(placer.Lost, start)
	now := start.Add(time.Millisecond)
	p.Request(adapter("a2"), 0, now)
	order, ok := p.Next(now, placer.FetchAny)
	if !ok || order.Unload || order.Expected != 0 {
		t.Fatalf("ordered %+v, %v", order, ok)
	}
	p.Finish(placer.Accepted, now)
	if order, ok = p.Next(now, placer.FetchAny); !ok || order.Unload || order.Expected != 1 {
		t.Errorf("then ordered %+v, %v", order, ok)
	}
}
