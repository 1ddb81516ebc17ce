package gatekeeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// When a deployment starts for the first time, nobody holds anything and no caller is
// there yet. Each instance then reads first who holds the tenures, and waits a moment
// to be told the rest: without that each made seven calls to the store at once. An instance
// that starts again has callers waiting, and asks for all that it needs at once.
const (
	// firstSpread is over how long the instances spread their first call: whoever
	// comes first takes the tenure, within some 30 ms, and tells the others.
	firstSpread = time.Second
	// firstAnswer bounds the wait for the store's first answer, and firstWord the one
	// for the first word of the instance that tells.
	firstAnswer = 300 * time.Millisecond
	firstWord   = 300 * time.Millisecond
)

// begin reads who holds the tenures, if that is to be known before anything else.
func (g *Gatekeeper) begin(ctx context.Context) {
	g.setViews()
	if !g.Config.First {
		return
	}
	pause(ctx, rand.N(firstSpread))
	sent := time.Now()
	g.mayAsk.set(sent.Add(firstAnswer))
	err := g.refresh(ctx, &g.holders, longWatch)
	g.sawStore(sent, err)
	g.mayAsk.set(time.Now())
}

// afterHolders returns a loop that begins when it is known who holds the tenures.
func (g *Gatekeeper) afterHolders(loop func(context.Context)) func(context.Context) {
	return g.after(loop, func(time.Time) bool { return true })
}

// unlessTold returns a loop that begins when it is known that nobody tells this
// instance what the loop would ask the store.
func (g *Gatekeeper) unlessTold(loop func(context.Context), told func(now time.Time) bool) func(context.Context) {
	return g.after(loop, func(known time.Time) bool {
		_, telling := g.teller()
		now := time.Now()
		return !telling || told(now) || now.Sub(known) > firstWord
	})
}

// after returns a loop that begins when it is known who holds the tenures, or not to
// be waited for any more, and ready says so.
func (g *Gatekeeper) after(loop func(context.Context), ready func(known time.Time) bool) func(context.Context) {
	const step = 10 * time.Millisecond
	return func(ctx context.Context) {
		for g.Config.First && ctx.Err() == nil {
			if known, ok := g.mayAsk.get(); ok && !time.Now().Before(known) && ready(known) {
				break
			}
			pause(ctx, step)
		}
		loop(ctx)
	}
}
