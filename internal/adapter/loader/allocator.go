package loader

import (
	"time"
)

// An Allocator hands out the permits to load from the weight store, which is
// fastest with Together loads at once and slower for all with more.
//
// One live instance runs it for the deployment, whichever all agree is first;
// it needs no lease, because two of them at once cost only speed. Whoever bids
// the most stall to remove goes first. A permit whose holder is silent runs out,
// so that a paused one does not hold the weight store up.
type Allocator struct {
	Time     time.Duration // after which a permit runs out
	Together int

	held    map[uint64]time.Time // until
	waiting map[uint64]bid
}

type bid struct {
	value float64
	since time.Time
}

// patienceValue is what a second of waiting adds to a bid, so that a small one
// does not wait for ever.
const patienceValue = 1

// Bid enters a bid.
func (a *Allocator) Bid(id uint64, value float64, now time.Time) {
	a.init()
	a.waiting[id] = bid{value: value, since: now}
}

// Done gives a permit back, or takes a bid out that has not been granted.
func (a *Allocator) Done(id uint64) {
	delete(a.held, id)
	delete(a.waiting, id)
}

// Grant returns the bids that get a permit now.
func (a *Allocator) Grant(now time.Time) []uint64 {
	for id, until := range a.held {
		if now.After(until) {
			delete(a.held, id)
		}
	}
	var granted []uint64
	for len(a.held) < a.Together && len(a.waiting) > 0 {
		id := a.best(now)
		delete(a.waiting, id)
		a.held[id] = now.Add(a.Time)
		granted = append(granted, id)
	}
	return granted
}

// best returns the highest bid, the oldest among equals.
func (a *Allocator) best(now time.Time) uint64 {
	var best uint64
	first := true
	worth := func(id uint64) float64 {
		b := a.waiting[id]
		return b.value + patienceValue*now.Sub(b.since).Seconds()
	}
	for id := range a.waiting {
		if first || worth(id) > worth(best) || (worth(id) == worth(best) && id < best) {
			best = id
			first = false
		}
	}
	return best
}

func (a *Allocator) init() {
	if a.held == nil {
		a.held = make(map[uint64]time.Time)
		a.waiting = make(map[uint64]bid)
	}
}
