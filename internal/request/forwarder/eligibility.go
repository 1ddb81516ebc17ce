package forwarder

import (
	"maps"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// An eligibility says which runners may take a request, and why others may not. Every choice of a
// runner is restricted by it. Each last resort names the reason that it gives up.
type eligibility struct {
	avoided []string        // runners whose connections broke under the request at another instance
	broken  []string        // runners whose connections broke under the request at this instance
	full    map[string]bool // runners that refused the request for lack of capacity
	tried   map[string]bool // runners that failed under the request, and avoided ones

	// Software version of the runner that brought the first event of a stream: what runners of two
	// versions write does not fit together, and they do not check it. No last resort gives it up.
	pin tracker.VersionPin
}

// newEligibility returns the eligibility of a new request.
func newEligibility(r *Request) eligibility {
	e := eligibility{avoided: r.Avoid, full: make(map[string]bool), pin: r.Pin, tried: make(map[string]bool)}
	for _, runner := range r.Avoid {
		e.tried[runner] = true
	}
	return e
}

// restrict restricts a demand to the eligible runners.
func (e *eligibility) restrict(d *tracker.Demand) {
	d.Excluded, d.Pin, d.Refused = e.tried, e.pin, e.full
}

// begin records that the first event of a stream came from a runner of a software version.
func (e *eligibility) begin(version string) {
	if !e.pin.Pinned {
		e.pin = tracker.PinTo(version)
	}
}

// fail records that a runner failed under the request.
func (e *eligibility) fail(runner string) { e.tried[runner] = true }

// breakOff records that the connection to a runner broke under the request.
func (e *eligibility) breakOff(runner string) { e.broken = append(e.broken, runner) }

// retryTried makes the runners eligible again that failed under the request, except those that are
// down, and reports whether there are any.
func (e *eligibility) retryTried(down func(runner string) bool) bool {
	before := len(e.tried)
	maps.DeleteFunc(e.tried, func(runner string, _ bool) bool { return !down(runner) })
	return len(e.tried) < before
}

// fill records that a runner refused the request for lack of capacity.
func (e *eligibility) fill(runner string) { e.full[runner] = true }

// retryFull makes the runners eligible again that refused the request for lack of capacity.
func (e *eligibility) retryFull() { clear(e.full) }

// stopAvoiding makes the runners eligible again whose connections broke under the request at
// another instance, and reports whether there are any. It is called when no other runner can serve
// the request: the links of that instance may have failed rather than the runners.
func (e *eligibility) stopAvoiding() bool {
	for _, runner := range e.avoided {
		delete(e.tried, runner)
	}
	avoided := len(e.avoided) > 0
	e.avoided = nil
	return avoided
}

// triedWith returns the runners that are ineligible once one more has failed.
func (e *eligibility) triedWith(runner string) map[string]bool {
	tried := maps.Clone(e.tried)
	tried[runner] = true
	return tried
}
