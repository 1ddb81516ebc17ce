// Package tracker holds the state of the runners as one instance knows it: their
// descriptions, the adapters that they hold, and their load.
package tracker

import (
	"strconv"
	"strings"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// A Runner is one incarnation of an upstream, as it registered itself. An address
// may pass to another runner, and a runner may restart under the same name: it then
// holds no adapters and has counted no orders. State is kept by the ID of the
// incarnation, so that the state of an earlier incarnation, or a late report about
// it, is never applied to a later one.
type Runner struct {
	ID       string        `cbor:"1,keyasint"`            // identifies this incarnation
	Born     uint64        `cbor:"10,keyasint,omitempty"` // start time in Unix milliseconds; 0 if unknown
	Service  string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"` // host:port
	Domain   string        `cbor:"4,keyasint"`
	Slots    int           `cbor:"5,keyasint"` // concurrent requests
	Leaving  bool          `cbor:"6,keyasint"`
	Models   []string      `cbor:"7,keyasint,omitempty"`
	Adapters []placer.Copy `cbor:"8,keyasint,omitempty"`  // held at its last report
	Revision uint64        `cbor:"9,keyasint"`            // of this description; increases
	Version  string        `cbor:"11,keyasint,omitempty"` // of its software
}

// Incarnation returns the ID of the incarnation of a runner that started at the
// given time.
func Incarnation(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + suffix(born)
}

// Name returns the name under which the runner registers, which may stay the same
// after a restart.
func (r Runner) Name() string {
	if r.Born == 0 {
		return r.ID
	}
	return strings.TrimSuffix(r.ID, suffix(r.Born))
}

func suffix(born uint64) string { return "@" + strconv.FormatUint(born, 10) }

// A Load is the load on a runner from one or several instances.
type Load struct {
	_             struct{} `cbor:",toarray"`
	Running       int      // requests in progress
	PrefillTokens int      // prompt tokens of those that wait for their first token
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, PrefillTokens: l.PrefillTokens + other.PrefillTokens}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return Load{Running: l.Running - other.Running, PrefillTokens: l.PrefillTokens - other.PrefillTokens}
}
