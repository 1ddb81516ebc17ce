package relayer

import "time"

// A Place asks the instance that orders for a failure domain for a place at a runner of a
// plain service there. The conversation lasts as long as the request; its end gives the place
// back.
type Place struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Runner string
	Within time.Duration // in which the request is to begin
}

// A Placed says that the place is held.
type Placed struct {
	_    struct{}      `cbor:",toarray"`
	Wait time.Duration // before the request begins, as expected
}

func (Place) message()  {}
func (Placed) message() {}
