package keeper

import (
	"math"
	"time"
)

// An Evictor is a policy that orders slots by what their loss would cost.
//
//sumtype:decl
type Evictor interface{ evictor() }

// A Heat evictor gives up the slot with the fewest uses, older uses counting
// less, and prefers an adapter that another runner holds too.
type Heat struct {
	HalfLife time.Duration            // after which a use counts half
	Copies   func(adapter string) int // copies in the failure domain; nil if unknown
}

// An LRU evictor gives up the slot that was used longest ago. It is the
// baseline that Heat is measured against.
type LRU struct{}

func (Heat) evictor() {}
func (LRU) evictor()  {}

// copyDiscount is the part of its heat that a slot keeps when another runner
// of the domain holds the same adapter: losing it costs a longer queue there,
// not a load.
const copyDiscount = 0.4

// value returns what losing the slot would cost, in the policy's own unit.
func value(policy Evictor, s *Slot, now time.Time) float64 {
	switch p := policy.(type) {
	case Heat:
		return heatValue(p, s, now)
	case LRU:
		return -now.Sub(s.used).Seconds()
	default:
		panic("keeper: unknown evictor")
	}
}

func heatValue(p Heat, s *Slot, now time.Time) float64 {
	heat := s.heat(now, p.HalfLife)
	if p.Copies != nil && p.Copies(s.Handle.Adapter) > 1 {
		heat *= copyDiscount
	}
	return heat
}

func decay(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
