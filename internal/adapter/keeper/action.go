package keeper

// An Action is an order of a Keeper to its engine. Every action carries the fencing
// token of the lease under which it was decided.
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

// An Outcome is the result of an order as far as it is known.
type Outcome int

// The outcomes.
const (
	Done   Outcome = iota // the engine carried it out
	Failed                // the engine refused the order or failed; nothing changed
	Lost                  // no answer: only a later report shows the result
)
