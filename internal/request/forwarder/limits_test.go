package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// An adapter is resident nowhere and every adapter slot has a queue. A request that cannot
// be served within its wait limit must be refused immediately, with a Retry-After of at
// least the expected wait, instead of waiting until the limit and taking a queue position
// from requests that can still be served. A request that can be served in time must wait.
func TestRequestIsRefusedAtOnceWhenAdapterWaitExceedsLimit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		wait    time.Duration // for an adapter slot
		refused bool
	}{
		{"wait is within the limit", time.Second, false},
		{"wait exceeds the limit", 4 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
				}}
				f := newForwarder(u, placement{}, 1)
				r := newRequest(resumableRoute())
				r.Copy = placer.Copy{Model: "m", Adapter: "a1", Version: 2}
				f.Fleet.SetAdapterSlotWaits(map[string]time.Duration{"i-0": tc.wait})
				time.AfterFunc(time.Second, func() { f.Fleet.SetHeldCopy("i-0", r.Copy, time.Time{}, true) })
				var got sink
				started := time.Now()
				err := f.Forward(t.Context(), r, &got)
				if !tc.refused {
					if err != nil || time.Since(started) < time.Second {
						t.Errorf("%v after %s", err, time.Since(started))
					}
					return
				}
				if err == nil || err.Verdict != judge.NotRun || err.RetryAfter < tc.wait || time.Since(started) > 0 {
					t.Errorf("%+v after %s", err, time.Since(started))
				}
			})
		})
	}
}
