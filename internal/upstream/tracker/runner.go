// Package tracker keeps what one instance knows of the runners: what they are,
// what they hold, and how much work is before a further request.
package tracker

import "github.com/sardinetiller/sardinetiller/internal/adapter/placer"

// A Runner is an upstream as it registered itself. Each start of its process
// has another ID; an address may come to belong to another runner.
type Runner struct {
	ID       string        `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"` // host:port
	Domain   string        `cbor:"4,keyasint"`
	Slots    int           `cbor:"5,keyasint"` // requests at once
	Leaving  bool          `cbor:"6,keyasint"`
	Models   []string      `cbor:"7,keyasint,omitempty"`
	Adapters []placer.Copy `cbor:"8,keyasint,omitempty"` // held when it last told
	Revision uint64        `cbor:"9,keyasint"`           // of this description; grows
}

// A Load is how much work a runner has from one or several instances.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int      // requests under way
	Unread  int      // prompt tokens of those without a first token
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, Unread: l.Unread + other.Unread}
}
