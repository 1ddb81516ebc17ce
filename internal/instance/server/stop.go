package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// A stopState tells how far the instance is on its way out.
type stopState struct{ phase atomic.Int32 }

// The phases of a stop.
const (
	phaseServing int32 = iota
	phaseNotice        // not ready, still takes new requests while the balancer notices
	phaseDrain         // refuses new requests, ends those in flight
)

func (s *stopState) leaving() bool  { return s.phase.Load() > phaseServing }
func (s *stopState) draining() bool { return s.phase.Load() >= phaseDrain }

// idlePoll is how often a leaving instance looks whether it is done.
const idlePoll = 20 * time.Millisecond

// Drain makes the instance leave as SIGTERM does, except that it keeps running.
func (s *Server) Drain() { s.stop.phase.CompareAndSwap(phaseServing, phaseNotice) }

// Stopping implements the answerer's question whether new requests are refused.
func (s *Server) Stopping() bool { return s.stop.draining() }

// leave is the graceful stop. The order matters: the balancer and the peers
// stop sending first, then the runners go over with what is resident and
// pinned, then the requests in flight run to their end.
func (s *Server) leave(ctx context.Context) {
	_ = level.Info(s.Logger).Log("msg", "leaving")
	s.stop.phase.Store(phaseNotice)
	s.mu.Lock()
	s.Holder.Leave()
	s.mu.Unlock()
	s.pollSoon()
	wait(ctx, s.Config.Notice, func() bool { return false })
	s.stop.phase.Store(phaseDrain)
	done := wait(ctx, s.Config.Drain, func() bool { return s.Answerer.Idle() && s.Driver.Idle() })
	if !done {
		_ = level.Warn(s.Logger).Log("msg", "requests in flight are cut off", "drain", s.Config.Drain)
	}
}

// wait returns whether until held before the time had passed.
func wait(ctx context.Context, bound time.Duration, until func() bool) bool {
	deadline := time.Now().Add(bound)
	for !until() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(idlePoll)
	}
	return true
}
