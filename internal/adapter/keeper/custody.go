package keeper

import (
	"maps"
	"slices"
)

// A Surrender is what an incarnation answers when a later owner asks it to
// give a runner up. After it, the incarnation orders nothing on the runner.
type Surrender struct {
	Pins   map[string]int // handles that its running requests still use
	Doomed []string       // handles that a lost eviction of its may still hit
}

// Abandon ends the tenure: nothing is ordered or admitted until the next Take.
// Requests that run keep their pins.
func (k *Keeper) Abandon() {
	k.owned = false
	k.raised = false
}

// Blocked returns how many slots hold a copy that cannot be evicted only
// because an earlier party has not been cleared.
func (k *Keeper) Blocked() int {
	blocked := 0
	for _, s := range k.slots {
		if s.resident() && s.Pins == 0 && s.Inherited && !k.Cleared() {
			blocked++
		}
	}
	return blocked
}

// Clear records that a party has given the runner up. It may be called again
// as the party's requests end.
func (k *Keeper) Clear(party string, s Surrender) {
	k.init()
	delete(k.uncleared, party)
	delete(k.foreign, party)
	if len(s.Pins) > 0 {
		k.foreign[party] = maps.Clone(s.Pins)
	}
	for _, name := range s.Doomed {
		k.doom(name)
	}
}

// Cleared reports whether every earlier party has been cleared and holds no
// pin.
func (k *Keeper) Cleared() bool {
	return len(k.uncleared) == 0 && len(k.foreign) == 0
}

// Raise records that the engine has confirmed the tenure's fencing number.
func (k *Keeper) Raise(fence uint64) {
	if k.owned && fence == k.fence {
		k.raised = true
	}
}

// Ready reports whether the tenure has begun in full: it is known then which
// copies can be served.
func (k *Keeper) Ready() bool {
	return k.owned && (!k.Fencing || k.raised)
}

// Surrender returns what a later owner must know. It is false while this
// instance still owns the runner or an eviction order of its is under way: the
// later owner asks again.
func (k *Keeper) Surrender() (Surrender, bool) {
	s := Surrender{Pins: make(map[string]int)}
	for name, slot := range k.slots {
		switch slot.Machine.State {
		case stateEvicting, stateFinishing:
			return Surrender{}, false
		case stateDoomed:
			s.Doomed = append(s.Doomed, name)
		}
		if slot.Pins > 0 {
			s.Pins[name] = slot.Pins
		}
	}
	slices.Sort(s.Doomed)
	return s, !k.owned
}

// Take begins a tenure. The parties are the incarnations that may have used
// the runner before and have not been cleared.
func (k *Keeper) Take(fence uint64, parties []string) {
	k.init()
	k.owned = true
	k.raised = false
	k.fence = fence
	k.uncleared = make(map[string]bool)
	clear(k.foreign)
	for _, party := range parties {
		if party != k.Self {
			k.uncleared[party] = true
		}
	}
	for _, s := range k.slots {
		s.Inherited = true
	}
}

// Uncleared returns the parties that have not been cleared or still hold pins,
// sorted.
func (k *Keeper) Uncleared() []string {
	parties := slices.Collect(maps.Keys(k.uncleared))
	for party := range k.foreign {
		if !k.uncleared[party] {
			parties = append(parties, party)
		}
	}
	slices.Sort(parties)
	return parties
}

// doom marks a copy as never to be served again.
func (k *Keeper) doom(name string) {
	k.discover(name, true)
	if s := k.slots[name]; s.Machine.State == stateResident || s.Machine.State == stateUnsure {
		_ = s.Machine.Fire(eventDoom) // both states allow it
	}
}

// evictable is the safeguard of "never evicted while a request runs". An
// inherited copy may be in use by a request that its earlier owner sent, or is
// about to send after a pause; its pins are not known here, so it stays until
// every earlier party is cleared.
func (k *Keeper) evictable(s *Slot) bool {
	held := s.resident() || s.Machine.State == stateDoomed
	if !held || s.Foreign || s.Pins > 0 {
		return false
	}
	return !s.Inherited || k.Cleared()
}

// servable is the safeguard of "exactly that adapter": the copy's residency is
// confirmed, and nobody else can evict it. The loader of an inherited copy
// could, so it is served only when the engine refuses the loader's orders
// (fencing number raised) or the loader is cleared.
func (k *Keeper) servable(s *Slot) bool {
	if !k.owned || !s.resident() || s.Foreign {
		return false
	}
	if k.Fencing {
		return k.raised
	}
	return !s.Inherited || len(k.uncleared) == 0
}
