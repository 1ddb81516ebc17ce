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
	offset float64 // over firstShare; below it if negative
}

const (
	// initialShare is assumed before anything was learned, and leastShare where even that
	// makes too many runs pause: the runners of a service differ in speed.
	initialShare = 0.5
	minShare     = 0.3
	// maxShare is where a prompt is never held back for the runs' sake.
	maxShare = 2
	// shareIncrement is by how much an answer with short pauses makes the share larger,
	// and longStep by how much one with a long pause makes it smaller. They balance
	// where one answer in two hundred has a long pause; at ten answers a second the share
	// doubles in ten seconds.
	shareIncrement = 0.005
	shareDecrement = 1
	// lowShareIncrement and lowLongStep are the same below firstShare: there nobody knows how far
	// down it goes, and one long pause in a hundred is borne rather than that all wait.
	lowShareIncrement = 0.0005
	lowShareDecrement = 0.05
	// shortGap and longPause are parts of the longest pause that callers bear.
	// Between them the share stays as it is.
	shortGap = 0.75
	longGap  = 0.9
)

// Value returns the share.
func (s *Share) Value() float64 { return initialShare + s.offset }

// Learn takes in how many answers had only short pauses, and how many a long one.
func (s *Share) Learn(short, long int) {
	s.increase(float64(short))
	for range long {
		s.decrease()
	}
	s.offset = min(maxShare-initialShare, max(minShare-initialShare, s.offset))
}

func (s *Share) increase(short float64) {
	if s.offset < 0 {
		s.offset += lowShareIncrement * short
		return
	}
	s.offset += shareIncrement * short
}

func (s *Share) decrease() {
	if s.offset <= 0 {
		s.offset -= lowShareDecrement
		return
	}
	s.offset = max(0, s.offset-shareDecrement)
}

// Short and Long report whether a pause leaves the runner time to read more, and
// whether it was all that callers bear.
func Short(gap, limit time.Duration) bool { return float64(gap) < shortGap*float64(limit) }

// Long is the opposite of Short, with a gap between them.
func Long(gap, limit time.Duration) bool { return float64(gap) > longGap*float64(limit) }
