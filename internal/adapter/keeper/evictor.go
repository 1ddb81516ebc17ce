package keeper

import "math"

// An Evictor is a policy that orders slots by what their loss would cost.
//
//sumtype:decl
type Evictor interface{ evictor() }

// A Heat evictor gives up the slot with the fewest uses, older uses counting
// less, and prefers an adapter that another runner holds too.
//
// Uses age with the uses of the runner and not with time: what matters is how
// many other adapters were wanted since, and a runner that stands idle over
// night has not learnt anything. docs/design/routing.md has the figures.
type Heat struct {
	Turns  float64                  // uses of the runner, for each slot, after which a use counts half
	Copies func(adapter string) int // copies in the failure domain; nil if unknown
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

// defaultTurns is the ageing of slots whose policy names none.
const defaultTurns = 8

// value returns what losing the slot would cost, in the policy's own unit.
func (k *Keeper) value(s *Slot) float64 {
	switch p := k.Policy.(type) {
	case Heat:
		heat := k.heat(s)
		if p.Copies != nil && p.Copies(s.Handle.Adapter) > 1 {
			heat *= copyDiscount
		}
		return heat
	case LRU:
		return float64(s.used)
	default:
		panic("keeper: unknown evictor")
	}
}

// heat returns the slot's uses, aged.
func (k *Keeper) heat(s *Slot) float64 {
	turns := float64(defaultTurns)
	if p, ok := k.Policy.(Heat); ok && p.Turns > 0 {
		turns = p.Turns
	}
	age := float64(k.uses-s.used) / (turns * float64(max(1, k.Capacity)))
	return s.hits * math.Exp2(-age)
}

// touch counts one use of the slot.
func (k *Keeper) touch(s *Slot) {
	s.hits = k.heat(s) + 1
	k.uses++
	s.used = k.uses
}
