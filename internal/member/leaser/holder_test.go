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

// disabledSafeguards lists the safeguards that are switched off, to test that
// checkSingleOwner detects their absence.
type disabledSafeguards struct{ adoption bool }

const leaseTime = 10 * time.Second

// A simulation consists of a table service and the holders of one failure domain on one
// clock. Holders receive information only through its methods.
type simulation struct {
	disabled disabledSafeguards
	holders  []*leaser.Holder
	leases   map[string]leaser.Lease
	now      time.Time
	roster   leaser.Roster
	runners  []string
}

func newSimulation(members int, disabled disabledSafeguards) *simulation {
	sim := &simulation{disabled: disabled, leases: make(map[string]leaser.Lease), now: time.Unix(0, 0)}
	sim.runners = []string{"r1", "r2", "r3", "r4", "r5"}
	for i := range members {
		id := fmt.Sprintf("i%d", i)
		h := &leaser.Holder{Self: leaser.Member{ID: id, Incarnation: id + "-1"}, LeaseDuration: leaseTime}
		h.SetRunners(sim.runners)
		sim.holders = append(sim.holders, h)
	}
	return sim
}

// apply executes an action in the table. The holder receives the response only if
// responds is true; otherwise the response is lost after the write.
func (sim *simulation) apply(h *leaser.Holder, action leaser.Action, responds bool) {
	switch a := action.(type) {
	case leaser.Renew:
		sim.renew(h, a, responds)
	case leaser.Propose:
		sim.propose(h, a, responds)
	}
}

func (sim *simulation) propose(h *leaser.Holder, a leaser.Propose, responds bool) {
	if sim.roster.Epoch+1 != a.Roster.Epoch {
		return
	}
	for _, d := range a.DeleteLeases {
		if d.Incarnation != h.Self.Incarnation && sim.leases[d.Incarnation].Serial != d.Serial {
			return
		}
	}
	sim.roster = a.Roster
	for _, d := range a.DeleteLeases {
		delete(sim.leases, d.Incarnation)
	}
	if a.Lease != nil {
		sim.leases[a.Lease.Incarnation] = *a.Lease
	}
	if !responds {
		return
	}
	h.AdoptRoster(a.Roster, sim.now)
	if a.Lease != nil {
		h.Renewed(sim.now)
	}
}

func (sim *simulation) renew(h *leaser.Holder, a leaser.Renew, responds bool) {
	_, ok := sim.leases[a.Lease.Incarnation]
	if ok {
		sim.leases[a.Lease.Incarnation] = a.Lease
	}
	switch {
	case !responds:
	case ok:
		h.Renewed(sim.now)
	default:
		h.Removed()
	}
}

// read has a holder read the current contents of the table.
func (sim *simulation) read(h *leaser.Holder) {
	h.AdoptRoster(sim.roster, sim.now)
	var leases []leaser.Lease
	for _, l := range sim.leases {
		if sim.disabled.adoption {
			l.Epoch = sim.roster.Epoch
		}
		leases = append(leases, l)
	}
	h.ObserveLeases(leases, sim.now)
}

// activeOwners returns the instances that may send orders to the runner now.
func (sim *simulation) activeOwners(runner string) []string {
	var owners []string
	for _, h := range sim.holders {
		if _, ok := h.MaySendOrders(runner, sim.now); ok {
			owners = append(owners, h.Self.ID)
		}
	}
	return owners
}

// step runs one random event: time passes, a holder reads, or a holder ticks and its
// transactions are executed or lost before or after the write.
func (sim *simulation) step(t *rapid.T) {
	h := rapid.SampledFrom(sim.holders).Draw(t, "holder")
	switch rapid.SampledFrom([]string{"pass", "tick", "read"}).Draw(t, "event") {
	case "pass":
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case "read":
		sim.read(h)
	case "tick":
		for _, action := range h.Tick(sim.now, func(string) bool { return false }) {
			result := rapid.SampledFrom([]string{"done", "done", "done", "lost", "unsent"}).Draw(t, "result")
			if result != "unsent" {
				sim.apply(h, action, result == "done")
			}
		}
	}
}

// checkSingleOwner checks the invariant that at most one instance may send orders to a runner.
func (sim *simulation) checkSingleOwner() error {
	for _, runner := range sim.runners {
		if owners := sim.activeOwners(runner); len(owners) > 1 {
			return fmt.Errorf("runner %s has the active owners %v at epoch %d", runner, owners, sim.roster.Epoch)
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
		sim := newSimulation(3, disabledSafeguards{})
		for range *steps {
			sim.step(t)
			if err := sim.checkSingleOwner(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Without the wait until the other members have adopted the epoch the check above must
// fail: a joining member and the previous owner would both send orders.
func TestActiveOwnerCheckDetectsMissingSafeguard(t *testing.T) {
	sim := newSimulation(2, disabledSafeguards{adoption: true})
	acquireLease(sim, sim.holders[0])
	acquireLease(sim, sim.holders[1])
	if err := sim.checkSingleOwner(); err == nil {
		t.Error("two active owners of one runner were not reported")
	}
}

// A member renews its lease while another one is paused. On resuming, the paused member
// considers the lease expired and proposes to remove the member; the transaction must
// fail because the row has changed.
func TestMemberWithUnobservedRenewalIsNotRemoved(t *testing.T) {
	sim := newSimulation(2, disabledSafeguards{})
	for range 2 {
		acquireLease(sim, sim.holders[0])
		acquireLease(sim, sim.holders[1])
	}
	renewed, observer := sim.holders[0], sim.holders[1]
	sim.now = sim.now.Add(6 * time.Second)
	acquireLease(sim, renewed)
	for _, action := range observer.Tick(sim.now, func(string) bool { return false }) {
		sim.apply(observer, action, true)
	}
	sim.now = sim.now.Add(6 * time.Second)
	for _, action := range observer.Tick(sim.now, func(string) bool { return false }) {
		sim.apply(observer, action, true)
	}
	if _, on := sim.roster.Member(renewed.Self.Incarnation); !on {
		t.Error("a member that renewed its lease was removed from the roster")
	}
}

// acquireLease has one holder read and tick until it holds its lease.
func acquireLease(sim *simulation, h *leaser.Holder) {
	for range 3 {
		sim.read(h)
		for _, action := range h.Tick(sim.now, func(string) bool { return false }) {
			sim.apply(h, action, true)
		}
	}
	sim.read(h)
}

func TestRunnersAreSharedAfterJoin(t *testing.T) {
	sim := newSimulation(2, disabledSafeguards{})
	for range 2 {
		acquireLease(sim, sim.holders[0])
		acquireLease(sim, sim.holders[1])
	}
	var owned []string
	for _, h := range sim.holders {
		owned = append(owned, h.Owned()...)
	}
	slices.Sort(owned)
	if diff := cmp.Diff(sim.runners, owned); diff != "" {
		t.Error(diff)
	}
	for _, runner := range sim.runners {
		if len(sim.activeOwners(runner)) != 1 {
			t.Errorf("runner %s has active owners %v, want one", runner, sim.activeOwners(runner))
		}
	}
}

// An instance is killed. The other observes no renewal for a lease duration, removes it
// from the roster and owns all runners in a later epoch; the killed incarnation stays
// listed as departed until it is known to have terminated.
func TestCrashedMemberIsReplaced(t *testing.T) {
	sim := newSimulation(2, disabledSafeguards{})
	for range 2 {
		acquireLease(sim, sim.holders[0])
		acquireLease(sim, sim.holders[1])
	}
	survivor := sim.holders[0]
	before := sim.roster.Epoch
	for range 16 {
		sim.now = sim.now.Add(time.Second)
		acquireLease(sim, survivor)
	}
	if diff := cmp.Diff(sim.runners, survivor.Owned()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"i1-1"}, survivor.PreviousOwners()); diff != "" {
		t.Error(diff)
	}
	runner := sim.runners[0]
	for _, r := range sim.runners {
		if owner, _ := sim.roster.Owner(r); owner == survivor.Self {
			runner = r
		}
	}
	if _, ok := survivor.MaySendOrders(runner, sim.now); !ok || sim.roster.Epoch <= before {
		t.Errorf("survivor may send orders = %v at epoch %d", ok, sim.roster.Epoch)
	}
}

func TestDepartedIncarnationIsRemovedOnceGone(t *testing.T) {
	sim := newSimulation(1, disabledSafeguards{})
	sim.roster = leaser.Roster{Epoch: 7, Departed: []string{"old-1"}}
	h := sim.holders[0]
	acquireLease(sim, h)
	for _, action := range h.Tick(sim.now, func(inc string) bool { return inc == "old-1" }) {
		sim.apply(h, action, true)
	}
	if diff := cmp.Diff([]string(nil), h.PreviousOwners(), cmp.Transformer("empty", func(s []string) int { return len(s) })); diff != "" {
		t.Error(diff)
	}
}

func TestChartTransitions(t *testing.T) { walker.Walk(t, leaser.Chart) }

func BenchmarkAdoptRoster(b *testing.B) {
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
			h := &leaser.Holder{Self: r.Members[0], LeaseDuration: leaseTime}
			h.SetRunners(runners)
			for b.Loop() {
				r.Epoch++
				h.AdoptRoster(r, time.Unix(0, 0))
			}
		})
	}
}
