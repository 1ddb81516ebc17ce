// Package tracker keeps what one instance knows of the runners: what they are,
// what they hold, and how much work is before a further request.
package tracker

import (
	"strconv"
	"strings"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// A Runner is one incarnation of an upstream, as it registered itself. An address
// may come to belong to another runner, and a runner may start again under its
// name: it then holds nothing and has counted no orders. What is believed of a
// runner is kept by ID, so that nothing that is known of an earlier start, or told
// late of it, is taken for the later one.
type Runner struct {
	ID       string        `cbor:"1,keyasint"`            // of this incarnation
	Born     uint64        `cbor:"10,keyasint,omitempty"` // when it started, in Unix milliseconds; 0 if it does not say
	Service  string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"` // host:port
	Domain   string        `cbor:"4,keyasint"`
	Slots    int           `cbor:"5,keyasint"` // requests at once
	Leaving  bool          `cbor:"6,keyasint"`
	Models   []string      `cbor:"7,keyasint,omitempty"`
	Adapters []placer.Copy `cbor:"8,keyasint,omitempty"` // held when it last told
	Revision uint64        `cbor:"9,keyasint"`           // of this description; grows
}

// Incarnation returns the ID of the start of a runner under a name.
func Incarnation(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + suffix(born)
}

// Name returns the name under which the runner registers, which it may keep over
// a restart.
func (r Runner) Name() string {
	if r.Born == 0 {
		return r.ID
	}
	return strings.TrimSuffix(r.ID, suffix(r.Born))
}

func suffix(born uint64) string { return "@" + strconv.FormatUint(born, 10) }

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

// Minus returns what is left of a load without another.
func (l Load) Minus(other Load) Load {
	return Load{Running: l.Running - other.Running, Unread: l.Unread - other.Unread}
}
