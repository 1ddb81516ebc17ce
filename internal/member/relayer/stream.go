package relayer

import "github.com/sardinetiller/sardinetiller/internal/request/resumer"

// Streams states at which software versions streams began, to one of the instances that hold their
// records. It has no response.
type Streams struct {
	Records []resumer.Record `cbor:"1,keyasint"`
}

// A FindStream asks at which software version a stream began. The response is a FoundStream.
type FindStream struct {
	Key     resumer.Key `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint,omitempty"`
}

// A FoundStream is the response to a FindStream and ends the conversation.
type FoundStream struct {
	Known   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`

	// Of an instance that does not know the stream: the software versions that the runners of the
	// service have had lately, none if it cannot tell, and whether it knows the runners as they
	// were in the store a moment ago.
	Versions []string `cbor:"3,keyasint,omitempty"`
	Current  bool     `cbor:"4,keyasint,omitempty"`
}

func (FindStream) message()  {}
func (FoundStream) message() {}
func (Streams) message()     {}
