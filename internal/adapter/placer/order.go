package placer

// An Order changes what a runner holds. Expected is the number of orders that
// the runner must have accepted before; a runner refuses the order otherwise,
// so one that was delayed on the way is void once a later one was accepted.
type Order struct {
	Copy     Copy
	Expected uint64
	Unload   bool // else load
}

// An Outcome is how an order ended.
type Outcome int

// The outcomes.
const (
	Accepted  Outcome = iota // is being carried out
	Holds                    // was carried out at once, or held already
	Lost                     // no answer: it may be carried out at any later time
	Mismatch                 // refused: another order was accepted meanwhile, or one is under way
	Refused                  // refused for another reason
	Unreached                // not sent: the runner took no connection
)

// String returns the outcome as logs and counters name it.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "lost", "mismatch", "refused", "unreached"}[o]
}

// A Report is what a runner says that it holds. It may be some hundred
// milliseconds old; Sequence, the orders accepted, tells which orders it
// reflects.
type Report struct {
	Busy     bool // a model is being loaded or unloaded
	Incoming []Copy
	Models   []string
	Resident []Copy
	Sequence uint64
}
