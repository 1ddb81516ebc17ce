package tracker

// A ProbeResult is the result of probing one incarnation of a runner.
type ProbeResult int

// The values of ProbeResult. A time-out proves nothing, as a runner that is paused or
// partitioned does not respond either.
const (
	Unknown  ProbeResult = iota // no response in time
	Alive                       // it responded
	Refuses                     // it accepts no connection, or closes it without a response
	Replaced                    // another incarnation responded at its address
)

// String returns the name of the result in logs.
func (r ProbeResult) String() string {
	return [...]string{Unknown: "unknown", Alive: "lives", Refuses: "refuses", Replaced: "replaced"}[r]
}
