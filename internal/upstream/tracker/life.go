package tracker

// A Life is what a question to a runner showed of the incarnation that was asked.
type Life int

// The lives. Silence shows nothing: a runner that is paused, or whose link is cut, is
// silent as well.
const (
	Unknown  Life = iota // no answer in time
	Lives                // it answered
	Refuses              // it takes no connection, or ends it without an answer
	Replaced             // another incarnation answered in its place
)

// String returns the word for logs.
func (l Life) String() string {
	return [...]string{Unknown: "unknown", Lives: "lives", Refuses: "refuses", Replaced: "replaced"}[l]
}
