package keeper

// An Action is what a Keeper wants done on its engine. Every action carries
// the fencing number of the tenure it was decided in.
//
//sumtype:decl
type Action interface{ action() }

// An Evict action orders the engine to drop a copy.
type Evict struct {
	Handle Handle
	Fence  uint64
}

// A Load action orders the engine to load a copy into a free slot.
type Load struct {
	Handle Handle
	Fence  uint64
}

func (Evict) action() {}
func (Load) action()  {}

// An Outcome is what is known of an order after its answer, or the lack of
// one.
type Outcome int

// The outcomes.
const (
	Done   Outcome = iota // the engine carried it out
	Failed                // the engine refused or failed: nothing changed
	Lost                  // no answer: only a later report can tell
)
