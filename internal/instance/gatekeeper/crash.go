package gatekeeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A connection that ends in the middle of an answer shows little: it may have been
// reset, the answer may have been lost or spoiled, the runner may have left as planned.
// A crash is that and then a runner that takes no connection, or another incarnation in
// its place. So whoever saw an answer break off asks the runner itself, at once.

const (
	// checkPause is the pause before a runner is asked, and between two questions. One
	// that has just crashed may still take a connection for a moment.
	checkPause = 80 * time.Millisecond
	// refusals is how many questions in a row a runner refuses before it counts as
	// crashed. One that has no connection to spare may refuse one.
	refusals = 2
	// checkTime bounds the questions to a runner. What is silent for longer is not
	// suspected of anything: silence is what a cut link shows as well.
	checkTime = 2 * time.Second
	// crashKept is how long a crash is known to those whose answers break off later
	// than others', as their packets were lost.
	crashKept = 10 * time.Second
	// mostChecked bounds the requests that wait for the result of one check. A runner
	// runs 64 at once.
	mostChecked = 256
)

// checks find out which runners have crashed. Its zero value is ready.
type checks struct {
	mu    sync.Mutex
	under map[string]*check // by runner
}

// A check finds out whether a runner has crashed.
type check struct {
	began    time.Time                            // when the first answer broke off there
	crashed  bool                                 // it has; further requests that broke off there are suspected at once
	requests map[quarantiner.Digest]time.Duration // and how long they had run
}

// add takes in that a request broke off at a runner that was sent there at a time. begin
// reports that a check is to be made, crashed that it was and that the runner has crashed.
//
// What was sent after the first answer had broken off is no suspect. A runner that is down
// may seem to take it, behind a proxy; whoever was sent to three of them before their
// rows were gone was rejected for good.
func (c *checks) add(runner string, d quarantiner.Digest, sent time.Time) (begin, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.under == nil {
		c.under = make(map[string]*check)
	}
	one, ok := c.under[runner]
	if !ok {
		one = &check{began: now, requests: make(map[quarantiner.Digest]time.Duration)}
		c.under[runner] = one
	}
	if sent.After(one.began) {
		return false, false
	}
	if len(one.requests) < mostChecked {
		one.requests[d] = now.Sub(sent)
	}
	return !ok, one.crashed
}

// end ends a check and returns the requests that waited for it. One that showed a crash
// is kept for those that come late.
func (c *checks) end(runner string, crashed bool) map[quarantiner.Digest]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.under[runner]
	one.crashed = crashed
	if crashed {
		time.AfterFunc(crashKept, func() { c.forget(runner) })
	} else {
		delete(c.under, runner)
	}
	return maps.Clone(one.requests)
}

func (c *checks) forget(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.under, runner)
}

// Broke implements forwarder.Quarantine.
func (g *Gatekeeper) Broke(d quarantiner.Digest, runner tracker.Runner, sent time.Time) {
	if g.endsAsPlanned(runner) {
		return
	}
	begin, crashed := g.crashes.add(runner.ID, d, sent)
	switch {
	case crashed:
		g.suspect(runner.ID, map[quarantiner.Digest]time.Duration{d: time.Since(sent)})
	case begin:
		go g.check(runner)
	}
}

// endsAsPlanned reports whether a runner has said that it leaves, or has left.
func (g *Gatekeeper) endsAsPlanned(runner tracker.Runner) bool {
	_, known := g.Fleet.Get(runner.ID)
	return !known || g.leaves(runner)
}

// check finds out whether a runner has crashed, and if so suspects what broke off there.
func (g *Gatekeeper) check(runner tracker.Runner) {
	began := time.Now()
	life := g.lifeOf(runner)
	crashed := (life == tracker.Refuses || life == tracker.Replaced) && !g.leaves(runner)
	requests := g.crashes.end(runner.ID, crashed)
	g.Recorder.Log(recorder.Suspect, "msg", "runner checked", "runner", runner.ID, "life", life, "crashed", crashed,
		"requests", len(requests), "took", time.Since(began))
	if crashed {
		g.suspect(runner.ID, requests)
	}
}

// leaves reports whether a runner has said that it leaves.
func (g *Gatekeeper) leaves(runner tracker.Runner) bool {
	known, ok := g.Fleet.Get(runner.ID)
	return ok && known.Leaving
}

// lifeOf asks a runner until it is clear whether it lives, or the time for that is over.
func (g *Gatekeeper) lifeOf(runner tracker.Runner) tracker.Life {
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	refused := 0
	for {
		pause(ctx, checkPause)
		if ctx.Err() != nil {
			return tracker.Unknown
		}
		switch life := g.Engine.Lives(ctx, runner); life {
		case tracker.Lives, tracker.Replaced:
			return life
		case tracker.Refuses:
			refused++
			if refused >= refusals {
				return life
			}
		default:
			refused = 0
		}
	}
}
