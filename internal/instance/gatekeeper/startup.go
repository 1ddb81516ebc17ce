package gatekeeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// When a deployment starts for the first time there are no leaders and no callers. Each
// instance then first reads who leads each failure domain, and waits briefly to receive the
// rest from a leader: without that each instance made seven calls to the store at once. An
// instance that restarts has callers waiting and fetches everything it needs at once.
const (
	// startJitter spreads the first calls of the instances: the first one acquires the lease
	// within some 30 ms and publishes to the others.
	startJitter = time.Second
	// discoveryTimeout bounds the wait for the first answer of the store, and
	// firstUpdateTimeout the wait for the first update of the source.
	discoveryTimeout   = 300 * time.Millisecond
	firstUpdateTimeout = 300 * time.Millisecond
)

// discoverLeaders reads who leads each failure domain, if that has to be known before anything
// else.
func (g *Gatekeeper) discoverLeaders(ctx context.Context) {
	g.setViews()
	if !g.Config.First {
		return
	}
	pause(ctx, rand.N(startJitter))
	sent := time.Now()
	g.discoveryEnds.set(sent.Add(discoveryTimeout))
	err := g.refresh(ctx, &g.leaders, watchTimeout)
	g.recordStoreCall(sent, err)
	g.discoveryEnds.set(time.Now())
}

// afterDiscovery returns a loop that begins when the leaders are known.
func (g *Gatekeeper) afterDiscovery(loop func(context.Context)) func(context.Context) {
	return g.delayed(loop, func(time.Time) bool { return true })
}

// unlessPublished returns a loop that begins when the leaders are known and no source publishes
// what the loop would read from the store.
func (g *Gatekeeper) unlessPublished(loop func(context.Context), published func(now time.Time) bool) func(context.Context) {
	return g.delayed(loop, func(known time.Time) bool {
		_, hasSource := g.currentSource()
		now := time.Now()
		return !hasSource || published(now) || now.Sub(known) > firstUpdateTimeout
	})
}

// delayed returns a loop that begins when the leaders are known, or discovery has timed out,
// and ready returns true.
func (g *Gatekeeper) delayed(loop func(context.Context), ready func(known time.Time) bool) func(context.Context) {
	const step = 10 * time.Millisecond
	return func(ctx context.Context) {
		for g.Config.First && ctx.Err() == nil {
			if known, ok := g.discoveryEnds.get(); ok && !time.Now().Before(known) && ready(known) {
				break
			}
			pause(ctx, step)
		}
		loop(ctx)
	}
}
