package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// takeUp makes a request that of a caller that has received two events in an earlier attempt.
func takeUp(r *forwarder.Request) { r.Resumes, r.LastEventID = "earlier", 2 }

// adapterLoad is the time to load an adapter.
const adapterLoad = 300 * time.Millisecond

// newTakeUpRoute returns a route whose first event is due after 500 ms, and whose callers wait for 2 s for any event.
func newTakeUpRoute() *matcher.Route {
	route := resumableRoute()
	route.LatencyTarget = 500 * time.Millisecond
	return route
}

// remainder is an upstream that sends the events that the caller lacks, up to the fourth.
func remainder(ctx context.Context, _ int, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
	return streamReply(&body{ctx: ctx, from: a.LastEventID + 1, to: 4, end: io.EOF}), nil
}

// Guards against a stream that its caller takes up and that is refused as its first event, which the caller has,
// would be late; and against one that waits although its caller will have disconnected.
func TestTakenUpStreamMayWaitForItsNextEvent(t *testing.T) {
	model, adapter := placer.Copy{Model: "m"}, placer.Copy{Model: "m", Adapter: "a", Version: 2}
	for _, tc := range []struct {
		name     string
		request  func(r *forwarder.Request)
		copy     placer.Copy
		backlog  time.Duration // of prompts at the runner
		slotWait time.Duration // until an adapter slot is free there
		comes    time.Duration // after which there is a runner
		want     judge.Reason
	}{
		{"behind prompts", takeUp, model, 1500 * time.Millisecond, 0, 0, ""},
		{"behind prompts, for too long", takeUp, model, 2 * time.Second, 0, 0, judge.ReasonQueue},
		{"behind prompts, over a detour", func(r *forwarder.Request) { r.LastEventID, r.Via = 2, "front-2" }, model, 1500 * time.Millisecond, 0, 0, ""},
		{"behind prompts, after half of its time", func(r *forwarder.Request) { takeUp(r); r.Arrived = r.Arrived.Add(-time.Second) }, model, 1500 * time.Millisecond, 0, 0, judge.ReasonQueue},
		{"behind prompts, without the name of the earlier attempt", func(r *forwarder.Request) { r.LastEventID = 2 }, model, 1500 * time.Millisecond, 0, 0, ""},
		{"behind prompts, on a route whose streams cannot be resumed", func(r *forwarder.Request) { takeUp(r); r.Route.Resumable = false }, model, 1500 * time.Millisecond, 0, 0, judge.ReasonQueue},
		{"new request behind prompts", func(*forwarder.Request) {}, model, 1500 * time.Millisecond, 0, 0, judge.ReasonQueue},
		{"until the deadline of its caller allows no adapter", func(r *forwarder.Request) { takeUp(r); r.Deadline = r.Arrived.Add(600 * time.Millisecond) }, adapter, 0, 400 * time.Millisecond, 0, judge.ReasonLoad},
		{"for its adapter", func(r *forwarder.Request) { takeUp(r); r.Deadline = r.Arrived.Add(2100 * time.Millisecond) }, adapter, 0, 450 * time.Millisecond, 0, ""},
		{"for its adapter, for too long", takeUp, adapter, 0, 2 * time.Second, 0, judge.ReasonLoad},
		{"for a runner", takeUp, model, 0, 0, 400 * time.Millisecond, ""},
		{"for a runner, for too long", takeUp, model, 0, 0, time.Hour, judge.ReasonUpstream},
		{"new request without a runner", func(*forwarder.Request) {}, model, 0, 0, 400 * time.Millisecond, judge.ReasonUpstream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwarder(&upstream{answer: remainder}, placement{}, 1)
				f.LoadTime = func() time.Duration { return adapterLoad }
				r := newRequest(newTakeUpRoute())
				r.Copy = tc.copy
				tc.request(r)
				f.Fleet.SetPrefillBacklog("i-0", 0, tc.backlog)
				f.Fleet.SetAdapterSlotWaits(map[string]time.Duration{"i-0": tc.slotWait})
				if tc.copy == adapter && tc.want == "" {
					time.AfterFunc(800*time.Millisecond, func() { f.Fleet.SetHeldCopy("i-0", adapter, time.Time{}, true) })
				}
				if tc.comes > 0 {
					f.Fleet.Remove("i-0", 0)
					time.AfterFunc(tc.comes, func() {
						f.Fleet.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Revision: 1})
					})
				}
				began, got := time.Now(), judge.Reason("")
				err := f.Forward(t.Context(), r, &sink{})
				if err != nil {
					got = err.Reason
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Fatal(err, diff)
				}
				if took := time.Since(began); took > 1600*time.Millisecond || got != "" && got != judge.ReasonUpstream && took > 0 {
					t.Errorf("decided after %s", took)
				}
				if err != nil && (err.Verdict != judge.NotRun || err.RetryAfter <= 0) {
					t.Errorf("refused with %+v", err)
				}
			})
		})
	}
}

// Guards against a stream that is taken up and refused for the loads of adapters that new requests wait for, which go
// behind its own.
func TestTakenUpStreamGoesFirstInTheLoadQueue(t *testing.T) {
	for _, tc := range []struct {
		name string
		wait tracker.LoadQueueWait
		want judge.Reason
	}{
		{"new requests ahead", tracker.LoadQueueWait{Last: 2 * time.Second, Continued: 100 * time.Millisecond}, ""},
		{"continued streams ahead", tracker.LoadQueueWait{Last: 2 * time.Second, Continued: 2 * time.Second}, judge.ReasonLoad},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var waiters []forwarder.Waiter
				f := newForwarder(&upstream{answer: remainder}, placement{reportWaiting: func(w forwarder.Waiter) { waiters = append(waiters, w) }}, 1)
				f.LoadTime = func() time.Duration { return adapterLoad }
				r := newRequest(newTakeUpRoute())
				r.Copy = placer.Copy{Model: "m", Adapter: "a", Version: 2}
				takeUp(r)
				f.Fleet.SetLoadQueueWait("a", tc.wait)
				time.AfterFunc(800*time.Millisecond, func() { f.Fleet.SetHeldCopy("i-0", r.Copy, time.Time{}, true) })
				got := judge.Reason("")
				if err := f.Forward(t.Context(), r, &sink{}); err != nil {
					got = err.Reason
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
				for _, w := range waiters {
					if !w.InTime || !w.Continues {
						t.Fatalf("reported %+v", w)
					}
				}
			})
		})
	}
}

// Guards against a stream that is taken up and whose prompt the leader refuses by the latency target of a first event, and
// against one that claims to be taken up and takes the whole time of its runner.
func TestTakenUpStreamReservesWithAnExtension(t *testing.T) {
	type limits struct{ Timeout, Extension time.Duration }
	for _, tc := range []struct {
		name    string
		request func(r *forwarder.Request)
		want    limits
	}{
		{"new", func(*forwarder.Request) {}, limits{420 * time.Millisecond, 0}},
		{"taken up", takeUp, limits{450 * time.Millisecond, 1320 * time.Millisecond}},
		{"taken up, less urgent", func(r *forwarder.Request) { takeUp(r); r.Priority = 2 }, limits{350 * time.Millisecond, 1020 * time.Millisecond}},
		{"taken up, shortly before its caller disconnects", func(r *forwarder.Request) { takeUp(r); r.Arrived = r.Arrived.Add(-1500 * time.Millisecond) }, limits{270 * time.Millisecond, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got limits
				f := newForwarder(&upstream{answer: remainder}, placement{reserve: func(r forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
					got = limits{r.Timeout, r.Extension}
					return forwarder.Reservation{}, nil, true
				}}, 1)
				r := newRequest(newTakeUpRoute())
				tc.request(r)
				if err := f.Forward(t.Context(), r, &sink{}); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
