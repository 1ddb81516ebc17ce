package gatekeeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A stopState is the progress of a graceful stop.
type stopState struct {
	stoppingSince      atomicTime // when the stop began
	requestsInProgress atomic.Int64
	ending             context.Context // canceled shortly before the process exits
	end                context.CancelFunc
}

const (
	// acceptFraction is the fraction of the grace time during which a stopping instance still
	// accepts requests: the balancer needs two health checks, a second apart, to send callers
	// elsewhere. Later requests are refused with a retry hint, which leads callers to another
	// instance.
	acceptFraction = 0.35
	// exitMargin is how long before the end of the grace time the process exits by itself.
	exitMargin = 700 * time.Millisecond
	// refuseMargin is how long before that exit requests still waiting for an adapter are
	// refused with a retry hint. Without it they were cut off by the exit although nothing of
	// them had run.
	refuseMargin = time.Second
	// idleGrace is how long an instance without requests in progress waits for callers that
	// have not noticed yet that it is stopping.
	idleGrace = 2500 * time.Millisecond
	// drainMargin is how long before its exit the process stops listening for callers at the latest. The
	// requests that have arrived are refused within that time; those in progress go on meanwhile.
	drainMargin = 300 * time.Millisecond
	// endMargin is how long before its exit the process ends the requests in progress, so that their
	// callers get an answer: a request that hangs at its runner would be closed without one.
	endMargin = 150 * time.Millisecond
)

// stop stops the instance gracefully: it releases its leases, is no longer ready, continues
// the requests in progress, and, when none is left or the grace time is nearly over, stops listening for
// callers, answers what has arrived and ends.
func (g *Gatekeeper) stop(ctx context.Context) {
	began := time.Now()
	g.stoppingSince.set(began)
	g.Recorder.Log(recorder.Lifecycle, "msg", "stopping", "working", g.requestsInProgress.Load())
	g.releaseLeases(ctx)
	for {
		took := time.Since(began)
		if took >= g.Config.Bounds.Grace-exitMargin-drainMargin || took >= idleGrace && g.requestsInProgress.Load() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	exit := began.Add(g.Config.Bounds.Grace - exitMargin)
	defer time.AfterFunc(time.Until(exit)-endMargin, g.end).Stop()
	g.callers.Drain(exit)
	for g.requestsInProgress.Load() > 0 && time.Now().Before(exit) { // requests of peers
		time.Sleep(10 * time.Millisecond)
	}
	g.Recorder.Log(recorder.Lifecycle, "msg", "stopped", "working", g.requestsInProgress.Load(), "took", time.Since(began))
}

// untilEnd returns a context that also ends when the requests in progress are ended. done releases it.
func (g *Gatekeeper) untilEnd(ctx context.Context) (bounded context.Context, done func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ending, func() { cancel(forwarder.ErrStopping) })
	return bounded, func() {
		stop()
		cancel(nil)
	}
}

// Stopping reports whether the instance is stopping.
func (g *Gatekeeper) Stopping() bool {
	_, stopping := g.stoppingSince.get()
	return stopping
}

// StoppingSoon reports whether the instance ends so soon that a request still waiting can no
// longer be answered.
func (g *Gatekeeper) StoppingSoon() bool {
	since, stopping := g.stoppingSince.get()
	return stopping && time.Since(since) >= g.Config.Bounds.Grace-exitMargin-refuseMargin
}

// refuseLate refuses a request that a stopping instance could not finish.
func (g *Gatekeeper) refuseLate() *judge.Error {
	since, stopping := g.stoppingSince.get()
	if !stopping || time.Since(since) < time.Duration(acceptFraction*float64(g.Config.Bounds.Grace)) {
		return nil
	}
	return judge.Stopping("the instance is stopping")
}
