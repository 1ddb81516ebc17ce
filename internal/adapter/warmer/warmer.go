// Package warmer measures how often the adapters of one runner are used, so that
// the least used one is evicted first.
//
// Uses decay with the uses of the runner and not with time: what matters is how
// many other adapters were used since, and a runner that is idle overnight gives no
// new information. docs/design/routing.md has the figures.
package warmer

import "math"

// A Clock counts the uses of one runner. Its exported field is set before use; it
// is not safe for concurrent use.
type Clock struct {
	HalfLife float64 // half-life of a use, in uses of the runner

	uses uint64
}

// A Heat is the exponentially decaying use count of one adapter. Its zero value is
// an adapter that was never used.
type Heat struct {
	hits float64 // decayed up to at
	at   uint64  // value of the clock's use count at the last use
}

// NewHeat returns the heat of an adapter with the given number of uses now.
func (c *Clock) NewHeat(hits float64) Heat { return Heat{hits: hits, at: c.uses} }

// Decayed returns the decayed use count of an adapter.
func (c *Clock) Decayed(h Heat) float64 {
	return h.hits * math.Exp2(-float64(c.uses-h.at)/c.HalfLife)
}

// Touch records n uses of an adapter.
func (c *Clock) Touch(h *Heat, n int) {
	h.hits = c.Decayed(*h) + float64(n)
	c.uses += uint64(n)
	h.at = c.uses
}

// LastUse returns when an adapter was last used, by the clock's count of uses.
func (h Heat) LastUse() uint64 { return h.at }

// EvictionCost returns the cost of evicting an adapter, in uses. copies is the number
// of runners of the failure domain that hold it, including this one.
func (c *Clock) EvictionCost(h Heat, copies int) float64 {
	if copies > 1 {
		return copyDiscount * c.Decayed(h)
	}
	return c.Decayed(h)
}

// copyDiscount is the factor for the cost of an adapter that another runner of the
// failure domain holds too: its eviction lengthens the queue there but causes no
// load.
const copyDiscount = 0.4

// HalfLifePerSlot is the half-life of a use, in uses of the runner per slot.
const HalfLifePerSlot = 8
