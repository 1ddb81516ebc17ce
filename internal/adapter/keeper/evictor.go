package keeper

import "github.com/sardinetiller/sardinetiller/internal/adapter/warmer"

// An Evictor is a policy that orders slots by what their loss would cost.
//
//sumtype:decl
type Evictor interface{ evictor() }

// A Heat evictor gives up the slot with the fewest uses, older uses counting
// less, and prefers an adapter that another runner holds too.
type Heat struct {
	Turns  float64                  // uses of the runner, for each slot, after which a use counts half
	Copies func(adapter string) int // copies in the failure domain; nil if unknown
}

// An LRU evictor gives up the slot that was used longest ago. It is the
// baseline that Heat is measured against.
type LRU struct{}

func (Heat) evictor() {}
func (LRU) evictor()  {}

// value returns what losing the slot would cost, in the policy's own unit.
func (k *Keeper) value(s *Slot) float64 {
	switch p := k.Policy.(type) {
	case Heat:
		copies := 1
		if p.Copies != nil {
			copies = p.Copies(s.Handle.Adapter)
		}
		return k.aged().Loss(s.heat, copies)
	case LRU:
		return float64(s.heat.Last())
	default:
		panic("keeper: unknown evictor")
	}
}

// aged returns the clock, by which uses age as the policy says.
func (k *Keeper) aged() *warmer.Clock {
	turns := float64(warmer.Turns)
	if p, ok := k.Policy.(Heat); ok && p.Turns > 0 {
		turns = p.Turns
	}
	k.clock.Half = turns * float64(max(1, k.Capacity))
	return &k.clock
}

// touch counts one use of the slot.
func (k *Keeper) touch(s *Slot) { k.aged().Touch(&s.heat, 1) }
