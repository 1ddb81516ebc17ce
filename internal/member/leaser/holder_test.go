package leaser_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sardinetiller/sardinetiller/internal/check/walker"
	"github.com/sardinetiller/sardinetiller/internal/member/leaser"
)

// faults disables safeguards, for tests that the check for a single owner can fail.
type faults struct{ lieAboutAdoption bool }

const leaseTime = 10 * time.Second

// A world simulates a table service and the holders of one failure domain on one
// clock. Holders receive information only through the steps.
type world struct {
	faults  faults
	holders []*leaser.Holder
	leases  map[string]leaser.Lease
	now     time.Time
	roster  leaser.Roster
	runners []string
}

func newWorld(members int, f faults) *world {
	w := &world{faults: f, leases: make(map[string]leaser.Lease), now: time.Unix(0, 0)}
	w.runners = []string{"r1", "r2", "r3", "r4", "r5"}
	for i := range members {
		id := fmt.Sprintf("i%d", i)
		h := &leaser.Holder{Self: leaser.Member{ID: id, Incarnation: id + "-1"}, Time: leaseTime}
		h.SetRunners(w.runners)
		w.holders = append(w.holders, h)
	}
	return w
}

// apply executes an action in the table. The holder receives the response only if
// answered is true; otherwise the response is lost after the write.
func (w *world) apply(h *leaser.Holder, action leaser.Action, answered bool) {
	switch a := action.(type) {
	case leaser.Renew:
		w.renew(h, a, answered)
	case leaser.Propose:
		w.propose(h, a, answered)
	}
}

func (w *world) propose(h *leaser.Holder, a leaser.Propose, answered bool) {
	if w.roster.Epoch+1 != a.Roster.Epoch {
		return
	}
	for _, d := range a.Drop {
		if d.Incarnation != h.Self.Incarnation && w.leases[d.Incarnation].Serial != d.Serial {
			return
		}
	}
	w.roster = a.Roster
	for _, d := range a.Drop {
		delete(w.leases, d.Incarnation)
	}
	if a.Lease != nil {
		w.leases[a.Lease.Incarnation] = *a.Lease
	}
	if !answered {
		return
	}
	h.See(a.Roster, w.now)
	if a.Lease != nil {
		h.Renewed(w.now)
	}
}

func (w *world) renew(h *leaser.Holder, a leaser.Renew, answered bool) {
	_, ok := w.leases[a.Lease.Incarnation]
	if ok {
		w.leases[a.Lease.Incarnation] = a.Lease
	}
	switch {
	case !answered:
	case ok:
		h.Renewed(w.now)
	default:
		h.Removed()
	}
}

// read has a holder read the current contents of the table.
func (w *world) read(h *leaser.Holder) {
	h.See(w.roster, w.now)
	var leases []leaser.Lease
	for _, l := range w.leases {
		if w.faults.lieAboutAdoption {
			l.Epoch = w.roster.Epoch
		}
		leases = append(leases, l)
	}
	h.Observe(leases, w.now)
}

// actors returns the instances that may send orders to the runner now.
func (w *world) actors(runner string) []string {
	var actors []string
	for _, h := range w.holders {
		if _, ok := h.Acts(runner, w.now); ok {
			actors = append(actors, h.Self.ID)
		}
	}
	return actors
}

// step runs one random event: time passes, a holder reads, or a holder ticks and its
// transactions are executed or lost before or after the write.
func (w *world) step(t *rapid.T) {
	h := rapid.SampledFrom(w.holders).Draw(t, "holder")
	switch rapid.SampledFrom([]string{"pass", "tick", "read"}).Draw(t, "event") {
	case "pass":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case "read":
		w.read(h)
	case "tick":
		for _, action := range h.Tick(w.now, func(string) bool { return false }) {
			fate := rapid.SampledFrom([]string{"done", "done", "done", "lost", "unsent"}).Draw(t, "fate")
			if fate != "unsent" {
				w.apply(h, action, fate == "done")
			}
		}
	}
}

// sole checks the invariant that at most one instance may send orders to a runner.
func (w *world) sole() error {
	for _, runner := range w.runners {
		if actors := w.actors(runner); len(actors) > 1 {
			return fmt.Errorf("runner %s has the active owners %v at epoch %d", runner, actors, w.roster.Epoch)
		}
	}
	return nil
}

var steps = flag.Int("steps", 150, "steps of each random run")

// Three instances join, renew, pause and are removed while responses of the table
// service are lost. A paused instance may resume at any time with outdated state. No
// two instances may send orders to one runner at the same time, or one could evict
// adapters that the other serves.
func TestAtMostOneActiveOwnerPerRunner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, faults{})
		for range *steps {
			w.step(t)
			if err := w.sole(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Without the wait until the other members have adopted the epoch the check above must
// fail: a joining member and the previous owner would both send orders.
func TestActiveOwnerCheckDetectsMissingSafeguard(t *testing.T) {
	w := newWorld(2, faults{lieAboutAdoption: true})
	settle(w, w.holders[0])
	settle(w, w.holders[1])
	if err := w.sole(); err == nil {
		t.Error("two active owners of one runner were not reported")
	}
}

// A member renews its lease while another one is paused. On resuming, the paused member
// considers the lease expired and proposes to remove the member; the transaction must
// fail because the row has changed.
func TestMemberWithUnobservedRenewalIsNotRemoved(t *testing.T) {
	w := newWorld(2, faults{})
	for range 2 {
		settle(w, w.holders[0])
		settle(w, w.holders[1])
	}
	renewed, observer := w.holders[0], w.holders[1]
	w.now = w.now.Add(6 * time.Second)
	settle(w, renewed)
	for _, action := range observer.Tick(w.now, func(string) bool { return false }) {
		w.apply(observer, action, true)
	}
	w.now = w.now.Add(6 * time.Second)
	for _, action := range observer.Tick(w.now, func(string) bool { return false }) {
		w.apply(observer, action, true)
	}
	if _, on := w.roster.Member(renewed.Self.Incarnation); !on {
		t.Error("a member that renewed its lease was removed from the roster")
	}
}

// settle has one holder read and tick until it holds its lease.
func settle(w *world, h *leaser.Holder) {
	for range 3 {
		w.read(h)
		for _, action := range h.Tick(w.now, func(string) bool { return false }) {
			w.apply(h, action, true)
		}
	}
	w.read(h)
}

func TestRunnersAreSharedAfterJoin(t *testing.T) {
	w := newWorld(2, faults{})
	for range 2 {
		settle(w, w.holders[0])
		settle(w, w.holders[1])
	}
	var owned []string
	for _, h := range w.holders {
		owned = append(owned, h.Owned()...)
	}
	slices.Sort(owned)
	if diff := cmp.Diff(w.runners, owned); diff != "" {
		t.Error(diff)
	}
	for _, runner := range w.runners {
		if len(w.actors(runner)) != 1 {
			t.Errorf("runner %s has active owners %v, want one", runner, w.actors(runner))
		}
	}
}

// An instance is killed. The other observes no renewal for a lease duration, removes it
// from the roster and owns all runners in a later epoch; the killed incarnation stays
// listed as departed until it is known to have terminated.
func TestCrashedMemberIsReplaced(t *testing.T) {
	w := newWorld(2, faults{})
	for range 2 {
		settle(w, w.holders[0])
		settle(w, w.holders[1])
	}
	survivor := w.holders[0]
	before := w.roster.Epoch
	for range 16 {
		w.now = w.now.Add(time.Second)
		settle(w, survivor)
	}
	if diff := cmp.Diff(w.runners, survivor.Owned()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"i1-1"}, survivor.Parties()); diff != "" {
		t.Error(diff)
	}
	runner := w.runners[0]
	for _, r := range w.runners {
		if owner, _ := w.roster.Owner(r); owner == survivor.Self {
			runner = r
		}
	}
	if _, ok := survivor.Acts(runner, w.now); !ok || w.roster.Epoch <= before {
		t.Errorf("survivor may send orders = %v at epoch %d", ok, w.roster.Epoch)
	}
}

func TestDepartedIncarnationIsRemovedOnceGone(t *testing.T) {
	w := newWorld(1, faults{})
	w.roster = leaser.Roster{Epoch: 7, Departed: []string{"old-1"}}
	h := w.holders[0]
	settle(w, h)
	for _, action := range h.Tick(w.now, func(inc string) bool { return inc == "old-1" }) {
		w.apply(h, action, true)
	}
	if diff := cmp.Diff([]string(nil), h.Parties(), cmp.Transformer("empty", func(s []string) int { return len(s) })); diff != "" {
		t.Error(diff)
	}
}

func TestChartTransitions(t *testing.T) { walker.Walk(t, leaser.Chart) }

func BenchmarkSee(b *testing.B) {
	for _, n := range []int{75, 150, 300} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			runners := make([]string, n)
			for i := range runners {
				runners[i] = fmt.Sprintf("runner-%d", i)
			}
			r := leaser.Roster{}
			for i := range 41 {
				r = r.With(leaser.Member{ID: fmt.Sprintf("i%d", i), Incarnation: fmt.Sprintf("i%d-1", i)})
			}
			h := &leaser.Holder{Self: r.Members[0], Time: leaseTime}
			h.SetRunners(runners)
			for b.Loop() {
				r.Epoch++
				h.See(r, time.Unix(0, 0))
			}
		})
	}
}
