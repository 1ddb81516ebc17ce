package placer

// An Order loads or unloads a copy on a runner. Expected is the number of orders
// that the runner must have accepted before. The runner refuses the order
// otherwise, so an order that was delayed on the network has no effect once a
// later one was accepted.
type Order struct {
	Copy     Copy
	Expected uint64
	Unload   bool // false: load
}

// An Outcome is the result of an order.
type Outcome int

// The outcomes.
const (
	Accepted  Outcome = iota // being carried out
	Applied                  // carried out at once, or already in effect
	Lost                     // no answer: the order may still be carried out at any later time
	Mismatch                 // refused: the sequence differs, or another order is in progress
	Refused                  // refused for another reason
	Unreached                // not sent: the runner accepted no connection
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "lost", "mismatch", "refused", "unreached"}[o]
}

// A Report is the state that a runner reports. It may be a few hundred
// milliseconds old; Sequence, the number of orders accepted, shows which orders it
// reflects.
type Report struct {
	Busy     bool // a model is being loaded or unloaded
	Incoming []Copy
	Models   []string
	Resident []Copy
	Sequence uint64
}
