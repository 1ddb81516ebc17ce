package admitter

import "time"

// A PrefillShare is the fraction of the time that runners may spend on prefill while other
// requests run there, learned from the gaps between events that callers observed. It is not
// safe for concurrent use; its zero value is ready.
//
// How much prefill a running request tolerates between two of its events depends on the
// engine: some prefill a bounded chunk between two tokens, however much is queued, others
// everything that is queued. With a fixed share of one half, prompts were delayed by 0.1 to
// 0.2 s on runners whose gaps stayed below two thirds of the maximum.
type PrefillShare struct {
	offset float64 // from initialShare
}

const (
	// initialShare is used before anything was learned. minShare is the lower limit: the
	// runners of a service differ in speed, and on slow ones even initialShare makes too
	// many requests exceed the maximum gap.
	initialShare = 0.5
	minShare     = 0.3
	// maxShare is the upper limit, at which prompts are never delayed for the sake of
	// running requests.
	maxShare = 2
	// shareIncrement is how much a response with short gaps raises the share, and
	// shareDecrement how much one with a long gap lowers it. They balance at one response
	// with a long gap in two hundred; at ten responses a second the share doubles in ten
	// seconds.
	shareIncrement = 0.005
	shareDecrement = 1
	// lowShareIncrement and lowShareDecrement apply below initialShare. It is unknown how
	// far down the share has to go there, so one long gap in a hundred is tolerated rather
	// than delaying all prompts.
	lowShareIncrement = 0.0005
	lowShareDecrement = 0.05
	// shortGap and longGap are fractions of the maximum gap. Between them the share does
	// not change.
	shortGap = 0.75
	longGap  = 0.9
)

// Value returns the share.
func (s *PrefillShare) Value() float64 { return initialShare + s.offset }

// Record records how many responses had only short gaps, and how many had a long one.
func (s *PrefillShare) Record(short, long int) {
	s.increase(float64(short))
	for range long {
		s.decrease()
	}
	s.offset = min(maxShare-initialShare, max(minShare-initialShare, s.offset))
}

func (s *PrefillShare) increase(short float64) {
	if s.offset < 0 {
		s.offset += lowShareIncrement * short
		return
	}
	s.offset += shareIncrement * short
}

func (s *PrefillShare) decrease() {
	if s.offset <= 0 {
		s.offset -= lowShareDecrement
		return
	}
	s.offset = max(0, s.offset-shareDecrement)
}

// IsShortGap reports whether the longest gap of a response leaves its runner time for more
// prefill.
func IsShortGap(gap, limit time.Duration) bool { return float64(gap) < shortGap*float64(limit) }

// IsLongGap reports whether the longest gap of a response was about the maximum or above. Gaps
// between the two bounds are neither short nor long.
func IsLongGap(gap, limit time.Duration) bool { return float64(gap) > longGap*float64(limit) }
