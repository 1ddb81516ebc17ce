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
	Half float64 // half-life of a use, in uses of the runner

	uses uint64
}

// A Heat is the exponentially decaying use count of one adapter. Its zero value is
// an adapter that was never used.
type Heat struct {
	hits float64 // decayed up to at
	at   uint64  // value of the clock's use count at the last use
}

// Fresh returns the heat of an adapter with the given number of uses now.
func (c *Clock) Fresh(hits float64) Heat { return Heat{hits: hits, at: c.uses} }

// Of returns the decayed use count of an adapter.
func (c *Clock) Of(h Heat) float64 {
	return h.hits * math.Exp2(-float64(c.uses-h.at)/c.Half)
}

// Touch records n uses of an adapter.
func (c *Clock) Touch(h *Heat, n int) {
	h.hits = c.Of(*h) + float64(n)
	c.uses += uint64(n)
	h.at = c.uses
}

// Last returns when an adapter was last used, by the clock's count of uses.
func (h Heat) Last() uint64 { return h.at }

// Loss returns the cost of evicting an adapter, in uses. copies is the number of
// runners of the failure domain that hold it, including this one.
func (c *Clock) Loss(h Heat, copies int) float64 {
	if copies > 1 {
		return copyDiscount * c.Of(h)
	}
	return c.Of(h)
}

// copyDiscount is the factor for the cost of an adapter that another runner of the
// failure domain holds too: its eviction lengthens the queue there but causes no
// load.
const copyDiscount = 0.4

// Turns is the half-life of a use, in uses of the runner per slot.
const Turns = 8
