package gatekeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against an estimate for streams that are taken up that counts the loads which go behind theirs, as the
// requests that wait for them are late; at the leader, and at an instance that reads it from a message.
func TestLoadsOfLateRequestsGoLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		c := g.controllers["a"]
		p := &placer.Placer{Model: "m", AdapterSlots: 8}
		c.runners["i-1"] = &runnerState{runner: tracker.Runner{ID: "i-1", Domain: "a", Service: "llm"}, placer: p}
		now := time.Now()
		for n := range 20 {
			waiting := placer.Waiting{Priority: 1, Requests: 1}
			if n < 5 {
				waiting.InTime = 1
			}
			p.SetDemand(placer.Copy{Model: "m", Adapter: fmt.Sprint("a", n), Version: 1}, waiting, now)
		}
		step := g.LoadTime() / time.Duration(c.loadWindow.Limit(1))
		want, got := tracker.LoadQueueWait{Last: 20 * step, InTime: 5 * step}, c.loadQueueWait(now)
		tolerance := cmp.Comparer(func(a, b time.Duration) bool { return (a - b).Abs() < 100 })
		if diff := cmp.Diff(want, got, tolerance); diff != "" {
			t.Error(diff)
		}
		var update relayer.News
		update.SetQueueWait(got)
		if diff := cmp.Diff(got, update.QueueWait()); diff != "" {
			t.Error(diff)
		}
	})
}
