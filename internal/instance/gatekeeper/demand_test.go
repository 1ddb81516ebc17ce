package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against uses that never end because the report of their end is lost or the instance
// dies: the adapter slot would stay occupied for good. A copy must stay while any member uses
// it, and no longer.
func TestUsesEndWithTheirMembers(t *testing.T) {
	c := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
	k := keyOf("i-1", c)
	uses := func(n int) relayer.Demand {
		return relayer.Demand{Uses: []relayer.CopyUse{{Runner: "i-1", Copy: c, Requests: n}}}
	}
	for _, tc := range []struct {
		name   string
		happen func(d *controller)
		want   int
	}{
		{"two members use it", func(d *controller) {
			d.applyDemand("front-1", uses(1))
			d.applyDemand("front-2", uses(2))
		}, 3},
		{"one of them reports the end", func(d *controller) {
			d.applyDemand("front-1", uses(1))
			d.applyDemand("front-2", uses(2))
			d.applyDemand("front-2", relayer.Demand{})
		}, 1},
		{"one of them dies", func(d *controller) {
			d.applyDemand("front-1", uses(1))
			time.Sleep(memberTimeout - time.Second)
			d.applyDemand("front-2", uses(2))
			time.Sleep(2 * time.Second)
			d.loadsExcept("", time.Now())
		}, 2},
		{"capacity reserved, use not reported yet", func(d *controller) {
			d.recordUse("front-1", k)
		}, 1},
		{"capacity reserved, use reported since", func(d *controller) {
			d.recordUse("front-1", k)
			d.applyDemand("front-1", uses(1))
		}, 1},
		{"capacity reserved by one that dies before it reports", func(d *controller) {
			d.recordUse("front-1", k)
			time.Sleep(memberTimeout + time.Second)
			d.loadsExcept("", time.Now())
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestGatekeeper().controllers["a"]
				tc.happen(d)
				if diff := cmp.Diff(tc.want, d.aggregator.Uses(k)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Guards against a published wait that leaves out the wait for an adapter slot. A runner has two
// slots, both in use, and three adapters are queued. When only the load time of a quarter of a
// second was published, requests waited at one runner while another had an idle slot.
func TestSlotWaitCountsQueuedAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		d := g.controllers["a"]
		copies := make([]placer.Copy, 5)
		for n := range copies {
			copies[n] = placer.Copy{Model: "m", Adapter: string(rune('a' + n)), Version: 1}
		}
		r := tracker.Runner{ID: "i-1", Service: "llm", Domain: "a"}
		g.Fleet.Set(r)
		p := &placer.Placer{InUse: func(c placer.Copy) bool { return d.aggregator.Uses(keyOf("i-1", c)) > 0 }, Model: "m", AdapterSlots: 2}
		p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: copies[:2]}, time.Now())
		d.runners["i-1"] = &runnerState{runner: r, placer: p}
		time.Sleep(time.Second)
		if wait := d.slotWait(d.runners["i-1"], time.Now()); wait != 0 {
			t.Errorf("wait %s for slots that no request needs", wait)
		}
		demand := relayer.Demand{Uses: []relayer.CopyUse{{Runner: "i-1", Copy: copies[0], Requests: 1}, {Runner: "i-1", Copy: copies[1], Requests: 1}}}
		for _, c := range copies[2:] {
			demand.Waits = append(demand.Waits, relayer.Wait{Runner: "i-1", Copy: c, Waiting: placer.Waiting{Requests: 1}})
		}
		d.applyDemand("front-1", demand)
		occupied := g.LoadTime() + g.Fleet.RunTime("llm")
		if wait := d.slotWait(d.runners["i-1"], time.Now()); wait != 4*occupied/2 {
			t.Errorf("wait %s behind three others for two slots held %s each", wait, occupied)
		}
		d.applyDemand("front-1", relayer.Demand{})
		if wait := d.slotWait(d.runners["i-1"], time.Now()); wait != 0 {
			t.Errorf("wait %s after all requests have ended", wait)
		}
	})
}
