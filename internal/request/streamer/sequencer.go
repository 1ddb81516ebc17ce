package streamer

// A Sequencer keeps the parts of one response in order. Parts have consecutive sequence
// numbers; late and duplicate parts are dropped, and a gap means that the response cannot
// be completed.
type Sequencer struct{ last uint32 }

// A Position is the position of a part relative to the expected one.
type Position int

// The positions.
const (
	Next  Position = iota // the expected part
	Stale                 // late or duplicate: drop it
	Gap                   // parts are missing before it
)

// Accept records the sequence number of a part and returns its position. The first number is
// 1.
func (s *Sequencer) Accept(number uint32) Position {
	switch {
	case number <= s.last:
		return Stale
	case number > s.last+1:
		return Gap
	}
	s.last = number
	return Next
}
