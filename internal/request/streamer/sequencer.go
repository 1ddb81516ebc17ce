package streamer

// A Sequencer keeps the parts of one answer in order. Every part carries a
// number that grows by one; what comes late or twice is dropped, and a gap
// means that the answer cannot be whole any more.
type Sequencer struct{ last uint32 }

// A Place is where a part stands in its answer.
type Place int

// The places.
const (
	Next  Place = iota // the part that was expected
	Stale              // late or doubled: drop it
	Gap                // parts are missing before it
)

// Accept takes in the number of a part. The first is 1.
func (s *Sequencer) Accept(number uint32) Place {
	switch {
	case number <= s.last:
		return Stale
	case number > s.last+1:
		return Gap
	}
	s.last = number
	return Next
}
