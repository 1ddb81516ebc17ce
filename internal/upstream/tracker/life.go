package tracker

// A Life is the result of probing one incarnation of a runner.
type Life int

// The values of Life. A time-out proves nothing, as a runner that is paused or
// partitioned does not answer either.
const (
	Unknown  Life = iota // no answer in time
	Lives                // it answered
	Refuses              // it accepts no connection, or closes it without an answer
	Replaced             // another incarnation answered at its address
)

// String returns the name of the result in logs.
func (l Life) String() string {
	return [...]string{Unknown: "unknown", Lives: "lives", Refuses: "refuses", Replaced: "replaced"}[l]
}
