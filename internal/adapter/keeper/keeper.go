package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

// A Keeper is the state of one runner's slots at its owner.
type Keeper struct {
	Capacity int     // slots of the engine
	Fencing  bool    // whether the engine refuses orders with an old fencing number
	Policy   Evictor // what to give up
	Self     string  // incarnation of this instance

	clock     warmer.Clock
	engine    string // incarnation of the engine; empty until the first report
	fence     uint64
	foreign   map[string]map[string]int // party to handle to pins still held
	loads     uint64                    // orders so far, the serials of handles
	owned     bool
	raised    bool // the engine has confirmed this tenure's fencing number
	slots     map[string]*Slot
	uncleared map[string]bool
}

// Servable reports whether Pin would find a copy of the adapter.
func (k *Keeper) Servable(adapter string) bool {
	return k.copyOf(adapter) != nil
}

// Since returns when a copy of the adapter became resident, as far as an order
// of this keeper brought it in; else the zero time.
func (k *Keeper) Since(adapter string) time.Time {
	var since time.Time
	for _, s := range k.slots {
		if s.Handle.Adapter == adapter && s.resident() && (since.IsZero() || s.changed.Before(since)) {
			since = s.changed
		}
	}
	return since
}

// Coming returns the adapters that are being loaded, sorted.
func (k *Keeper) Coming() []string {
	var adapters []string
	for _, s := range k.slots {
		if s.Machine.State == stateLoading {
			adapters = append(adapters, s.Handle.Adapter)
		}
	}
	slices.Sort(adapters)
	return adapters
}

// Free returns how many slots are empty.
func (k *Keeper) Free() int {
	return max(0, k.Capacity-len(k.slots))
}

// Fence returns the fencing number of the tenure.
func (k *Keeper) Fence() uint64 { return k.fence }

// Finish records the outcome of an order.
func (k *Keeper) Finish(action Action, outcome Outcome, now time.Time) error {
	var handle Handle
	event := eventLost
	switch a := action.(type) {
	case Evict:
		handle = a.Handle
		event = outcomeEvent(outcome, eventEvicted)
	case Load:
		handle = a.Handle
		event = outcomeEvent(outcome, eventLoaded)
	}
	slot, ok := k.slots[handle.String()]
	if !ok {
		return nil // the engine restarted or a report settled it meanwhile
	}
	slot.changed = now
	return k.fire(slot, event)
}

// Loading reports whether a copy of the adapter is on its way.
func (k *Keeper) Loading(adapter string) bool {
	for _, s := range k.slots {
		if s.Handle.Adapter == adapter && s.Machine.State == stateLoading {
			return true
		}
	}
	return false
}

// Owned reports whether this instance holds the runner.
func (k *Keeper) Owned() bool { return k.owned }

// Pin takes a pin on a servable copy of the adapter for one request. The
// caller must Unpin the handle when the last byte has gone. It returns false
// when no servable copy is resident.
func (k *Keeper) Pin(adapter string) (Handle, bool) {
	s := k.copyOf(adapter)
	if s == nil {
		return Handle{}, false
	}
	s.Pins++
	k.touch(s)
	return s.Handle, true
}

// Raised reports whether the engine has confirmed the fencing number.
func (k *Keeper) Raised() bool { return k.raised }

// Resident returns the adapters that can be served here, sorted.
func (k *Keeper) Resident() []string {
	var adapters []string
	for _, s := range k.slots {
		if k.servable(s) {
			adapters = append(adapters, s.Handle.Adapter)
		}
	}
	slices.Sort(adapters)
	return slices.Compact(adapters)
}

// Unsettled reports whether something is open that only a report or an answer
// of an earlier party can settle.
func (k *Keeper) Unsettled() bool {
	if !k.Cleared() || (k.Fencing && !k.raised) {
		return true
	}
	for _, s := range k.slots {
		if s.Machine.State == stateUnsure || s.Machine.State == stateDoomed || s.Foreign {
			return true
		}
	}
	return false
}

// Unpin gives back a pin.
func (k *Keeper) Unpin(handle Handle) {
	slot, ok := k.slots[handle.String()]
	if ok && slot.Pins > 0 {
		slot.Pins--
	}
}

// Want returns the order that brings the adapter nearer: a Load if a slot is
// free, an Evict if one can be freed, nil if the adapter is on its way or no
// slot can be freed now.
func (k *Keeper) Want(adapter string, now time.Time) Action {
	if !k.owned || k.coming(adapter) {
		return nil
	}
	if len(k.slots) < k.Capacity {
		return k.load(adapter, now)
	}
	victim := k.victim()
	if victim == nil {
		return nil
	}
	if err := k.fire(victim, eventEvict); err != nil {
		return nil
	}
	return Evict{Handle: victim.Handle, Fence: k.fence}
}

// coming reports whether a load of the adapter is under way or its outcome
// unknown, so that two requests share one load.
func (k *Keeper) coming(adapter string) bool {
	for _, s := range k.slots {
		state := s.Machine.State
		if s.Handle.Adapter == adapter && (state == stateLoading || state == stateUnsure) {
			return true
		}
	}
	return false
}

// copyOf returns the servable copy of the adapter, the first by name if there
// are several, so that the same events always lead to the same choice.
func (k *Keeper) copyOf(adapter string) *Slot {
	var chosen *Slot
	first := ""
	for name, s := range k.slots {
		if s.Handle.Adapter == adapter && k.servable(s) && (chosen == nil || name < first) {
			chosen = s
			first = name
		}
	}
	return chosen
}

func (k *Keeper) fire(s *Slot, event string) error {
	if err := s.Machine.Fire(event); err != nil {
		return err
	}
	if s.Machine.State == stateGone {
		delete(k.slots, s.Handle.String())
	}
	return nil
}

func (k *Keeper) init() {
	if k.slots == nil {
		k.slots = make(map[string]*Slot)
		k.foreign = make(map[string]map[string]int)
	}
}

// freshHits is what a copy is worth before its first use: enough that the
// request which waits for it finds it, and little, because most cold adapters
// are wanted once. Measured against 0 and 1 in docs/design/routing.md.
const freshHits = 0.3

func (k *Keeper) load(adapter string, now time.Time) Action {
	k.loads++
	handle := Handle{Adapter: adapter, Loader: k.Self, Serial: k.loads}
	slot := &Slot{Handle: handle, Machine: Chart.Machine(), changed: now}
	slot.heat = k.clock.Fresh(freshHits)
	k.slots[handle.String()] = slot
	return Load{Handle: handle, Fence: k.fence}
}

func (k *Keeper) victim() *Slot {
	var worst *Slot
	var least float64
	for _, name := range slices.Sorted(maps.Keys(k.slots)) {
		s := k.slots[name]
		if !k.evictable(s) {
			continue
		}
		if s.Machine.State == stateDoomed {
			return s
		}
		v := k.value(s)
		if worst == nil || v < least {
			worst = s
			least = v
		}
	}
	return worst
}

func outcomeEvent(outcome Outcome, done string) string {
	switch outcome {
	case Done:
		return done
	case Failed:
		return eventFailed
	default:
		return eventLost
	}
}
