package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// An Enqueue asks the leader of a failure domain for prefill capacity at one of its runners, in
// the order of urgency. It replaces a Reserve where prompts are ordered. The response is a
// Reserved at once, or a Queued and later a Reserved, or a Fail. The end of the conversation
// removes the request from the queue.
type Enqueue struct {
	Reporter string // instance that reports the sender's uses to the receiver; empty for the sender itself
	Domain   string
	Runner   string
	Copy     placer.Copy   // copy that the request uses
	Tokens   int           // length of the prompt
	MaxGap   time.Duration // maximum gap between events that the requests running there tolerate
	Timeout  time.Duration // time limit for the prefill of the prompt
	Priority int           // 0 is the most urgent
	Account  string        // of the caller; empty for none

	Extension time.Duration // see forwarder.ReserveRequest
}

// MarshalCBOR implements cbor.Marshaler. The extension is an optional last element.
func (e Enqueue) MarshalCBOR() ([]byte, error) {
	elements := []any{e.Reporter, e.Domain, e.Runner, e.Copy, e.Tokens, e.MaxGap, e.Timeout, e.Priority, e.Account}
	if e.Extension > 0 {
		elements = append(elements, e.Extension)
	}
	return encoder.Marshal(elements)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (e *Enqueue) UnmarshalCBOR(data []byte) error {
	return decodeElements(data, 9, &e.Reporter, &e.Domain, &e.Runner, &e.Copy, &e.Tokens, &e.MaxGap, &e.Timeout, &e.Priority, &e.Account, &e.Extension)
}

// A Queued states that the request of an Enqueue waits.
type Queued struct {
	_    struct{}      `cbor:",toarray"`
	Wait time.Duration // expected until the Reserved
}

func (Enqueue) message() {}
func (Queued) message()  {}
