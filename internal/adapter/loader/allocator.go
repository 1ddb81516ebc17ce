package loader

import (
	"time"
)

// An Allocator grants permits to load from the weight store, which is fastest with
// MaxConcurrent concurrent loads; more of them slow each other down.
//
// One live instance runs it for the deployment, the first in an order that all
// agree on. It needs no lease, because two allocators at once cost only speed. The
// bid with the most stall to remove is granted first. A permit expires unless it is
// returned, so that a paused instance does not block the weight store.
type Allocator struct {
	PermitTTL     time.Duration // lifetime of a permit
	MaxConcurrent int           // concurrent permits

	expiry  map[uint64]time.Time // expiry of each permit
	waiting map[uint64]bid
}

type bid struct {
	value float64
	since time.Time
}

// waitBonus is added to a bid for each second of waiting, so that small bids
// are not starved.
const waitBonus = 1

// Bid adds a bid or replaces it.
func (a *Allocator) Bid(id uint64, value float64, now time.Time) {
	a.init()
	a.waiting[id] = bid{value: value, since: now}
}

// Done returns a permit, or withdraws a bid that has not been granted.
func (a *Allocator) Done(id uint64) {
	delete(a.expiry, id)
	delete(a.waiting, id)
}

// Grant grants permits to the highest bids and returns their IDs.
func (a *Allocator) Grant(now time.Time) []uint64 {
	for id, until := range a.expiry {
		if now.After(until) {
			delete(a.expiry, id)
		}
	}
	var granted []uint64
	for len(a.expiry) < a.MaxConcurrent && len(a.waiting) > 0 {
		id := a.best(now)
		delete(a.waiting, id)
		a.expiry[id] = now.Add(a.PermitTTL)
		granted = append(granted, id)
	}
	return granted
}

// best returns the highest bid, including the value of its waiting time, and the
// one with the lowest ID among equals.
func (a *Allocator) best(now time.Time) uint64 {
	var best uint64
	first := true
	effective := func(id uint64) float64 {
		b := a.waiting[id]
		return b.value + waitBonus*now.Sub(b.since).Seconds()
	}
	for id := range a.waiting {
		if first || effective(id) > effective(best) || (effective(id) == effective(best) && id < best) {
			best = id
			first = false
		}
	}
	return best
}

func (a *Allocator) init() {
	if a.expiry == nil {
		a.expiry = make(map[uint64]time.Time)
		a.waiting = make(map[uint64]bid)
	}
}
