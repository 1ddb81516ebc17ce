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

func newOwnershipModel(fencing, trusting bool) *ownershipModel {
	c := &ownershipModel{
		fencing: fencing, trustReports: trusting, leaseHolder: -1, now: start,
		resident: make(map[string]bool), running: make(map[string]int),
	}
	for i := range 3 {
		c.owners = append(c.owners, &owner{keeper: &keeper.Keeper{
			Capacity: 3, Fencing: fencing, Policy: keeper.LRU{}, Self: fmt.Sprint("i", i),
		}})
	}
	return c
}

// transfer gives the lease to another owner without notice to the previous one.
func (c *ownershipModel) transfer(to int) {
	c.epoch++
	c.leaseHolder = to
	var previousOwners []string
	for _, o := range c.owners {
		previousOwners = append(previousOwners, o.keeper.Self)
	}
	o := c.owners[to]
	o.keeper.Acquire(c.epoch, previousOwners)
	o.assumesLease = true
}

// clear has the lease holder ask another owner to release the runner, which tells
// that owner that it has been replaced.
func (c *ownershipModel) clear(other int) {
	o := c.owners[other]
	if c.leaseHolder < 0 || other == c.leaseHolder {
		return
	}
	o.assumesLease = false
	o.keeper.Release()
	if handover, ok := o.keeper.Handover(); ok {
		c.owners[c.leaseHolder].keeper.Clear(o.keeper.Self, handover)
	}
}

func (c *ownershipModel) report(who int) error {
	o := c.owners[who]
	_, err := o.keeper.Reconcile(keeper.Report{
		RequestedAt: c.now, LeaseValid: c.trustReports || who == c.leaseHolder, Engine: "e", Resident: slices.Sorted(maps.Keys(c.resident)),
	})
	return err
}

// carryOut has the engine carry out an order if the fencing token is valid.
func (c *ownershipModel) carryOut(action keeper.Action) (keeper.Outcome, error) {
	switch a := action.(type) {
	case keeper.Load:
		if !c.admit(a.Fence) || len(c.resident) >= 3 {
			return keeper.Failed, nil
		}
		c.resident[a.Handle.String()] = true
	case keeper.Evict:
		name := a.Handle.String()
		if !c.admit(a.Fence) {
			return keeper.Failed, nil
		}
		if c.running[name] > 0 {
			return keeper.Done, fmt.Errorf("%s evicted under %d requests by the order of epoch %d in epoch %d", name, c.running[name], a.Fence, c.epoch)
		}
		delete(c.resident, name)
	}
	return keeper.Done, nil
}

func (c *ownershipModel) admit(fence uint64) bool {
	if c.fencing && fence < c.fence {
		return false
	}
	c.fence = max(c.fence, fence)
	return true
}

func (c *ownershipModel) step(t *rapid.T) error {
	c.now = c.now.Add(time.Millisecond)
	who := rapid.IntRange(0, len(c.owners)-1).Draw(t, "who")
	o := c.owners[who]
	adapter := rapid.SampledFrom([]string{"x@1", "y@1", "z@1", "w@1"}).Draw(t, "adapter")
	switch rapid.SampledFrom([]string{"transfer", "clear", "clear", "raise", "report", "report", "pin", "send", "end", "want", "order", "lose"}).Draw(t, "event") {
	case "transfer":
		if who != c.leaseHolder && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			c.transfer(who)
		}
	case "clear":
		c.clear(who)
	case "raise":
		if c.admit(o.keeper.Fence()) {
			o.keeper.ConfirmFence(o.keeper.Fence())
		}
	case "report":
		return c.report(who)
	case "pin":
		if handle, ok := o.keeper.Pin(adapter); ok {
			o.pinned = append(o.pinned, handle)
		}
	case "send":
		c.send(o)
	case "end":
		if len(o.sent) > 0 {
			c.running[o.sent[0].String()]--
			o.keeper.Unpin(o.sent[0])
			o.sent = o.sent[1:]
		}
	case "want":
		if action := o.keeper.NextOrder(adapter, c.now); action != nil {
			o.orders = append(o.orders, action)
		}
	case "order", "lose":
		return c.order(t, o)
	}
	return nil
}

// send sends a pinned request to the engine, which refuses it if the copy is not
// resident.
func (c *ownershipModel) send(o *owner) {
	if len(o.pinned) == 0 {
		return
	}
	handle := o.pinned[0]
	o.pinned = o.pinned[1:]
	if !c.resident[handle.String()] {
		o.keeper.Unpin(handle)
		return
	}
	c.running[handle.String()]++
	o.sent = append(o.sent, handle)
}

func (c *ownershipModel) order(t *rapid.T, o *owner) error {
	if len(o.orders) == 0 {
		return nil
	}
	action := o.orders[0]
	o.orders = o.orders[1:]
	outcome, err := c.carryOut(action)
	if err != nil {
		return err
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		outcome = keeper.Lost
	}
	return o.keeper.Finish(action, outcome, c.now)
}

// Three instances own a runner in turn. A replaced owner may continue for any length
// of time to serve, load, evict, and send requests that it had pinned before. No
// adapter may be evicted while a request of any owner runs on it, whether or not the
// engine checks fencing tokens.
func TestNoOwnerEvictsCopyInUse(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := newOwnershipModel(fencing, false)
				c.transfer(0)
				for range 250 {
					if err := c.step(t); err != nil {
						t.Fatal(err)
					}
				}
			})
		})
	}
}

// Checks that the model above detects the failure that it tests for: a report that
// arrives after the lease has expired shows a copy of a later owner, which the
// previous owner takes for its own and evicts while a request runs on it.
func TestOwnershipModelDetectsMissingSafeguard(t *testing.T) {
	c := newOwnershipModel(false, true)
	c.transfer(0)
	for i := range c.owners {
		c.clear(i)
	}
	c.transfer(1)
	later := c.owners[1]
	load(t, later.keeper, "x@1", c.now)
	handle, _ := later.keeper.Pin("x@1")
	later.pinned = append(later.pinned, handle)
	c.resident[handle.String()] = true
	c.send(later)
	c.now = c.now.Add(time.Second)
	if err := c.report(0); err != nil {
		t.Fatal(err)
	}
	for _, adapter := range []string{"a@1", "b@1", "c@1"} {
		if _, err := c.carryOut(c.owners[0].keeper.NextOrder(adapter, c.now)); err != nil {
			return
		}
	}
	t.Error("an eviction by a previous owner was not reported")
}
