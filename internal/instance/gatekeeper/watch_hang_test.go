package gatekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// recoveryTime is how long after the end of any fault an instance may use outdated state.
// Deadlines hold again from then on.
const recoveryTime = 3 * time.Second

// Guards against an instance whose callers get 404 for a route that every other instance
// serves, seconds after the operator's change was acknowledged. The store had accepted calls
// for seven seconds and answered none, without closing a connection. Instances whose watch call
// was sent before received the change when the store was back; one that sent its watch call
// during the outage waited for the response for the full timeout, half a minute, while its short
// calls for other tables succeeded. Only that call distinguishes the two kinds of instance.
func TestConfigurationIsCurrentSoonAfterHangingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		ctx, cancel := context.WithCancel(t.Context())
		go g.watchOperator(ctx)
		time.Sleep(time.Second)
		store.set(hangs)
		store.configure(2) // the instance receives it and sends the next watch call into the outage
		time.Sleep(7 * time.Second)
		store.set(serves)
		store.configure(3)
		time.Sleep(recoveryTime)
		if got := g.version(); got != 3 {
			t.Errorf("version %d in force %s after the store was back, want 3", got, recoveryTime)
		}
		cancel()
		synctest.Wait()
	})
}
