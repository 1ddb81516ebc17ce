package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// errUnresponsive is a runner that gives no sign for longer than one that works.
var errUnresponsive = errors.New("the runner gives no sign")

const (
	// firstByteTargets is how long a runner may stay without the first byte of its
	// answer before another one is tried, as a multiple of the goal.
	firstByteTargets = 2
	// minFirstByteTimeout keeps goals of a few milliseconds from making every pause a
	// failure.
	minFirstByteTimeout = 500 * time.Millisecond
	// idleFraction is the part of the time after which callers give up a stream
	// that a runner may stay silent within it.
	idleFraction = 0.75
)

// A watch ends an attempt whose runner gives no sign, but only when another
// runner can take over at once and a retry is allowed: silence alone is no
// reason to take an answer from a caller that still waits for it. A runner that
// has put a run back for more urgent ones may be silent for seconds and go on.
type watchdog struct {
	p      *exchange
	cancel context.CancelCauseFunc
	demand tracker.Demand

	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer // nil after the end
}

// newWatchdog returns the watch of an attempt at a runner.
func (p *exchange) newWatchdog(runner string, cancel context.CancelCauseFunc) *watchdog {
	tried := maps.Clone(p.tried)
	tried[runner] = true
	w := &watchdog{p: p, cancel: cancel, demand: p.demand(tried), timeout: p.firstByteTimeout()}
	if !p.request.Route.Repeatable() || p.executions+1 >= p.request.Route.Attempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.expire)
	return w
}

// reset takes in a sign of the runner; from now on a pause may be longer than
// the wait for the first one.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timeout = w.p.idleTimeout()
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// expire is called when the runner has given no sign for the limit.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if !w.p.hasFreeRunner(w.demand) || !w.p.budget.Withdraw() {
		w.timer.Reset(w.timeout)
		return
	}
	w.timer = nil
	w.p.retryPaid.Store(true)
	w.cancel(errUnresponsive)
}

// hasFreeRunner reports whether another runner could take the request at once.
func (p *exchange) hasFreeRunner(d tracker.Demand) bool {
	for _, c := range p.Fleet.Candidates(d, time.Now()) {
		if c.Resident && !c.Crowded {
			return true
		}
	}
	return false
}

func (p *exchange) firstByteTimeout() time.Duration {
	return max(minFirstByteTimeout, firstByteTargets*p.request.Route.Goal, firstByteTargets*p.request.Route.Gap)
}

func (p *exchange) idleTimeout() time.Duration {
	return time.Duration(idleFraction * float64(p.callerTimeout()))
}
