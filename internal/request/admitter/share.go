package admitter

import "time"

// A Share is the part of the time that runners may read prompts while others run
// there, learned from the pauses that their callers saw. It is not safe for
// concurrent use; its zero value is ready.
//
// How much reading a run bears between two of its events differs: some engines
// read a bounded piece between two tokens, whatever waits, others all there is.
// With a fixed half, prompts were held back by 0.1 to 0.2 s on runners whose
// pauses stayed below two thirds of what their callers bear.
type Share struct {
	above float64 // over leastShare
}

const (
	// leastShare is safe on the engines with the longest pauses known so far.
	leastShare = 0.5
	// mostShare is where a prompt is never held back for the runs' sake.
	mostShare = 2
	// keptStep is by how much an answer with short pauses makes the share larger,
	// and longStep by how much one with a long pause makes it smaller. They balance
	// where one answer in two hundred has a long pause; at ten answers a second the share
	// doubles in ten seconds.
	keptStep = 0.005
	longStep = 1
	// shortPause and longPause are parts of the longest pause that callers bear.
	// Between them the share stays as it is.
	shortPause = 0.75
	longPause  = 0.9
)

// Value returns the share.
func (s *Share) Value() float64 { return leastShare + s.above }

// Learn takes in how many answers had only short pauses, and how many a long one.
func (s *Share) Learn(short, long int) {
	s.above += keptStep*float64(short) - longStep*float64(long)
	s.above = min(mostShare-leastShare, max(0, s.above))
}

// Short and Long report whether a pause leaves the runner time to read more, and
// whether it was all that callers bear.
func Short(pause, most time.Duration) bool { return float64(pause) < shortPause*float64(most) }

// Long is the opposite of Short, with a gap between them.
func Long(pause, most time.Duration) bool { return float64(pause) > longPause*float64(most) }
