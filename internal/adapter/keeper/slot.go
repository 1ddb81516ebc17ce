package keeper

import (
	_ "embed"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

//go:embed slot.yaml
var slotYAML []byte

// Chart is the state machine of a slot.
var Chart = interpreter.MustLoad(slotYAML)

// The states and events of the slot chart.
const (
	stateDoomed    = "doomed"
	stateEvicting  = "evicting"
	stateFinishing = "finishing"
	stateLoading   = "loading"
	stateResident  = "resident"
	stateUnsure    = "unsure"
	stateGone      = "gone"

	eventAbsent  = "absent"
	eventDoom    = "doom"
	eventEvict   = "evict"
	eventEvicted = "evicted"
	eventFailed  = "failed"
	eventLoaded  = "loaded"
	eventLost    = "lost"
	eventPresent = "present"
	eventReset   = "reset"
)

// A Slot is one copy of an adapter on the runner, from its load order on.
type Slot struct {
	Handle    Handle
	Foreign   bool                 // first reported while the lease may have expired: it may belong to a later owner
	Inherited bool                 // may have been used by a previous owner
	Machine   *interpreter.Machine // see slot.yaml
	Pins      int                  // requests of this instance that use the copy

	changed time.Time // when the last order on the slot ended
	heat    warmer.Heat
}

func (s *Slot) resident() bool {
	return s.Machine.State == stateResident
}
