package gatekeeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// An instance that begins reads first who holds the tenures, and waits a moment to be
// told the rest. Without that each instance read three tables and wrote or read the
// row of the tenure: seven calls each, 1,350 of 195 instances that start together.
const (
	// firstAnswer bounds the wait for the store's first answer, and firstWord the one
	// for the first word of the instance that tells. Within both, callers cannot be
	// served yet.
	firstAnswer = 300 * time.Millisecond
	firstWord   = 300 * time.Millisecond
	// firstSpread is over how long the instances of a deployment that starts for the
	// first time spread their first call: whoever comes first takes the tenure, within
	// some 30 ms, and tells the others. Callers come seconds later.
	firstSpread = time.Second
)

// begin reads who holds the tenures.
func (g *Gatekeeper) begin(ctx context.Context) {
	g.setViews()
	if g.Config.First {
		pause(ctx, rand.N(firstSpread))
	}
	sent := time.Now()
	g.mayAsk.set(sent.Add(firstAnswer))
	err := g.refresh(ctx, &g.holders, longWatch)
	g.sawStore(sent, err)
	g.mayAsk.set(time.Now())
}

// afterHolders returns a loop that begins when it is known who holds the tenures.
func (g *Gatekeeper) afterHolders(loop func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		g.await(ctx, func(time.Time) bool { return true })
		loop(ctx)
	}
}

// unlessTold returns a loop that begins when it is known that nobody tells this
// instance what the loop would ask the store.
func (g *Gatekeeper) unlessTold(loop func(context.Context), told func(now time.Time) bool) func(context.Context) {
	return func(ctx context.Context) {
		g.await(ctx, func(known time.Time) bool {
			_, telling := g.teller()
			now := time.Now()
			return !telling || told(now) || now.Sub(known) > firstWord
		})
		loop(ctx)
	}
}

// await waits until it is known who holds the tenures, or is not to be waited for any
// more, and ready says so.
func (g *Gatekeeper) await(ctx context.Context, ready func(known time.Time) bool) {
	const step = 10 * time.Millisecond
	for ctx.Err() == nil {
		if known, ok := g.mayAsk.get(); ok && !time.Now().Before(known) && ready(known) {
			return
		}
		pause(ctx, step)
	}
}
