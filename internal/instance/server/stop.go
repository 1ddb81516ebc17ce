package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// A stopState is the progress of a graceful stop.
type stopState struct{ phase atomic.Int32 }

// The phases of a stop.
const (
	phaseServing int32 = iota
	phaseNotice        // not ready; still accepts new requests until the load balancer has noticed
	phaseDrain         // rejects new requests, completes those in flight
)

func (s *stopState) leaving() bool  { return s.phase.Load() > phaseServing }
func (s *stopState) draining() bool { return s.phase.Load() >= phaseDrain }

// idlePoll is how often a stopping instance checks whether it is idle.
const idlePoll = 20 * time.Millisecond

// Drain starts the first phase of a graceful stop: the instance is not ready and
// reports to its peers that it is draining. The process keeps running, and unlike after
// SIGTERM the later phases do not follow.
func (s *Server) Drain() { s.stop.phase.CompareAndSwap(phaseServing, phaseNotice) }

// Stopping reports whether new requests are rejected.
func (s *Server) Stopping() bool { return s.stop.draining() }

// stopGracefully ends the instance without aborting requests. The order matters: the
// load balancer and the peers stop sending first, then other instances take over the
// runners with their resident and pinned adapters, then the requests in flight run to
// completion.
func (s *Server) stopGracefully(ctx context.Context) {
	_ = level.Info(s.Logger).Log("msg", "leaving")
	s.stop.phase.Store(phaseNotice)
	s.mu.Lock()
	s.Holder.Leave()
	s.mu.Unlock()
	s.pollSoon()
	waitUntil(ctx, s.Config.Notice, func() bool { return false })
	s.stop.phase.Store(phaseDrain)
	done := waitUntil(ctx, s.Config.Drain, func() bool { return s.Answerer.Idle() && s.Driver.Idle() })
	if !done {
		_ = level.Warn(s.Logger).Log("msg", "drain time exceeded; aborting requests in flight", "drain", s.Config.Drain)
	}
}

// waitUntil polls the condition and reports whether it became true before the timeout.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(idlePoll)
	}
	return true
}
