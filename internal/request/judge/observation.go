package judge

import "fmt"

// An Observation is what was seen of one attempt at an upstream or a peer.
//
//sumtype:decl
type Observation interface{ observation() }

// A Dialed observation is a connection that could not be made.
type Dialed struct{ Err error }

// A Broken observation is a connection that failed while the request was
// written or before a complete answer was read.
type Broken struct {
	Written int  // bytes of the request that were handed to the kernel
	Head    bool // whether the head of the answer had arrived
	Err     error
}

// A Refused observation is an explicit answer that the upstream did not take
// the request on: an adapter that is not resident, a full queue, leaving.
type Refused struct{ Status int }

// A Failed observation is an answer of the upstream that says it failed while
// running the request.
type Failed struct{ Status int }

// A Mismatched observation is an answer in the name of another adapter.
type Mismatched struct{ Want, Got string }

func (Broken) observation()     {}
func (Dialed) observation()     {}
func (Failed) observation()     {}
func (Mismatched) observation() {}
func (Refused) observation()    {}

// Judge returns the verdict on an observation. The table stands in
// docs/design/verdicts.md.
func Judge(o Observation) *Error {
	switch o := o.(type) {
	case Dialed:
		return Refuse(ReasonDial, "connect: %v", o.Err)
	case Broken:
		return judgeBroken(o)
	case Refused:
		return Refuse(ReasonRefused, "upstream refused with status %d", o.Status)
	case Failed:
		return &Error{Verdict: MayHaveRun, Reason: ReasonCut, Message: fmt.Sprintf("upstream failed with status %d", o.Status)}
	case Mismatched:
		return &Error{Verdict: MayHaveRun, Reason: ReasonMismatch, Message: fmt.Sprintf("asked for %s, answered by %s", o.Want, o.Got)}
	default:
		panic(fmt.Sprintf("judge: unknown observation %T", o))
	}
}

// judgeBroken trusts a count of zero written bytes only: a partial request may
// have reached an upstream that starts on what it has.
func judgeBroken(o Broken) *Error {
	if o.Written == 0 {
		return Refuse(ReasonDial, "connection failed before the request was sent: %v", o.Err)
	}
	reason := ReasonWritten
	if o.Head {
		reason = ReasonCut
	}
	return &Error{Verdict: MayHaveRun, Reason: reason, Message: fmt.Sprintf("connection failed: %v", o.Err)}
}
