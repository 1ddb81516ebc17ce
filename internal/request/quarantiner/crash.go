package quarantiner

import "time"

// A Crash is an incarnation of a runner that crashed while it ran a request.
type Crash struct {
	Digest Digest
	Runner string
}

// A Word tells of a Crash.
type Word struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Runner  string
	Age     time.Duration // since the crash
	Ran     time.Duration // that the request had run there; the shortest of several
	Cleared bool          // the request has run whole since
}

// Crash returns the crash that the word tells of.
func (w Word) Crash() Crash { return Crash{w.Digest, w.Runner} }
