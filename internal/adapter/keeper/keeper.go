package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

// A Keeper is the state of one runner's slots at its owner.
type Keeper struct {
	Capacity int     // slots of the engine
	Fencing  bool    // whether the engine refuses orders with an old fencing number
	Policy   Evictor // what to give up
	Self     string  // incarnation of this instance

	engine    string // incarnation of the engine; empty until the first report
	fence     uint64
	foreign   map[string]map[string]int // party to handle to pins still held
	loads     uint64                    // orders so far, the serials of handles
	owned     bool
	raised    bool // the engine has confirmed this tenure's fencing number
	slots     map[string]*Slot
	uncleared map[string]bool
}

// A Report is what an engine says of itself.
type Report struct {
	Asked    time.Time // when the report was asked for, on the clock of the asker
	Held     bool      // whether the lease could still be trusted when the report had arrived
	Engine   string    // incarnation of the engine
	Resident []string  // handles that can serve
	Loading  []string  // handles that are being loaded
}

// halfLife is how long a use counts fully in slots whose policy names none.
const halfLife = time.Minute

// Abandon ends the tenure: nothing is ordered or admitted until the next Take.
// Requests that run keep their pins.
func (k *Keeper) Abandon() {
	k.owned = false
	k.raised = false
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

// A Surrender is what an incarnation answers when a later owner asks it to
// give a runner up. After it, the incarnation orders nothing on the runner.
type Surrender struct {
	Pins   map[string]int // handles that its running requests still use
	Doomed []string       // handles that a lost eviction of its may still hit
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

// Idle reports whether no request of this instance holds a pin.
func (k *Keeper) Idle() bool {
	for _, s := range k.slots {
		if s.Pins > 0 {
			return false
		}
	}
	return true
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
func (k *Keeper) Pin(adapter string, now time.Time) (Handle, bool) {
	s := k.copyOf(adapter)
	if s == nil {
		return Handle{}, false
	}
	s.Pins++
	s.touch(now, k.halfLife())
	return s.Handle, true
}

// Raise records that the engine has confirmed the tenure's fencing number.
func (k *Keeper) Raise(fence uint64) {
	if k.owned && fence == k.fence {
		k.raised = true
	}
}

// Raised reports whether the engine has confirmed the fencing number.
func (k *Keeper) Raised() bool { return k.raised }

// Ready reports whether the tenure has begun in full: it is known then which
// copies can be served.
func (k *Keeper) Ready() bool {
	return k.owned && (!k.Fencing || k.raised)
}

// Reconcile takes a report in. It returns whether the engine has restarted.
// A report says nothing about a slot whose last order ended after the report
// was asked for.
func (k *Keeper) Reconcile(r Report) (bool, error) {
	k.init()
	restarted := k.engine != "" && k.engine != r.Engine
	k.engine = r.Engine
	if restarted {
		k.raised = false
	}
	if err := k.settle(r, restarted); err != nil {
		return restarted, err
	}
	for _, name := range r.Resident {
		k.discover(name, r.Held)
	}
	return restarted, nil
}

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
	victim := k.victim(now)
	if victim == nil {
		return nil
	}
	if err := k.fire(victim, eventEvict); err != nil {
		return nil
	}
	return Evict{Handle: victim.Handle, Fence: k.fence}
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

// discover enters a copy that a report shows and this keeper did not know. If
// the lease could be trusted when the report had arrived, no later owner can
// have loaded it. Otherwise it may be a later owner's, who serves and evicts it
// without asking: an owner that was paused past its lease evicted such copies
// under its successor's requests.
func (k *Keeper) discover(name string, held bool) {
	if s, ok := k.slots[name]; ok {
		s.Foreign = s.Foreign && !held
		return
	}
	handle := ParseHandle(name)
	k.slots[name] = &Slot{
		Foreign:   handle.Loader != k.Self && !held,
		Handle:    handle,
		Inherited: handle.Loader != k.Self || !k.Cleared(),
		Machine:   &interpreter.Machine{Chart: Chart, State: stateResident},
	}
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

func (k *Keeper) fire(s *Slot, event string) error {
	if err := s.Machine.Fire(event); err != nil {
		return err
	}
	if s.Machine.State == stateGone {
		delete(k.slots, s.Handle.String())
	}
	return nil
}

func (k *Keeper) halfLife() time.Duration {
	if heat, ok := k.Policy.(Heat); ok && heat.HalfLife > 0 {
		return heat.HalfLife
	}
	return halfLife
}

func (k *Keeper) init() {
	if k.slots == nil {
		k.slots = make(map[string]*Slot)
		k.foreign = make(map[string]map[string]int)
	}
}

func (k *Keeper) load(adapter string, now time.Time) Action {
	k.loads++
	handle := Handle{Adapter: adapter, Loader: k.Self, Serial: k.loads}
	k.slots[handle.String()] = &Slot{Handle: handle, Machine: Chart.Machine(), changed: now}
	return Load{Handle: handle, Fence: k.fence}
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

// settle fires what a report says of the known slots. After a cold start every
// slot that the report does not show is empty. One that it shows stays with its
// pins: it was loaded into the engine that has just started, before the restart
// was noticed, and requests may run on it already. Forgetting their pins got
// such a copy evicted under them.
func (k *Keeper) settle(r Report, restarted bool) error {
	for name, s := range maps.Clone(k.slots) {
		if !r.Asked.After(s.changed) {
			continue
		}
		shown := slices.Contains(r.Resident, name) || slices.Contains(r.Loading, name)
		if restarted && !shown {
			if err := k.fire(s, eventReset); err != nil {
				return err
			}
			continue
		}
		if err := k.settleSlot(s, slices.Contains(r.Resident, name), slices.Contains(r.Loading, name)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) settleSlot(s *Slot, present, loading bool) error {
	switch {
	case s.Machine.State == stateUnsure && present:
		return k.fire(s, eventPresent)
	case s.Machine.State == stateUnsure && !loading:
		return k.fire(s, eventAbsent)
	case (s.resident() || s.Machine.State == stateDoomed) && !present:
		return k.fire(s, eventAbsent)
	}
	return nil
}

func (k *Keeper) victim(now time.Time) *Slot {
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
		v := value(k.Policy, s, now)
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
