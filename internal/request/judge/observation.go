package judge

import "fmt"

// An Observation is the outcome of one attempt at an upstream or a peer, as seen on the
// connection.
//
//sumtype:decl
type Observation interface{ observation() }

// A DialFailed observation is a connection that could not be established.
type DialFailed struct{ Err error }

// A Broken observation is a connection that failed while the request was being written or
// before the complete response was read.
type Broken struct {
	Written int  // bytes of the request handed to the kernel
	Head    bool // whether the response head had arrived
	Err     error
}

// A Malformed observation is a response that does not follow the protocol. The request may have run.
type Malformed struct{ Err error }

// A Refused observation is an explicit response that the upstream did not accept the
// request: the adapter is not resident, the queue is full, or the upstream is draining.
type Refused struct{ Status int }

// A Failed observation is a response that reports a failure while running the request.
type Failed struct{ Status int }

// A Mismatched observation is a response from another adapter.
type Mismatched struct{ Want, Got string }

// A Withdrawn observation is a request that was not sent, as nobody waits for its response any more.
type Withdrawn struct{}

func (Broken) observation()     {}
func (DialFailed) observation() {}
func (Failed) observation()     {}
func (Malformed) observation()  {}
func (Mismatched) observation() {}
func (Refused) observation()    {}
func (Withdrawn) observation()  {}

// Judge returns the verdict on an observation. The rules are in docs/design/verdicts.md.
func Judge(o Observation) *Error {
	switch o := o.(type) {
	case DialFailed:
		return Refuse(ReasonDial, "connect: %v", o.Err)
	case Broken:
		return judgeBroken(o)
	case Malformed:
		return &Error{Verdict: MayHaveRun, Reason: ReasonMalformed, Message: fmt.Sprintf("the response has a %v", o.Err)}
	case Refused:
		return Refuse(ReasonRefused, "upstream refused with status %d", o.Status)
	case Failed:
		return &Error{Verdict: MayHaveRun, Reason: ReasonCut, Message: fmt.Sprintf("upstream failed with status %d", o.Status)}
	case Withdrawn:
		return Refuse(ReasonCancelled, "the caller went away before the request was sent")
	case Mismatched:
		return &Error{Verdict: MayHaveRun, Reason: ReasonMismatch, Message: fmt.Sprintf("asked for %s, answered by %s", o.Want, o.Got)}
	default:
		panic(fmt.Sprintf("judge: unknown observation %T", o))
	}
}

// judgeBroken rules out an execution only if no byte was written: an upstream may start on
// a partial request.
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
