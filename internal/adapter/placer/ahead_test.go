package placer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// Guards against evicting a popular copy for one that is loaded ahead of demand, which would be
// loaded again at once.
func TestCopyAheadOfDemandEvictsNoPopularOne(t *testing.T) {
	popular, rare, ahead := adapter("popular"), adapter("rare"), adapter("ahead")
	for _, tc := range []struct {
		name      string
		evictable map[placer.Copy]bool
		inUse     map[placer.Copy]bool
		want      placer.Order
		room      placer.Room
	}{
		{"none may be evicted", nil, nil, placer.Order{}, placer.NoRoom},
		{"the rare one may", map[placer.Copy]bool{rare: true}, nil, placer.Order{Copy: rare, Unload: true}, placer.Evictable},
		{"the rare one may, but is in use", map[placer.Copy]bool{rare: true}, map[placer.Copy]bool{rare: true}, placer.Order{}, placer.NoRoom},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(2)
			p.MayEvict = func(victim, _ placer.Copy) bool { return tc.evictable[victim] }
			p.InUse = func(c placer.Copy) bool { return tc.inUse[c] }
			p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{popular, rare}}, start)
			now := start.Add(time.Second)
			if diff := cmp.Diff(tc.room, p.AheadRoom(ahead, now)); diff != "" {
				t.Error("room:", diff)
			}
			p.RequestAhead(ahead, 1, now)
			order, _ := p.Next(now, placer.FetchAny)
			if diff := cmp.Diff(tc.want, order); diff != "" {
				t.Error("order:", diff)
			}
		})
	}
}

// A request waits for a copy that is also requested ahead of demand. Guards against a request that
// counts as none, whose load would then wait until no other request waits.
func TestRequestAheadDoesNotReplaceWaitingRequests(t *testing.T) {
	p := newPlacer(1)
	p.Request(adapter("a1"), 0, start)
	p.RequestAhead(adapter("a1"), 1, start)
	p.WithdrawAhead(adapter("a1"))
	order, ok := p.Next(start, placer.FetchForWaiting)
	if diff := cmp.Diff(placer.Order{Copy: adapter("a1")}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// Guards against copies ahead of demand that take all concurrent loads of a runner: a copy for
// which a request waits would be loaded after them.
func TestCopiesAheadLeaveALoadToWaitingRequests(t *testing.T) {
	p := newPlacer(8) // 4 concurrent loads
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5"} {
		p.RequestAhead(adapter(name), 1, start)
	}
	loads := 0
	for range 8 {
		if _, ok := p.Next(start, placer.FetchAny); ok {
			p.Finish(placer.Accepted, start)
			loads++
		}
	}
	p.Request(adapter("waiting"), 0, start)
	order, ok := p.Next(start, placer.FetchForWaiting)
	if diff := cmp.Diff(placer.Order{Copy: adapter("waiting"), Expected: uint64(loads)}, order); loads != 3 || !ok || diff != "" {
		t.Errorf("%d copies are loaded ahead; order %v: %s", loads, ok, diff)
	}
}

// A copy that was loaded ahead of demand has not been used yet. Guards against evicting it first,
// and loading it again.
func TestCopyAheadOfDemandIsNotTheFirstToBeEvicted(t *testing.T) {
	p := newPlacer(2)
	p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{adapter("rare")}}, start)
	p.ObserveHit(adapter("rare"), 1, start)
	p.RequestAhead(adapter("ahead"), 4, start)
	if _, ok := p.Next(start, placer.FetchAny); !ok {
		t.Fatal("no order")
	}
	p.Finish(placer.Applied, start)
	now := start.Add(time.Second)
	p.Request(adapter("waiting"), 0, now)
	order, ok := p.Next(now, placer.FetchAny)
	if diff := cmp.Diff(placer.Order{Copy: adapter("rare"), Unload: true, Expected: order.Expected}, order); !ok || diff != "" {
		t.Errorf("order %v: %s", ok, diff)
	}
}

// Guards against unloading a newer version, or one in use, for a version that nobody waits for.
func TestOlderIdleVersionIsReplacedAhead(t *testing.T) {
	older, newer := adapter("a1"), adapter("a1")
	newer.Version = 2
	for _, tc := range []struct {
		name   string
		held   placer.Copy
		inUse  bool
		wanted placer.Copy
		want   placer.Room
	}{
		{"the older one is idle", older, false, newer, placer.Replaces},
		{"the older one is in use", older, true, newer, placer.NoRoom},
		{"a newer one is held", newer, false, older, placer.NoRoom},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlacer(4)
			p.InUse = func(c placer.Copy) bool { return tc.inUse && c == tc.held }
			p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: []placer.Copy{tc.held}}, start)
			if diff := cmp.Diff(tc.want, p.AheadRoom(tc.wanted, start.Add(time.Second))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
