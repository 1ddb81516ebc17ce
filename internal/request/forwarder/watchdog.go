package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// errUnresponsive reports that a runner sent nothing for longer than a working one does.
var errUnresponsive = errors.New("the runner gives no sign")

const (
	// firstByteTargets is how long a runner may take to send the first byte of its response
	// before another one is tried, as a multiple of the latency target or of the maximum
	// gap, whichever is longer.
	firstByteTargets = 2
	// maxSilence is how long a sound runner may send nothing and do no work, in addition to the
	// time that its work takes. An attempt is not ended for less: the next runner may reject the
	// request, fail or be silent as well, and the caller loses a response that the first one
	// would have completed.
	maxSilence = 2 * time.Second
	// silenceWait is how long a request whose attempt was ended because its runner was silent waits
	// for a runner: the silence may last that long, or the runners may be reached again by then,
	// which a partition's probes show within 0.9 s.
	silenceWait = 2500 * time.Millisecond
	// idleFraction is how long a runner may send nothing within a stream, as a fraction of
	// the time after which callers disconnect.
	idleFraction = 0.75
)

// A watchdog cancels an attempt whose runner sends nothing, but only if another runner can
// take over immediately and a retry is allowed: a time-out alone is no reason to cut a
// response that the caller still waits for. A runner that has preempted a request for more
// urgent ones may send nothing for seconds and then continue.
type watchdog struct {
	exchange *exchange
	cancel   context.CancelCauseFunc
	runner   tracker.Runner

	failedPeers map[string]bool // that the request does not go to

	mu       sync.Mutex
	demand   tracker.Demand // for another runner
	lastSign time.Time      // when the request was sent, or something was last received
	timeout  time.Duration
	timer    *time.Timer // nil once stopped
}

// newWatchdog starts the watchdog of an attempt at a runner.
func (x *exchange) newWatchdog(runner tracker.Runner, cancel context.CancelCauseFunc) *watchdog {
	demand := x.demand()
	demand.Excluded = x.eligible.triedWith(runner.ID)
	w := &watchdog{exchange: x, cancel: cancel, runner: runner, failedPeers: maps.Clone(x.failedPeers), demand: demand, lastSign: time.Now(), timeout: x.firstByteTimeout()}
	if !x.request.Route.Repeatable() || x.executions+1 >= x.request.Route.MaxExecutions {
		return w
	}
	w.mu.Lock()
	w.timer = time.AfterFunc(w.timeout, w.expire)
	w.mu.Unlock()
	x.Forwarder.mu.Lock()
	defer x.Forwarder.mu.Unlock()
	if x.watchdogs == nil {
		x.watchdogs = make(map[*watchdog]bool)
	}
	x.watchdogs[w] = true
	return w
}

// reset restarts the timer after data from the runner. From then on the idle timeout
// applies, which may be longer than the first-byte timeout.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSign = time.Now()
	w.demand.Pin = tracker.PinTo(w.runner.Version) // the stream has begun there
	if w.timer != nil {
		w.timeout = w.exchange.idleTimeout()
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	f := w.exchange.Forwarder
	f.mu.Lock()
	delete(f.watchdogs, w)
	f.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// expire is called when the runner has sent nothing for the timeout.
func (w *watchdog) expire() {
	defer w.exchange.Recorder.Recover("timer", w.exchange.request.ID, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if !w.exchange.hasFreeRunner(w.demand) || !w.exchange.budget.Withdraw() {
		w.timer.Reset(w.timeout)
		return
	}
	w.end()
}

// end cancels the attempt, for which a retry has been withdrawn from the budget.
func (w *watchdog) end() {
	w.timer.Stop()
	w.timer = nil
	w.exchange.retryPaid.Store(true)
	now := time.Now()
	w.exchange.endedAt.Store(&now)
	w.cancel(errUnresponsive)
}

// HandlePartition ends the attempts at the runners of a service that have received nothing for
// a time and may be retried: this instance is partitioned from the runners, and the requests
// take a detour, or another one. It is called again with each status of a peer: as long as no peer is
// known that reaches the runners, these may be silent themselves, and the attempts go on.
func (f *Forwarder) HandlePartition(service string, quiet time.Duration) {
	if f.Detours == nil || !f.Fleet.Detector.Partitioned(service) || !f.Detours.DetourAvailable(service, nil) {
		return
	}
	f.mu.Lock()
	watchdogs := maps.Clone(f.watchdogs)
	f.mu.Unlock()
	for w := range watchdogs {
		if r := w.exchange.request; r.Service == service && (r.Via == "" && f.Detours.DetourAvailable(service, w.failedPeers) || w.goesBack()) {
			w.endQuiet(quiet)
		}
	}
}

// goesBack reports whether the attempt is that of a started stream that came over a detour, and that
// its sender is to send to another peer. Any other request has all its attempts here.
func (w *watchdog) goesBack() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.exchange.request
	return r.Via != "" && (r.Resumed || w.demand.Pin.Pinned) && w.exchange.Fleet.Detector.Partitioned(r.Service)
}

func (w *watchdog) endQuiet(quiet time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && time.Since(w.lastSign) >= quiet && w.exchange.budget.Withdraw() {
		w.end()
	}
}

// silenceWaitLimit returns how much longer a request whose attempt was ended because its runner was
// silent waits for a runner; at most 0 for any other request.
func (x *exchange) silenceWaitLimit() time.Duration {
	at := x.endedAt.Load()
	if at == nil {
		return 0
	}
	return silenceWait - time.Since(*at)
}

// hasFreeRunner reports whether another runner could take the request immediately.
func (x *exchange) hasFreeRunner(d tracker.Demand) bool {
	for _, c := range x.Fleet.Candidates(d, time.Now()) {
		if c.Resident && !c.Congested {
			return true
		}
	}
	return false
}

func (x *exchange) firstByteTimeout() time.Duration {
	expected := max(x.request.Route.LatencyTarget, x.request.Route.MaxGap)
	return max(firstByteTargets*expected, expected+maxSilence)
}

func (x *exchange) idleTimeout() time.Duration {
	return max(time.Duration(idleFraction*float64(x.callerTimeout())), x.request.Route.MaxGap+maxSilence)
}
