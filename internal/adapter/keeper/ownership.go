package keeper

import (
	"maps"
	"slices"
)

// A Handover is the answer of an incarnation that a later owner asks to release a
// runner. After it, the incarnation sends no orders to the runner.
type Handover struct {
	Pins     map[string]int // number of running requests by handle
	Evicting []string       // handles that an unanswered eviction order may still evict
}

// Release releases the runner: nothing is ordered or admitted until the next Acquire.
// Running requests keep their pins.
func (k *Keeper) Release() {
	k.owned = false
	k.fenceConfirmed = false
}

// Blocked returns how many slots hold a copy that cannot be evicted only because a
// previous owner has not been cleared.
func (k *Keeper) Blocked() int {
	blocked := 0
	for _, s := range k.slots {
		if s.resident() && s.Pins == 0 && s.Inherited && !k.Cleared() {
			blocked++
		}
	}
	return blocked
}

// Clear records that a previous owner has released the runner. It may be called
// again as the requests of that owner end.
func (k *Keeper) Clear(owner string, handover Handover) {
	k.init()
	delete(k.uncleared, owner)
	delete(k.previousPins, owner)
	if len(handover.Pins) > 0 {
		k.previousPins[owner] = maps.Clone(handover.Pins)
	}
	for _, name := range handover.Evicting {
		k.doom(name)
	}
}

// Cleared reports whether every previous owner has been cleared and holds no pin.
func (k *Keeper) Cleared() bool {
	return len(k.uncleared) == 0 && len(k.previousPins) == 0
}

// ConfirmFence records that the engine has confirmed a fencing token. A token other than
// that of the current lease is ignored.
func (k *Keeper) ConfirmFence(fence uint64) {
	if k.owned && fence == k.fence {
		k.fenceConfirmed = true
	}
}

// Ready reports whether this instance owns the runner and an engine that checks
// fencing tokens has confirmed the current one. Only then can copies be served.
func (k *Keeper) Ready() bool {
	return k.owned && (!k.Fencing || k.fenceConfirmed)
}

// Handover returns the state that a later owner needs. It is false while this
// instance still owns the runner or one of its eviction orders is in flight: the
// later owner asks again.
func (k *Keeper) Handover() (Handover, bool) {
	handover := Handover{Pins: make(map[string]int)}
	for name, slot := range k.slots {
		switch slot.Machine.State {
		case stateEvicting, stateFinishing:
			return Handover{}, false
		case stateDoomed:
			handover.Evicting = append(handover.Evicting, name)
		}
		if slot.Pins > 0 {
			handover.Pins[name] = slot.Pins
		}
	}
	slices.Sort(handover.Evicting)
	return handover, !k.owned
}

// Acquire records that this instance has acquired the lease on the runner. The
// previous owners are the incarnations that may have used the runner before and
// have not been cleared.
func (k *Keeper) Acquire(fence uint64, previousOwners []string) {
	k.init()
	k.owned = true
	k.fenceConfirmed = false
	k.fence = fence
	k.uncleared = make(map[string]bool)
	clear(k.previousPins)
	for _, owner := range previousOwners {
		if owner != k.Self {
			k.uncleared[owner] = true
		}
	}
	for _, s := range k.slots {
		s.Inherited = true
	}
}

// Uncleared returns the previous owners that have not been cleared or still hold
// pins, sorted.
func (k *Keeper) Uncleared() []string {
	owners := slices.Collect(maps.Keys(k.uncleared))
	for owner := range k.previousPins {
		if !k.uncleared[owner] {
			owners = append(owners, owner)
		}
	}
	slices.Sort(owners)
	return owners
}

// doom marks a copy that must not serve requests again.
func (k *Keeper) doom(name string) {
	k.discover(name, true)
	if s := k.slots[name]; s.Machine.State == stateResident || s.Machine.State == stateUnsure {
		_ = s.Machine.Fire(eventDoom) // both states have this transition
	}
}

// evictable enforces that no copy is evicted while a request runs on it. An
// inherited copy may be in use by a request that a previous owner sent, or is
// about to send after a pause. The pins of that owner are not known here, so the
// copy stays until every previous owner is cleared.
func (k *Keeper) evictable(s *Slot) bool {
	held := s.resident() || s.Machine.State == stateDoomed
	if !held || s.Foreign || s.Pins > 0 {
		return false
	}
	return !s.Inherited || k.Cleared()
}

// servable enforces that requests reach exactly the adapter they name: the
// residency of the copy is confirmed, and no other instance can evict it. The
// loader of an inherited copy could, so the copy serves only when the engine
// refuses the loader's orders (fencing token confirmed) or the loader is cleared.
func (k *Keeper) servable(s *Slot) bool {
	if !k.owned || !s.resident() || s.Foreign {
		return false
	}
	if k.Fencing {
		return k.fenceConfirmed
	}
	return !s.Inherited || len(k.uncleared) == 0
}
