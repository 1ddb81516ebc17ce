package loader_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
)

func TestAllocatorGrantsTheHighestBids(t *testing.T) {
	a := &loader.Allocator{PermitTTL: time.Second, MaxConcurrent: 2}
	for id, value := range map[uint64]float64{1: 1, 2: 5, 3: 3} {
		a.Bid(id, value, start)
	}
	if diff := cmp.Diff([]uint64{2, 3}, a.Grant(start)); diff != "" {
		t.Error(diff)
	}
	a.Done(3)
	if diff := cmp.Diff([]uint64{1}, a.Grant(start)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a permit of a paused instance that blocks the weight store.
func TestUnreturnedPermitExpires(t *testing.T) {
	a := &loader.Allocator{PermitTTL: time.Second, MaxConcurrent: 1}
	a.Bid(1, 1, start)
	a.Grant(start)
	a.Bid(2, 1, start)
	if got := a.Grant(start.Add(time.Second)); got != nil {
		t.Errorf("granted %v while the permit is held", got)
	}
	if diff := cmp.Diff([]uint64{2}, a.Grant(start.Add(1100*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
}

// Guards against a continuous stream of large bids that starves a small one.
func TestSmallBidIsNotStarved(t *testing.T) {
	a := &loader.Allocator{PermitTTL: time.Second, MaxConcurrent: 1}
	a.Bid(1, 1, start)
	for i := range uint64(30) {
		now := start.Add(time.Duration(i) * time.Second)
		a.Bid(100+i, 10, now)
		granted := a.Grant(now)
		if len(granted) == 1 && granted[0] == 1 {
			return
		}
		for _, id := range granted {
			a.Done(id)
		}
	}
	t.Error("the small bid was never granted")
}
