package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/check/walker"
)

var start = time.Unix(1000, 0)

// newKeeper returns a keeper of an owned runner with two free slots, on an engine
// that ignores fencing tokens.
func newKeeper() *keeper.Keeper {
	k := &keeper.Keeper{Capacity: 2, Policy: keeper.LRU{}, Self: "b"}
	k.Acquire(1, nil)
	return k
}

// load loads an adapter and fails the test if the keeper orders no load.
func load(t *testing.T, k *keeper.Keeper, adapter string, now time.Time) {
	t.Helper()
	action, ok := k.NextOrder(adapter, now).(keeper.Load)
	if !ok {
		t.Fatalf("NextOrder(%s) is no load", adapter)
	}
	if err := k.Finish(action, keeper.Done, now); err != nil {
		t.Fatal(err)
	}
}

func ExampleKeeper() {
	k := &keeper.Keeper{Capacity: 1, Policy: keeper.LRU{}, Self: "b"}
	k.Acquire(1, nil)
	order := k.NextOrder("mill-1@1", start)
	fmt.Printf("%T\n", order)
	_ = k.Finish(order, keeper.Done, start)
	handle, ok := k.Pin("mill-1@1")
	fmt.Println(handle, ok, k.NextOrder("mill-2@1", start))
	k.Unpin(handle)
	fmt.Printf("%T\n", k.NextOrder("mill-2@1", start))
	// Output:
	// keeper.Load
	// mill-1@1#b.1 true <nil>
	// keeper.Evict
}

func TestNextOrderSharesOneLoad(t *testing.T) {
	k := newKeeper()
	k.NextOrder("x@1", start)
	if second := k.NextOrder("x@1", start); second != nil {
		t.Errorf("second request ordered %v, want to share the first load", second)
	}
}

// A previous owner that was paused between its check and its send may still send a
// request to a copy that looks idle. The new owner must not evict that copy until the
// previous owner has answered or terminated. If the engine ignores fencing tokens, it
// must not use the copy either, as the previous owner could evict it.
func TestInheritedCopyWaitsForPreviousOwner(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fencing bool
		serves  bool
	}{
		{"engine checks fencing", true, true},
		{"engine ignores fencing", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := &keeper.Keeper{Capacity: 1, Fencing: tc.fencing, Policy: keeper.LRU{}, Self: "b"}
			k.Acquire(2, []string{"a"})
			k.ConfirmFence(2)
			if _, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e", Resident: []string{"x@1#a"}}); err != nil {
				t.Fatal(err)
			}
			handle, serves := k.Pin("x@1")
			if serves != tc.serves {
				t.Errorf("served = %v, want %v", serves, tc.serves)
			}
			k.Unpin(handle)
			if order := k.NextOrder("y@1", start); order != nil {
				t.Fatalf("ordered %v before the previous owner was cleared", order)
			}
			k.Clear("a", keeper.Handover{Pins: map[string]int{"x@1#a": 1}})
			if order := k.NextOrder("y@1", start); order != nil {
				t.Fatalf("ordered %v while the previous owner's request runs", order)
			}
			k.Clear("a", keeper.Handover{})
			if _, ok := k.NextOrder("y@1", start).(keeper.Evict); !ok {
				t.Error("no eviction after the previous owner was cleared")
			}
		})
	}
}

// The answer to an eviction was lost, and a later report still shows the copy. The
// order may still reach the engine while a request runs on the copy, so the copy must
// not be used again, only evicted again.
func TestLostEvictionDoomsTheCopy(t *testing.T) {
	k := newKeeper()
	load(t, k, "x@1", start)
	load(t, k, "y@1", start.Add(time.Second))
	evict := k.NextOrder("z@1", start.Add(2*time.Second))
	if err := k.Finish(evict, keeper.Lost, start.Add(3*time.Second)); err != nil {
		t.Fatal(err)
	}
	report := keeper.Report{LeaseValid: true, RequestedAt: start.Add(4 * time.Second), Engine: "e", Resident: []string{"x@1#b.1", "y@1#b.2"}}
	if _, err := k.Reconcile(report); err != nil {
		t.Fatal(err)
	}
	if handle, ok := k.Pin("x@1"); ok {
		t.Errorf("served doomed copy %s", handle)
	}
	again, ok := k.NextOrder("z@1", start.Add(5*time.Second)).(keeper.Evict)
	if !ok || again.Handle.Adapter != "x@1" {
		t.Errorf("NextOrder = %v, want the eviction of x@1 again", again)
	}
}

// A report that was requested before an order ended may not reflect it. Guards against
// freeing a slot that has just been filled.
func TestReconcileIgnoresReportOlderThanOrder(t *testing.T) {
	k := newKeeper()
	load(t, k, "x@1", start.Add(time.Second))
	if _, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e"}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"x@1"}, k.Resident()); diff != "" {
		t.Error(diff)
	}
}

// After an engine restart the keeper must forget the resident copies at once, so that
// no request is sent to a copy that no longer exists.
func TestEngineRestartEmptiesTheSlots(t *testing.T) {
	k := newKeeper()
	if _, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e1"}); err != nil {
		t.Fatal(err)
	}
	load(t, k, "x@1", start)
	restarted, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start.Add(time.Second), Engine: "e2"})
	if err != nil || !restarted {
		t.Fatalf("Reconcile = %v, %v, want a restart", restarted, err)
	}
	if _, ok := k.Pin("x@1"); ok {
		t.Error("pinned an adapter that the restart dropped")
	}
}

// The engine restarts, and before a report shows that, an adapter is loaded and a
// request starts on it. Guards against dropping the pin with the report, after which
// the copy was evicted while the request ran.
func TestPinSurvivesRestartDetectedLate(t *testing.T) {
	k := &keeper.Keeper{Capacity: 1, Policy: keeper.LRU{}, Self: "b"}
	k.Acquire(1, nil)
	if _, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e1"}); err != nil {
		t.Fatal(err)
	}
	load(t, k, "x@1", start.Add(time.Second))
	handle, _ := k.Pin("x@1")
	report := keeper.Report{LeaseValid: true, RequestedAt: start.Add(2 * time.Second), Engine: "e2", Resident: []string{handle.String()}}
	if _, err := k.Reconcile(report); err != nil {
		t.Fatal(err)
	}
	if order := k.NextOrder("y@1", start.Add(3*time.Second)); order != nil {
		t.Errorf("ordered %v while a request runs on %s", order, handle)
	}
}

func TestHeatKeepsTheHotAdapter(t *testing.T) {
	k := newKeeper()
	k.Policy = keeper.Heat{}
	load(t, k, "hot@1", start)
	load(t, k, "cold@1", start)
	for range 5 {
		handle, _ := k.Pin("hot@1")
		k.Unpin(handle)
	}
	handle, _ := k.Pin("cold@1")
	k.Unpin(handle)
	order, ok := k.NextOrder("new@1", start.Add(2*time.Second)).(keeper.Evict)
	if !ok || order.Handle.Adapter != "cold@1" {
		t.Errorf("evicts %v, want cold@1", order.Handle)
	}
}

// One previous owner releases the runner and reports a copy that its unanswered
// eviction order may still evict; another one has not answered and may be sending a
// request to that copy. The copy must not be evicted before both are cleared.
func TestDoomedCopyWaitsForEveryPreviousOwner(t *testing.T) {
	k := &keeper.Keeper{Capacity: 1, Fencing: true, Policy: keeper.LRU{}, Self: "c"}
	k.Acquire(3, []string{"a", "b"})
	k.ConfirmFence(3)
	if _, err := k.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e", Resident: []string{"x@1#b.1"}}); err != nil {
		t.Fatal(err)
	}
	k.Clear("b", keeper.Handover{Evicting: []string{"x@1#b.1"}})
	if order := k.NextOrder("y@1", start); order != nil {
		t.Errorf("ordered %v before a was cleared", order)
	}
	k.Clear("a", keeper.Handover{})
	if _, ok := k.NextOrder("y@1", start).(keeper.Evict); !ok {
		t.Error("no eviction after all were cleared")
	}
}

func TestHandoverWaitsForPendingEviction(t *testing.T) {
	k := newKeeper()
	load(t, k, "x@1", start)
	load(t, k, "y@1", start)
	evict := k.NextOrder("z@1", start)
	k.Release()
	if _, ok := k.Handover(); ok {
		t.Fatal("handed over while an eviction was in flight")
	}
	if err := k.Finish(evict, keeper.Lost, start); err != nil {
		t.Fatal(err)
	}
	got, ok := k.Handover()
	want := keeper.Handover{Pins: map[string]int{}, Evicting: []string{"x@1#b.1"}}
	if diff := cmp.Diff(want, got); !ok || diff != "" {
		t.Errorf("ok = %v: %s", ok, diff)
	}
}

func TestEveryTransitionIsTaken(t *testing.T) { walker.Walk(t, keeper.Chart) }
