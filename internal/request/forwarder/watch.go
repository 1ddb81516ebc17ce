package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// errSilent is a runner that gives no sign for longer than one that works.
var errSilent = errors.New("the runner gives no sign")

const (
	// silence is how long a runner may stay without the first byte of its
	// answer before another one is tried, as a multiple of the goal.
	silence = 2
	// silenceLeast keeps goals of a few milliseconds from making every pause a
	// failure.
	silenceLeast = 500 * time.Millisecond
	// pausePart is the part of the time after which callers give up a stream
	// that a runner may stay silent within it.
	pausePart = 0.75
)

// A watch ends an attempt whose runner gives no sign, but only when another
// runner can take over at once and a retry is allowed: silence alone is no
// reason to take an answer from a caller that still waits for it. A runner that
// has put a run back for more urgent ones may be silent for seconds and go on.
type watch struct {
	p      *exchange
	cancel context.CancelCauseFunc
	demand tracker.Demand

	mu    sync.Mutex
	limit time.Duration
	timer *time.Timer // nil after the end
}

// watch returns the watch of an attempt at a runner.
func (p *exchange) watch(runner string, cancel context.CancelCauseFunc) *watch {
	tried := maps.Clone(p.tried)
	tried[runner] = true
	w := &watch{p: p, cancel: cancel, demand: p.demand(tried), limit: p.silence()}
	if !p.request.Route.Repeatable() || p.runs+1 >= p.request.Route.Attempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.silent)
	return w
}

// heard takes in a sign of the runner; from now on a pause may be longer than
// the wait for the first one.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.limit = w.p.pauseLimit()
		w.timer.Reset(w.limit)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// silent is called when the runner has given no sign for the limit.
func (w *watch) silent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if !w.p.elsewhere(w.demand) || !w.p.budget.Withdraw() {
		w.timer.Reset(w.limit)
		return
	}
	w.timer = nil
	w.p.paid.Store(true)
	w.cancel(errSilent)
}

// elsewhere reports whether another runner could take the request at once.
func (p *exchange) elsewhere(d tracker.Demand) bool {
	for _, c := range p.Fleet.Candidates(d, time.Now()) {
		if c.Resident && !c.Crowded {
			return true
		}
	}
	return false
}

func (p *exchange) silence() time.Duration {
	return max(silenceLeast, silence*p.request.Route.Goal, silence*p.request.Route.Gap)
}

func (p *exchange) pauseLimit() time.Duration {
	return time.Duration(pausePart * float64(p.giveUp()))
}
