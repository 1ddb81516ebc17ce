package keeper

import "github.com/sardinetiller/sardinetiller/internal/adapter/warmer"

// An Evictor is an eviction policy, which orders slots by the cost of their
// eviction.
//
//sumtype:decl
type Evictor interface{ evictor() }

// Heat evicts the slot with the fewest uses, weighted by exponential decay, and
// prefers an adapter that another runner holds too.
type Heat struct {
	HalfLifePerSlot float64                  // half-life of a use, in uses of the runner per slot
	Copies          func(adapter string) int // copies in the failure domain; nil if unknown
}

// LRU evicts the least recently used slot. It is the baseline for Heat.
type LRU struct{}

func (Heat) evictor() {}
func (LRU) evictor()  {}

// evictionCost returns the cost of evicting the slot, in the unit of the policy.
func (k *Keeper) evictionCost(s *Slot) float64 {
	switch p := k.Policy.(type) {
	case Heat:
		copies := 1
		if p.Copies != nil {
			copies = p.Copies(s.Handle.Adapter)
		}
		return k.decayClock().EvictionCost(s.heat, copies)
	case LRU:
		return float64(s.heat.LastUse())
	default:
		panic("keeper: unknown evictor")
	}
}

// decayClock returns the clock, with the half-life of the policy.
func (k *Keeper) decayClock() *warmer.Clock {
	halfLife := float64(warmer.HalfLifePerSlot)
	if p, ok := k.Policy.(Heat); ok && p.HalfLifePerSlot > 0 {
		halfLife = p.HalfLifePerSlot
	}
	k.clock.HalfLife = halfLife * float64(max(1, k.Capacity))
	return &k.clock
}

// recordUse records one use of the slot.
func (k *Keeper) recordUse(s *Slot) { k.decayClock().Touch(&s.heat, 1) }
