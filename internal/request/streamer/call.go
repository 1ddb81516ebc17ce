// Package streamer defines a request on its way and the answer that comes back,
// and keeps the parts of an answer in order.
package streamer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// A Call is one caller's request as the instances pass it on.
type Call struct {
	ID       string            `cbor:"1,keyasint"` // of this attempt, for logs and books
	Account  string            `cbor:"2,keyasint"`
	Desk     string            `cbor:"3,keyasint"`
	Service  string            `cbor:"4,keyasint"`
	Adapter  string            `cbor:"5,keyasint"` // name@version; empty for a plain service
	Runner   string            `cbor:"6,keyasint"` // upstream that was chosen
	Method   string            `cbor:"7,keyasint"`
	Path     string            `cbor:"8,keyasint"`
	Header   map[string]string `cbor:"9,keyasint"`
	Body     []byte            `cbor:"10,keyasint"`
	Stream   bool              `cbor:"11,keyasint"`
	Once     bool              `cbor:"12,keyasint"` // not idempotent
	Key      string            `cbor:"13,keyasint"` // idempotency key; empty if none
	Priority int               `cbor:"14,keyasint"`
	Left     time.Duration     `cbor:"15,keyasint"` // until the deadline, when sent; clocks are not compared
	Hops     int               `cbor:"16,keyasint"` // failure domains that passed it on

	Deadline time.Time `cbor:"-"` // on this instance's clock
}

// Digest returns what identifies the work that the call asks for.
func (c *Call) Digest() quarantiner.Digest {
	return quarantiner.DigestOf(c.Account, c.Method, c.Path, c.Body)
}

// A Head is how an answer begins.
type Head struct {
	Status  int           `cbor:"1,keyasint"`
	Type    string        `cbor:"2,keyasint"` // content type
	Adapter string        `cbor:"3,keyasint"` // that gave the answer
	Runner  string        `cbor:"4,keyasint"`
	Stall   time.Duration `cbor:"5,keyasint"` // wait because the adapter was not resident
	Queued  time.Duration `cbor:"6,keyasint"` // wait in all before it was sent to the upstream
}

// A Sink takes an answer in, the head first. A Sink that returns an error takes
// no more: its caller went away.
type Sink interface {
	Data(data []byte) error
	Head(head Head) error
}
