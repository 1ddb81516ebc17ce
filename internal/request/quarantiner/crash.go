package quarantiner

import "time"

// A Crash identifies a crash: the request, and the incarnation of the runner that crashed
// while it ran the request.
type Crash struct {
	Digest Digest
	Runner string
}

// A CrashReport reports that a runner crashed while it ran a request.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Runner  string
	Age     time.Duration // since the crash
	RunTime time.Duration // how long the request had run there; the shortest time reported
	Cleared bool          // the request has since run to completion
}

// Crash returns the crash that is reported.
func (r CrashReport) Crash() Crash { return Crash{r.Digest, r.Runner} }
