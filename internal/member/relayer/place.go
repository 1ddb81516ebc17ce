package relayer

import "time"

// A Place asks the leader of a failure domain for a request slot at a runner of a plain
// service there. The conversation lasts as long as the request; its end releases the slot.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Runner  string
	Timeout time.Duration // time limit for the request to begin
}

// A Placed is the response to a Place: the request slot is reserved.
type Placed struct {
	_    struct{}      `cbor:",toarray"`
	Wait time.Duration // estimated time until the request begins
}

func (Place) message()  {}
func (Placed) message() {}
