package gatekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// settledAfter is how long after the end of any trouble an instance may go by what
// it knew before. Callers are promised more from then on.
const settledAfter = 3 * time.Second

// Callers of one instance got 404 for a route that every other instance served,
// seconds after the operator's change was acknowledged. The store had taken calls
// for seven seconds and answered none, without ending a connection. Instances whose
// call for changes was sent before were told of the change when the store was back;
// one that had to ask within those seconds waited for its answer for as long as it
// had asked to wait, half a minute, while its short calls about other tables
// succeeded. Proved by this order of events: the call for changes sent into the
// outage is the only thing in which the two kinds of instance differ.
func TestConfigurationIsCurrentSoonAfterCallsThatNobodyAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		ctx, cancel := context.WithCancel(t.Context())
		go g.watchOperator(ctx)
		time.Sleep(time.Second)
		store.set(swallows)
		store.configure(2) // tells the instance, which asks again into the outage
		time.Sleep(7 * time.Second)
		store.set(serves)
		store.configure(3)
		time.Sleep(settledAfter)
		if got := g.version(); got != 3 {
			t.Errorf("version %d in force %s after the store was back, want 3", got, settledAfter)
		}
		cancel()
		synctest.Wait()
	})
}
