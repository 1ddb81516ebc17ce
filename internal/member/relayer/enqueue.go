package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// An Enqueue asks the leader of a failure domain for prefill capacity at one of its runners, in
// the order of urgency. It replaces a Reserve where prompts are ordered. The response is a
// Reserved at once, or a Queued and later a Reserved, or a Fail. The end of the conversation
// removes the request from the queue.
type Enqueue struct {
	_        struct{} `cbor:",toarray"`
	Reporter string   // instance that reports the sender's uses to the receiver; empty for the sender itself
	Domain   string
	Runner   string
	Copy     placer.Copy   // copy that the request uses
	Tokens   int           // length of the prompt
	MaxGap   time.Duration // maximum gap between events that the requests running there tolerate
	Timeout  time.Duration // time limit for the prefill of the prompt
	Priority int           // 0 is the most urgent
	Account  string        // of the caller; empty for none
}

// A Queued states that the request of an Enqueue waits.
type Queued struct {
	_    struct{}      `cbor:",toarray"`
	Wait time.Duration // expected until the Reserved
}

func (Enqueue) message() {}
func (Queued) message()  {}
