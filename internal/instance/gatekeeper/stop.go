package gatekeeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A stopState is how far an instance is with leaving.
type stopState struct {
	since   moment       // when it began
	working atomic.Int64 // requests under way
}

const (
	// takeIn is the part of the grace time in which an instance that leaves
	// still takes requests: the balancer needs two looks, a second apart, to
	// send callers elsewhere. Later ones are told to come back, which leads them
	// to another instance.
	takeIn = 0.35
	// endBefore is how long before the end of the grace time the process ends
	// by itself.
	endBefore = 700 * time.Millisecond
	// giveBack is how long before that end requests which still wait for an
	// adapter are told to come back. Without it they were cut off with the process
	// although nothing of them had run.
	giveBack = time.Second
	// settle is how long an instance waits, once nothing is under way, for
	// callers that have not seen yet that it leaves.
	settle = 2500 * time.Millisecond
	// elsewhere is when a caller may come back that is sent to another
	// instance: at once, but for the time that its new connection takes.
	elsewhere = 50 * time.Millisecond
)

// leave stops the instance gracefully: it gives up its tenures, is not ready
// any more, goes on with what it has, and ends when nothing is left or the
// grace time is over.
func (g *Gatekeeper) leave(ctx context.Context) {
	began := time.Now()
	g.since.set(began)
	g.Recorder.Log(recorder.Lifecycle, "msg", "stopping", "working", g.working.Load())
	g.resign(ctx)
	for {
		took := time.Since(began)
		if took >= g.Config.Bounds.Grace-endBefore || took >= settle && g.working.Load() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.Recorder.Log(recorder.Lifecycle, "msg", "stopped", "working", g.working.Load(), "took", time.Since(began))
}

// Leaving reports whether the instance is stopping.
func (g *Gatekeeper) Leaving() bool {
	_, leaving := g.since.get()
	return leaving
}

// Ending reports whether the instance ends so soon that a request which still
// waits cannot be answered any more.
func (g *Gatekeeper) Ending() bool {
	since, leaving := g.since.get()
	return leaving && time.Since(since) >= g.Config.Bounds.Grace-endBefore-giveBack
}

// late refuses a request that an instance which leaves could not finish.
func (g *Gatekeeper) late() *judge.Error {
	since, leaving := g.since.get()
	if !leaving || time.Since(since) < time.Duration(takeIn*float64(g.Config.Bounds.Grace)) {
		return nil
	}
	return judge.Refuse(judge.ReasonStopping, "the instance is stopping").After(elsewhere)
}
