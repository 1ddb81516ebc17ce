package keeper_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/check/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// An owner is an instance that owns, has owned or may assume to own the runner.
type owner struct {
	assumesLease bool // has not observed yet that another instance took over
	keeper       *keeper.Keeper
	orders       []keeper.Action
	pinned       []keeper.Handle // pinned, not sent yet; the instance may be paused in between
	sent         []keeper.Handle
}

// An ownershipModel models one engine and several owners, one of which holds the lease.
type ownershipModel struct {
	epoch        uint64
	fence        uint64 // highest fencing token that the engine has received
	fencing      bool
	leaseHolder  int
	now          time.Time
	owners       []*owner
	resident     map[string]bool
	running      map[string]int
	trustReports bool // disables the safeguard: every report counts as received under a valid lease
}

func newOwnershipModel(fencing, trustReports bool) *ownershipModel {
	m := &ownershipModel{
		fencing: fencing, trustReports: trustReports, leaseHolder: -1, now: start,
		resident: make(map[string]bool), running: make(map[string]int),
	}
	for i := range 3 {
		m.owners = append(m.owners, &owner{keeper: &keeper.Keeper{
			Capacity: 3, Fencing: fencing, Policy: keeper.LRU{}, Self: fmt.Sprint("i", i),
		}})
	}
	return m
}

// transfer gives the lease to another owner without notice to the previous one.
func (m *ownershipModel) transfer(to int) {
	m.epoch++
	m.leaseHolder = to
	var previousOwners []string
	for _, o := range m.owners {
		previousOwners = append(previousOwners, o.keeper.Self)
	}
	o := m.owners[to]
	o.keeper.Acquire(m.epoch, previousOwners)
	o.assumesLease = true
}

// clear has the lease holder ask another owner to release the runner, which shows
// that owner that it has been replaced.
func (m *ownershipModel) clear(other int) {
	o := m.owners[other]
	if m.leaseHolder < 0 || other == m.leaseHolder {
		return
	}
	o.assumesLease = false
	o.keeper.Release()
	if handover, ok := o.keeper.Handover(); ok {
		m.owners[m.leaseHolder].keeper.Clear(o.keeper.Self, handover)
	}
}

func (m *ownershipModel) report(who int) error {
	o := m.owners[who]
	_, err := o.keeper.Reconcile(keeper.Report{
		RequestedAt: m.now, LeaseValid: m.trustReports || who == m.leaseHolder, Engine: "e", Resident: slices.Sorted(maps.Keys(m.resident)),
	})
	return err
}

// carryOut has the engine carry out an order if the fencing token is valid.
func (m *ownershipModel) carryOut(action keeper.Action) (keeper.Outcome, error) {
	switch a := action.(type) {
	case keeper.Load:
		if !m.admit(a.Fence) || len(m.resident) >= 3 {
			return keeper.Failed, nil
		}
		m.resident[a.Handle.String()] = true
	case keeper.Evict:
		name := a.Handle.String()
		if !m.admit(a.Fence) {
			return keeper.Failed, nil
		}
		if m.running[name] > 0 {
			return keeper.Done, fmt.Errorf("%s evicted under %d requests by the order of epoch %d in epoch %d", name, m.running[name], a.Fence, m.epoch)
		}
		delete(m.resident, name)
	}
	return keeper.Done, nil
}

func (m *ownershipModel) admit(fence uint64) bool {
	if m.fencing && fence < m.fence {
		return false
	}
	m.fence = max(m.fence, fence)
	return true
}

func (m *ownershipModel) step(t *rapid.T) error {
	m.now = m.now.Add(time.Millisecond)
	who := rapid.IntRange(0, len(m.owners)-1).Draw(t, "who")
	o := m.owners[who]
	adapter := rapid.SampledFrom([]string{"x@1", "y@1", "z@1", "w@1"}).Draw(t, "adapter")
	switch rapid.SampledFrom([]string{"transfer", "clear", "clear", "raise", "report", "report", "pin", "send", "end", "want", "order", "lose"}).Draw(t, "event") {
	case "transfer":
		if who != m.leaseHolder && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			m.transfer(who)
		}
	case "clear":
		m.clear(who)
	case "raise":
		if m.admit(o.keeper.Fence()) {
			o.keeper.ConfirmFence(o.keeper.Fence())
		}
	case "report":
		return m.report(who)
	case "pin":
		if handle, ok := o.keeper.Pin(adapter); ok {
			o.pinned = append(o.pinned, handle)
		}
	case "send":
		m.send(o)
	case "end":
		if len(o.sent) > 0 {
			m.running[o.sent[0].String()]--
			o.keeper.Unpin(o.sent[0])
			o.sent = o.sent[1:]
		}
	case "want":
		if action := o.keeper.NextOrder(adapter, m.now); action != nil {
			o.orders = append(o.orders, action)
		}
	case "order", "lose":
		return m.order(t, o)
	}
	return nil
}

// send sends a pinned request to the engine, which refuses it if the copy is not
// resident.
func (m *ownershipModel) send(o *owner) {
	if len(o.pinned) == 0 {
		return
	}
	handle := o.pinned[0]
	o.pinned = o.pinned[1:]
	if !m.resident[handle.String()] {
		o.keeper.Unpin(handle)
		return
	}
	m.running[handle.String()]++
	o.sent = append(o.sent, handle)
}

func (m *ownershipModel) order(t *rapid.T, o *owner) error {
	if len(o.orders) == 0 {
		return nil
	}
	action := o.orders[0]
	o.orders = o.orders[1:]
	outcome, err := m.carryOut(action)
	if err != nil {
		return err
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		outcome = keeper.Lost
	}
	return o.keeper.Finish(action, outcome, m.now)
}

// Three instances own a runner in turn. A replaced owner may continue for any length
// of time to serve, load, evict, and send requests that it had pinned before. No
// adapter may be evicted while a request of any owner runs on it, whether or not the
// engine checks fencing tokens.
func TestNoOwnerEvictsCopyInUse(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newOwnershipModel(fencing, false)
				m.transfer(0)
				for range 250 {
					if err := m.step(t); err != nil {
						t.Fatal(err)
					}
				}
			})
		})
	}
}

// Checks that the model above detects the failure that it tests for: a report that
// arrives after the lease has expired shows a copy of a later owner, which the
// previous owner treats as its own and evicts while a request runs on it.
func TestOwnershipModelDetectsMissingSafeguard(t *testing.T) {
	m := newOwnershipModel(false, true)
	m.transfer(0)
	for i := range m.owners {
		m.clear(i)
	}
	m.transfer(1)
	later := m.owners[1]
	load(t, later.keeper, "x@1", m.now)
	handle, _ := later.keeper.Pin("x@1")
	later.pinned = append(later.pinned, handle)
	m.resident[handle.String()] = true
	m.send(later)
	m.now = m.now.Add(time.Second)
	if err := m.report(0); err != nil {
		t.Fatal(err)
	}
	for _, adapter := range []string{"a@1", "b@1", "c@1"} {
		if _, err := m.carryOut(m.owners[0].keeper.NextOrder(adapter, m.now)); err != nil {
			return
		}
	}
	t.Error("an eviction by a previous owner was not reported")
}
