package quarantiner

import "time"

// KeptFrom is how many crashes of a request are kept for other instances to come. What ran
// beside a runner that crashed once is suspected by the dozen, and hardly ever again.
const KeptFrom = 2

// A Row is a crash as it is kept. It has the time of day in place of an age: a day is
// remembered, so that steps of the clock do not matter.
type Row struct {
	At      int64         `cbor:"1,keyasint"`           // Unix seconds
	Ran     time.Duration `cbor:"2,keyasint"`           // that the request had run
	Cleared bool          `cbor:"3,keyasint,omitempty"` // it has run whole since
}

// Row returns how the crash is kept that the word tells of now.
func (w Word) Row(now time.Time) Row {
	return Row{At: now.Add(-w.Age).Unix(), Ran: w.Ran, Cleared: w.Cleared}
}

// Word returns the word that tells now of a crash that is kept.
func (r Row) Word(c Crash, now time.Time) Word {
	return Word{Digest: c.Digest, Runner: c.Runner, Ran: r.Ran, Cleared: r.Cleared, Age: max(0, now.Sub(time.Unix(r.At, 0)))}
}
