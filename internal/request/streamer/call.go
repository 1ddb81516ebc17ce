// Package streamer defines a request that is forwarded between instances and its response,
// and keeps the parts of a response in order.
package streamer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// A Call is one caller's request as forwarded between instances.
type Call struct {
	ID            string            `cbor:"1,keyasint"` // of this attempt, for logs and accounting
	Account       string            `cbor:"2,keyasint"`
	Desk          string            `cbor:"3,keyasint"`
	Service       string            `cbor:"4,keyasint"`
	Adapter       string            `cbor:"5,keyasint"` // name@version; empty for a plain service
	Runner        string            `cbor:"6,keyasint"` // the chosen upstream
	Method        string            `cbor:"7,keyasint"`
	Path          string            `cbor:"8,keyasint"`
	Header        map[string]string `cbor:"9,keyasint"`
	Body          []byte            `cbor:"10,keyasint"`
	Stream        bool              `cbor:"11,keyasint"`
	NonIdempotent bool              `cbor:"12,keyasint"`
	Key           string            `cbor:"13,keyasint"` // idempotency key; empty if none
	Priority      int               `cbor:"14,keyasint"`
	TimeLeft      time.Duration     `cbor:"15,keyasint"` // until the deadline at the time of sending, as clocks of instances are not compared
	Hops          int               `cbor:"16,keyasint"` // failure domains that forwarded it

	Deadline time.Time `cbor:"-"` // by this instance's clock
}

// Digest returns the digest that identifies the work that the call requests.
func (c *Call) Digest() quarantiner.Digest {
	return quarantiner.DigestOf(c.Account, c.Method, c.Path, c.Body)
}

// A Head is the start of a response.
type Head struct {
	Status      int           `cbor:"1,keyasint"`
	ContentType string        `cbor:"2,keyasint"`
	Adapter     string        `cbor:"3,keyasint"` // that generated the response
	Runner      string        `cbor:"4,keyasint"`
	Stall       time.Duration `cbor:"5,keyasint"` // wait because the adapter was not resident
	Queued      time.Duration `cbor:"6,keyasint"` // total wait before it was sent to the upstream
}

// A Sink receives a response, the head first. After an error it accepts nothing more: its
// caller has disconnected.
type Sink interface {
	Data(data []byte) error
	Head(head Head) error
}
