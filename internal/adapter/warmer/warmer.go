// Package warmer measures how much the adapters of one runner are wanted, so
// that the least wanted one makes way for another.
//
// Uses age with the uses of the runner and not with time: what matters is how
// many other adapters were wanted since, and a runner that stands idle over
// night has not learnt anything. docs/design/routing.md has the figures.
package warmer

import "math"

// A Clock counts the uses of one runner. Its fields are set before use; it is
// not safe for concurrent use.
type Clock struct {
	Half float64 // uses of the runner after which a use counts half

	uses uint64
}

// A Heat is the uses of one adapter, older ones counting less. Its zero value
// is an adapter that was never used.
type Heat struct {
	hits float64 // aged to the time of at
	at   uint64  // by the clock's count of uses
}

// Fresh returns the heat of an adapter that counts as used so many times now.
func (c *Clock) Fresh(hits float64) Heat { return Heat{hits: hits, at: c.uses} }

// Of returns the aged uses of an adapter.
func (c *Clock) Of(h Heat) float64 {
	return h.hits * math.Exp2(-float64(c.uses-h.at)/c.Half)
}

// Touch counts n uses of an adapter.
func (c *Clock) Touch(h *Heat, n int) {
	h.hits = c.Of(*h) + float64(n)
	c.uses += uint64(n)
	h.at = c.uses
}

// Last returns when an adapter was last used, by the clock's count of uses.
func (h Heat) Last() uint64 { return h.at }

// Loss returns what giving up an adapter would cost, in uses. copies is how many
// runners of the failure domain hold it, this one included.
func (c *Clock) Loss(h Heat, copies int) float64 {
	if copies > 1 {
		return copyDiscount * c.Of(h)
	}
	return c.Of(h)
}

// copyDiscount is the part of its heat that an adapter keeps when another runner
// of the failure domain holds it too: losing it costs a longer queue there, not
// a load.
const copyDiscount = 0.4

// Turns is after how many uses of a runner, for each of its slots, a use counts
// half.
const Turns = 8
