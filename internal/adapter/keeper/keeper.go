package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

// A Keeper is the state of one runner's adapter slots at the instance that owns
// the runner.
type Keeper struct {
	Capacity int     // adapter slots of the engine
	Fencing  bool    // whether the engine refuses orders with an old fencing token
	Policy   Evictor // eviction policy
	Self     string  // incarnation of this instance

	clock          warmer.Clock
	engine         string                    // incarnation of the engine; empty until the first report
	fence          uint64                    // fencing token of the current lease
	previousPins   map[string]map[string]int // pins that previous owners still hold, by owner and handle
	loads          uint64                    // load orders so far; the serial number of the last handle
	owned          bool
	fenceConfirmed bool // the engine has confirmed the fencing token of the current lease
	slots          map[string]*Slot
	uncleared      map[string]bool // previous owners that have not been cleared
}

// Servable reports whether Pin would succeed for the adapter.
func (k *Keeper) Servable(adapter string) bool {
	return k.servableCopy(adapter) != nil
}

// Since returns when the last order on a resident copy of the adapter ended, the
// earliest if there are several copies. It is the zero time if no copy is resident
// or this keeper has given no order on one of them.
func (k *Keeper) Since(adapter string) time.Time {
	var since time.Time
	for _, s := range k.slots {
		if s.Handle.Adapter == adapter && s.resident() && (since.IsZero() || s.changed.Before(since)) {
			since = s.changed
		}
	}
	return since
}

// LoadingAdapters returns the adapters that are being loaded, sorted.
func (k *Keeper) LoadingAdapters() []string {
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

// Fence returns the fencing token of the current lease.
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
		return nil // the engine restarted meanwhile, or a report showed the slot empty
	}
	slot.changed = now
	return k.fire(slot, event)
}

// Loading reports whether a copy of the adapter is being loaded.
func (k *Keeper) Loading(adapter string) bool {
	for _, s := range k.slots {
		if s.Handle.Adapter == adapter && s.Machine.State == stateLoading {
			return true
		}
	}
	return false
}

// Owned reports whether this instance owns the runner.
func (k *Keeper) Owned() bool { return k.owned }

// Pin protects a servable copy of the adapter from eviction for one request. The
// caller must Unpin the handle after the last byte of the response has been sent. It
// returns false if no servable copy is resident.
func (k *Keeper) Pin(adapter string) (Handle, bool) {
	s := k.servableCopy(adapter)
	if s == nil {
		return Handle{}, false
	}
	s.Pins++
	k.recordUse(s)
	return s.Handle, true
}

// FenceConfirmed reports whether the engine has confirmed the fencing token of the
// current lease.
func (k *Keeper) FenceConfirmed() bool { return k.fenceConfirmed }

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

// Unsettled reports whether the state of a slot or the release by a previous owner
// is still unknown, so that a report or the answer of a previous owner is needed.
func (k *Keeper) Unsettled() bool {
	if !k.Cleared() || (k.Fencing && !k.fenceConfirmed) {
		return true
	}
	for _, s := range k.slots {
		if s.Machine.State == stateUnsure || s.Machine.State == stateDoomed || s.Foreign {
			return true
		}
	}
	return false
}

// Unpin releases a pin.
func (k *Keeper) Unpin(handle Handle) {
	slot, ok := k.slots[handle.String()]
	if ok && slot.Pins > 0 {
		slot.Pins--
	}
}

// NextOrder returns the next order toward loading the adapter: a Load if a slot is free,
// an Evict if one can be freed, nil if this instance does not own the runner, the
// adapter is being loaded or no slot can be freed now.
func (k *Keeper) NextOrder(adapter string, now time.Time) Action {
	if !k.owned || k.loadPending(adapter) {
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

// loadPending reports whether a load of the adapter is in progress or its outcome
// unknown, so that concurrent requests share one load.
func (k *Keeper) loadPending(adapter string) bool {
	for _, s := range k.slots {
		state := s.Machine.State
		if s.Handle.Adapter == adapter && (state == stateLoading || state == stateUnsure) {
			return true
		}
	}
	return false
}

// servableCopy returns the servable copy of the adapter, the first by handle if there are
// several, so that the choice is deterministic.
func (k *Keeper) servableCopy(adapter string) *Slot {
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
		k.previousPins = make(map[string]map[string]int)
	}
}

// initialHits is the number of uses that a new copy starts with: enough to keep it
// until the request that waits for it is served, and few, because most cold
// adapters are requested once. docs/design/routing.md compares it with 0 and 1.
const initialHits = 0.3

func (k *Keeper) load(adapter string, now time.Time) Action {
	k.loads++
	handle := Handle{Adapter: adapter, Loader: k.Self, Serial: k.loads}
	slot := &Slot{Handle: handle, Machine: Chart.Machine(), changed: now}
	slot.heat = k.clock.NewHeat(initialHits)
	k.slots[handle.String()] = slot
	return Load{Handle: handle, Fence: k.fence}
}

func (k *Keeper) victim() *Slot {
	var cheapest *Slot
	var lowestCost float64
	for _, name := range slices.Sorted(maps.Keys(k.slots)) {
		s := k.slots[name]
		if !k.evictable(s) {
			continue
		}
		if s.Machine.State == stateDoomed {
			return s
		}
		cost := k.evictionCost(s)
		if cheapest == nil || cost < lowestCost {
			cheapest = s
			lowestCost = cost
		}
	}
	return cheapest
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
