package forwarder

import "github.com/go-faster/errors"

// A response is the one response that the caller of a request gets, whatever attempts it takes. It
// accepts a complete response, or a head and the events that follow it, and nothing else.
type response struct {
	sink  Sink
	state responseState

	// continues reports that the caller has received a part of the response from another instance.
	// It must not get another response then, only what is missing.
	continues bool
}

// A responseState is how much of a response its caller has been sent.
type responseState int

const (
	responseUnsent responseState = iota
	responseStarted
	responseEnded // complete, or the caller has disconnected
)

// errOutOfOrder reports a part that must not follow those that the caller has been sent.
var errOutOfOrder = errors.New("the caller has received another part of the response")

// started reports whether the caller has been sent a head.
func (r *response) started() bool { return r.state != responseUnsent }

// start passes on the head of a response whose events follow.
func (r *response) start(reply *Reply) error {
	if r.state != responseUnsent {
		return errOutOfOrder
	}
	r.state = responseStarted
	return r.passed(r.sink.Head(reply))
}

// event passes on one event.
func (r *response) event(data []byte) error {
	if r.state != responseStarted {
		return errOutOfOrder
	}
	return r.passed(r.sink.Event(data))
}

// complete passes on a response in one piece.
func (r *response) complete(reply *Reply, body []byte) error {
	if r.state != responseUnsent || r.continues {
		return errOutOfOrder
	}
	r.state = responseEnded
	return r.sink.Complete(reply, body)
}

// passed ends the response if the caller has not accepted a part.
func (r *response) passed(err error) error {
	if err != nil {
		r.state = responseEnded
	}
	return err
}
