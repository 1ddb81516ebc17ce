package gatekeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against an adapter of a stream that its caller takes up which is loaded after those of new requests, and against an
// estimate for it that counts these, at the leader and at an instance that reads it from a message.
func TestLoadsOfContinuedStreamsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		c := g.controllers["a"]
		p := &placer.Placer{Model: "m", AdapterSlots: 8, MaxLoads: 4}
		c.runners["i-1"] = &runnerState{runner: tracker.Runner{ID: "i-1", Domain: "a", Service: "llm"}, placer: p}
		now := time.Now()
		for n := range 20 {
			w := forwarder.Waiter{Continues: n >= 15, InTime: n >= 10}
			p.SetDemand(placer.Copy{Model: "m", Adapter: fmt.Sprint("a", n), Version: 1}, placer.Waiting{Priority: 1, Requests: 1, InTime: weightOf(w)}, now)
		}
		p.ApplyReport(placer.Report{Models: []string{"m"}}, now)
		if order, ok := p.Next(now, placer.FetchForWaiting); !ok || order.Copy.Adapter != "a15" {
			t.Errorf("loads %+v first", order)
		}
		p.Finish(placer.Refused, now)
		step := g.LoadTime() / time.Duration(c.loadWindow.Limit(1))
		want, got := tracker.LoadQueueWait{Last: 20 * step, Continued: 5 * step}, c.loadQueueWait(now)
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
