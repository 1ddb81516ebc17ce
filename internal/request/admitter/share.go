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
	above float64 // over firstShare; below it if negative
}

const (
	// firstShare is assumed before anything was learned, and leastShare where even that
	// makes too many runs pause: the runners of a service differ in speed.
	firstShare = 0.5
	leastShare = 0.3
	// mostShare is where a prompt is never held back for the runs' sake.
	mostShare = 2
	// keptStep is by how much an answer with short pauses makes the share larger,
	// and longStep by how much one with a long pause makes it smaller. They balance
	// where one answer in two hundred has a long pause; at ten answers a second the share
	// doubles in ten seconds.
	keptStep = 0.005
	longStep = 1
	// lowKeptStep and lowLongStep are the same below firstShare: there nobody knows how far
	// down it goes, and one long pause in a hundred is borne rather than that all wait.
	lowKeptStep = 0.0005
	lowLongStep = 0.05
	// shortPause and longPause are parts of the longest pause that callers bear.
	// Between them the share stays as it is.
	shortPause = 0.75
	longPause  = 0.9
)

// Value returns the share.
func (s *Share) Value() float64 { return firstShare + s.above }

// Learn takes in how many answers had only short pauses, and how many a long one.
func (s *Share) Learn(short, long int) {
	s.rise(float64(short))
	for range long {
		s.fall()
	}
	s.above = min(mostShare-firstShare, max(leastShare-firstShare, s.above))
}

func (s *Share) rise(short float64) {
	if s.above < 0 {
		s.above += lowKeptStep * short
		return
	}
	s.above += keptStep * short
}

func (s *Share) fall() {
	if s.above <= 0 {
		s.above -= lowLongStep
		return
	}
	s.above = max(0, s.above-longStep)
}

// Short and Long report whether a pause leaves the runner time to read more, and
// whether it was all that callers bear.
func Short(pause, most time.Duration) bool { return float64(pause) < shortPause*float64(most) }

// Long is the opposite of Short, with a gap between them.
func Long(pause, most time.Duration) bool { return float64(pause) > longPause*float64(most) }
