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

func newPlacer(places int) *placer.Placer {
	p := &placer.Placer{Model: "m", Places: places, Load: 250 * time.Millisecond, Loads: 4}
	p.Take(placer.Report{Models: []string{"m"}}, start)
	return p
}

func ExamplePlacer_Next() {
	p := newPlacer(2)
	p.Want(adapter("a1"), 0, start)
	order, _ := p.Next(start, placer.RoomForAny)
	fmt.Println(order.Copy, order.Unload, order.Expected)
	p.Finish(placer.Accepted, start)
	fmt.Println(p.Held()[adapter("a1")].Sub(start))
	// Output:
	// m/a1@1 false 0
	// 250ms
}

func TestNoOrderBeforeAReport(t *testing.T) {
	p := &placer.Placer{Model: "m", Places: 1}
	p.Want(adapter("a1"), 0, start)
	if order, ok := p.Next(start, placer.RoomForAny); ok {
		t.Errorf("ordered %+v without knowing what the runner holds", order)
	}
}

// A caller waits for an adapter whose load was ordered without an answer. The
// runner may carry the order out seconds later, when another load has taken
// what looked like a free place, and crash for want of room. So the place of
// the first stays taken until an order that came after it was accepted.
func TestLostLoadKeepsItsPlace(t *testing.T) {
	p := newPlacer(1)
	p.Want(adapter("a1"), 0, start)
	first, _ := p.Next(start, placer.RoomForAny)
	p.Finish(placer.Lost, start)
	now := start.Add(200 * time.Millisecond)
	p.Take(placer.Report{Models: []string{"m"}}, now)
	p.Want(adapter("a1"), 5, now)
	p.Want(adapter("a2"), 0, now)
	second, ok := p.Next(now, placer.RoomForAny)
	if ok && second.Copy != first.Copy {
		t.Fatalf("ordered %v while %v may still be loaded", second.Copy, first.Copy)
	}
}

// A load was ordered without an answer. Its place stays taken, but the weight
// store is not busy with it for good: with a window of one load for the domain,
// no adapter was fetched any more, the doubt was never settled by a later order,
// and callers were refused for want of adapters for a quarter of a minute.
func TestLostLoadDoesNotKeepTheWeightStoreBusy(t *testing.T) {
	p := newPlacer(2)
	p.Want(adapter("a1"), 0, start)
	if _, ok := p.Next(start, placer.RoomForAny); !ok {
		t.Fatal("no order")
	}
	p.Finish(placer.Lost, start)
	if n := p.Fetching(start.Add(100 * time.Millisecond)); n != 1 {
		t.Errorf("%d loads under way right after the order, want 1", n)
	}
	now := start.Add(2 * time.Second)
	p.Take(placer.Report{Models: []string{"m"}}, now)
	if n := p.Fetching(now); n != 0 {
		t.Errorf("%d loads under way, want none", n)
	}
	p.Want(adapter("a2"), 0, now)
	if order, ok := p.Next(now, placer.RoomForAny); !ok || order.Copy != adapter("a2") {
		t.Errorf("ordered %v %v, want the next adapter", order, ok)
	}
}

func TestVictimIsTheLeastRecentlyUsedAndNotInUse(t *testing.T) {
	p := &placer.Placer{Model: "m", Places: 2, Loads: 4}
	p.Take(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("old"), adapter("new")}}, start)
	p.Use(adapter("old"), start.Add(time.Second))
	p.Use(adapter("new"), start.Add(2*time.Second))
	now := start.Add(2100 * time.Millisecond)
	p.Want(adapter("x"), 0, now)
	order, ok := p.Next(now, placer.RoomForAny)
	if diff := cmp.Diff(placer.Order{Copy: adapter("old"), Unload: true}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// A runner model that refuses to be overfilled and executes lost orders late.
// Whatever happens to orders and answers, the runner is never asked to hold
// more than it has places for.
func TestNeverMoreThanThereAreRoomFor(t *testing.T) {
	const places = 4
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		runner := &fakeRunner{t: t, places: places, seed: seed}
		p := &placer.Placer{Model: "m", Places: places, Load: 250 * time.Millisecond, Loads: 4}
		now := start
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			runner.tick(now)
			p.Want(adapter(fmt.Sprint(rng.IntN(12))), rng.IntN(3), now)
			if !p.Known() {
				p.Take(runner.report(rng, now), now)
			}
			order, ok := p.Next(now, placer.RoomForAny)
			if !ok {
				continue
			}
			switch rng.IntN(6) {
			case 0: // lost on the way
				p.Finish(placer.Lost, now)
			case 1: // carried out, the answer lost
				runner.order(order, now)
				p.Finish(placer.Lost, now)
			case 2: // carried out late
				runner.late = append(runner.late, lateOrder{order, now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)})
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

// A caller asks for a new version of an adapter whose old one still runs. An
// order to replace it would keep every other adapter from coming until those
// runs have ended, so the old version is given up when it is idle, and the new
// one is loaded after that.
func TestNewVersionWaitsForTheOldOneToBeIdle(t *testing.T) {
	old, fresh := adapter("a1"), adapter("a1")
	fresh.Version = 2
	p := newPlacer(2)
	p.Take(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{old}}, start)
	p.Use(old, start)
	p.Want(fresh, 0, start)
	if order, ok := p.Next(start, placer.RoomForAny); ok {
		t.Fatalf("ordered %+v while the old version is in use", order)
	}
	later := start.Add(800 * time.Millisecond)
	p.Want(fresh, 0, later)
	order, ok := p.Next(later, placer.RoomForAny)
	if diff := cmp.Diff(placer.Order{Copy: old, Unload: true}, order); !ok || diff != "" {
		t.Fatalf("order %v: %s", ok, diff)
	}
	p.Finish(placer.Holds, later)
	order, ok = p.Next(later, placer.RoomForAny)
	if diff := cmp.Diff(placer.Order{Copy: fresh, Expected: 1}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// A runner accepts a load that it is carrying out already and does not count
// it. The callers of the runner's adapters would wait for ever if its reports
// were taken for old ones from then on.
func TestReportsThatStayBehindAreTaken(t *testing.T) {
	p := newPlacer(2)
	p.Want(adapter("a1"), 0, start)
	p.Next(start, placer.RoomForAny)
	p.Finish(placer.Accepted, start)
	report := placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("a1")}}
	if p.Take(report, start.Add(200*time.Millisecond)) {
		t.Error("took a report that may be older than the order")
	}
	if !p.Take(report, start.Add(1300*time.Millisecond)) {
		t.Error("took no report although none can be that old")
	}
}

type lateOrder struct {
	order placer.Order
	at    time.Time
}

type fakeRunner struct {
	t        *testing.T
	places   int
	seed     uint64
	held     map[placer.Copy]time.Time // until when it is on its way
	late     []lateOrder
	past     []placer.Report
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
		return placer.Holds
	}
	f.held[o.Copy] = now.Add(250 * time.Millisecond)
	if len(f.held) > f.places {
		f.t.Fatalf("seed %d: %d adapters ordered into %d places", f.seed, len(f.held), f.places)
	}
	return placer.Accepted
}

func (f *fakeRunner) tick(now time.Time) {
	kept := f.late[:0]
	for _, l := range f.late {
		if now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		f.order(l.order, now)
	}
	f.late = kept
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
	f.past = append(f.past, r)
}

// report returns what the runner held up to 200 ms ago.
func (f *fakeRunner) report(rng *rand.Rand, _ time.Time) placer.Report {
	back := min(rng.IntN(5), len(f.past)-1)
	return f.past[len(f.past)-1-back]
}

// Most adapters are wanted once, a few again and again. If the one used last
// stays, a passing one pushes out one that many callers want, and they wait for
// its load.
func TestVictimIsWantedLeast(t *testing.T) {
	for _, tc := range []struct {
		name   string
		copies map[placer.Copy]int
		want   placer.Copy
	}{
		{"an adapter wanted once", nil, adapter("once")},
		{"one that another runner holds too", map[placer.Copy]int{adapter("often"): 2}, adapter("often")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &placer.Placer{Model: "m", Places: 2, Loads: 4, Copies: func(c placer.Copy) int { return tc.copies[c] }}
			p.Take(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("often"), adapter("once")}}, start)
			p.There(adapter("often"), 2, start)
			p.Use(adapter("often"), start)
			p.There(adapter("once"), 1, start.Add(time.Second))
			p.Use(adapter("once"), start.Add(time.Second))
			now := start.Add(5 * time.Second)
			p.Want(adapter("x"), 0, now)
			order, ok := p.Next(now, placer.RoomForAny)
			if diff := cmp.Diff(placer.Order{Copy: tc.want, Unload: true}, order); !ok || diff != "" {
				t.Errorf("order %v: %s", ok, diff)
			}
		})
	}
}

// A hot adapter is to get one more copy while a caller waits for a cold one. The
// weight store has room for one load: it is the caller's, also if the hot one was
// asked for first.
func TestCopyThatNobodyWaitsForTakesNoRoomFromOneThatSomebodyDoes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		wants map[placer.Copy]int
		room  placer.Room
		want  placer.Copy
	}{
		{"both", map[placer.Copy]int{adapter("hot"): placer.Spare, adapter("cold"): 1}, placer.RoomForWaiting, adapter("cold")},
		{"room for both", map[placer.Copy]int{adapter("hot"): placer.Spare, adapter("cold"): 1}, placer.RoomForAny, adapter("cold")},
		{"somebody waits elsewhere", map[placer.Copy]int{adapter("hot"): placer.Spare}, placer.RoomForWaiting, placer.Copy{}},
		{"nobody waits", map[placer.Copy]int{adapter("hot"): placer.Spare}, placer.RoomForAny, adapter("hot")},
		{"no room", map[placer.Copy]int{adapter("cold"): 1}, placer.NoRoom, placer.Copy{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(2)
			for c, priority := range tc.wants {
				p.Want(c, priority, start)
			}
			order, _ := p.Next(start, tc.room)
			if diff := cmp.Diff(tc.want, order.Copy); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A long answer runs on an adapter while others wait for a place. It keeps its
// place however long it runs, or they would wait for an unload that waits for the
// run; a copy that nobody uses any more makes way at once, though it was used a
// moment ago.
func TestOnlyCopiesInUseAreKept(t *testing.T) {
	used := map[placer.Copy]bool{adapter("long"): true, adapter("short"): true}
	p := &placer.Placer{Model: "m", Places: 2, Loads: 4, InUse: func(c placer.Copy) bool { return used[c] }}
	p.Take(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("long"), adapter("short")}}, start)
	now := start.Add(10 * time.Second)
	p.Want(adapter("x"), 0, now)
	if order, ok := p.Next(now, placer.RoomForAny); ok || p.Vacant(now) != 0 {
		t.Fatalf("ordered %+v, %d places vacant, while both copies are in use", order, p.Vacant(now))
	}
	delete(used, adapter("short"))
	if n := p.Vacant(now); n != 1 {
		t.Errorf("%d places vacant, want 1", n)
	}
	order, ok := p.Next(now, placer.RoomForAny)
	if diff := cmp.Diff(placer.Order{Copy: adapter("short"), Unload: true}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// More adapters are waited for than there are places. A place serves all requests
// that wait for its adapter: the one that brings the most answers in time goes
// first, not the one that has waited longest and is late already. What nobody
// waits for any more is not loaded.
func TestOrderOfTheLine(t *testing.T) {
	for _, tc := range []struct {
		name  string
		waits []placer.Waiting // of a0, a1, ...; each a millisecond after the one before
		gone  string
		want  string
	}{
		{"the first of equals", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 1, InTime: 1}}, "", "a0"},
		{"the one that serves more", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 3, InTime: 3}}, "", "a1"},
		{"not the one that is late", []placer.Waiting{{Requests: 5}, {Requests: 1, InTime: 1}}, "", "a1"},
		{"the more urgent", []placer.Waiting{{Priority: 1, Requests: 5, InTime: 5}, {Requests: 1, InTime: 1}}, "", "a1"},
		{"not one that nobody waits for", []placer.Waiting{{Requests: 1, InTime: 1}, {Requests: 1, InTime: 1}}, "a0", "a1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(2)
			now := start
			for n, w := range tc.waits {
				now = now.Add(time.Millisecond)
				p.Wait(adapter(fmt.Sprint("a", n)), w, now)
			}
			p.Unwant(adapter(tc.gone))
			order, _ := p.Next(now, placer.RoomForAny)
			if diff := cmp.Diff(adapter(tc.want), order.Copy); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Half of the orders to a runner get no answer. Each of them must not stop the
// loads of the runner until a report has come: callers would wait for adapters
// beside idle places and an idle weight store. The order after it names the same
// number of orders, so that one of the two is void.
func TestOrdersGoOnAfterOneWithoutAnAnswer(t *testing.T) {
	p := newPlacer(2)
	p.Want(adapter("a1"), 0, start)
	p.Next(start, placer.RoomForAny)
	p.Finish(placer.Lost, start)
	now := start.Add(time.Millisecond)
	p.Want(adapter("a2"), 0, now)
	order, ok := p.Next(now, placer.RoomForAny)
	if !ok || order.Unload || order.Expected != 0 {
		t.Fatalf("ordered %+v, %v", order, ok)
	}
	p.Finish(placer.Accepted, now)
	if order, ok = p.Next(now, placer.RoomForAny); !ok || order.Unload || order.Expected != 1 {
		t.Errorf("ordered %+v, %v after that", order, ok)
	}
}
