package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

// A Report is the state that an engine reports.
type Report struct {
	RequestedAt time.Time // when the report was requested, by the clock of the requester
	LeaseValid  bool      // whether the lease was still valid when the report had arrived
	Engine      string    // incarnation of the engine
	Resident    []string  // handles of copies that can serve
	Loading     []string  // handles of copies that are being loaded
}

// Reconcile applies a report. It returns whether the engine has restarted. A slot
// whose last order ended after the report was requested is left as it is, as the
// report may be older than the order.
func (k *Keeper) Reconcile(r Report) (bool, error) {
	k.init()
	restarted := k.engine != "" && k.engine != r.Engine
	k.engine = r.Engine
	if restarted {
		k.fenceConfirmed = false
	}
	if err := k.applyReport(r, restarted); err != nil {
		return restarted, err
	}
	for _, name := range r.Resident {
		k.discover(name, r.LeaseValid)
	}
	return restarted, nil
}

// discover adds a copy that a report shows and this keeper does not know. If the
// lease was still valid when the report had arrived, no later owner can have
// loaded the copy. Otherwise it may belong to a later owner, who uses and evicts
// it without notice: an owner that was paused until after its lease had expired
// evicted such copies while its successor's requests ran on them.
func (k *Keeper) discover(name string, leaseValid bool) {
	if s, ok := k.slots[name]; ok {
		s.Foreign = s.Foreign && !leaseValid
		return
	}
	handle := ParseHandle(name)
	k.slots[name] = &Slot{
		Foreign:   handle.Loader != k.Self && !leaseValid,
		Handle:    handle,
		Inherited: handle.Loader != k.Self || !k.Cleared(),
		Machine:   &interpreter.Machine{Chart: Chart, State: stateResident},
	}
}

// applyReport fires the events of the known slots that a report implies. After an
// engine restart every slot that the report does not show is empty. One that it
// shows keeps its pins: it was loaded into the restarted engine before the restart
// was detected, and requests may run on it already. When the pins were dropped,
// such a copy was evicted while requests ran on it.
func (k *Keeper) applyReport(r Report, restarted bool) error {
	for name, s := range maps.Clone(k.slots) {
		if !r.RequestedAt.After(s.changed) {
			continue
		}
		shown := slices.Contains(r.Resident, name) || slices.Contains(r.Loading, name)
		if restarted && !shown {
			if err := k.fire(s, eventReset); err != nil {
				return err
			}
			continue
		}
		if err := k.applyToSlot(s, slices.Contains(r.Resident, name), slices.Contains(r.Loading, name)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) applyToSlot(s *Slot, present, loading bool) error {
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
