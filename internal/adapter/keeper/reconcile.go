package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

// A Report is what an engine says of itself.
type Report struct {
	Asked    time.Time // when the report was asked for, on the clock of the asker
	Held     bool      // whether the lease could still be trusted when the report had arrived
	Engine   string    // incarnation of the engine
	Resident []string  // handles that can serve
	Loading  []string  // handles that are being loaded
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
