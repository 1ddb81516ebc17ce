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
)

// A placement that orders prompts: its Reserve ends with ctx.
type orderedPlacement struct {
	placement

	turn func(ctx context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool)
}

func (p orderedPlacement) Reserve(ctx context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
	return p.turn(ctx, request)
}

func newOrderedForwarder(u *upstream, p orderedPlacement, runners int) *forwarder.Forwarder {
	f := newForwarder(u, placement{}, runners)
	f.Placement, f.Ordered = p, true
	return f
}

func oneEvent(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
	return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
}

// The leader has reported a long backlog of less urgent prompts. Guards against an urgent
// request that is refused because of it without asking the leader, and against less urgent
// ones that are sent all the same.
func TestUrgentRequestIsNotRefusedForLessUrgentBacklog(t *testing.T) {
	for _, tc := range []struct {
		name             string
		ordered          bool
		backlogOf, asked int // priorities
		want             judge.Reason
	}{
		{"urgent behind less urgent ones", true, 2, 0, ""},
		{"less urgent behind its own", true, 2, 2, judge.ReasonQueue},
		{"less urgent behind urgent ones", true, 0, 2, judge.ReasonQueue},
		{"urgent behind its own", true, 0, 0, judge.ReasonQueue},
		{"without order", false, 0, 0, judge.ReasonQueue},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOrderedForwarder(&upstream{answer: oneEvent}, orderedPlacement{turn: func(context.Context, forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
					return forwarder.Reservation{}, nil, true
				}}, 1)
				f.Ordered = tc.ordered
				f.Fleet.SetPrefillBacklog("i-0", tc.backlogOf, 3*time.Second)
				r := newRequest(resumableRoute())
				r.Priority = tc.asked
				var got judge.Reason
				if err := f.Forward(t.Context(), r, &sink{}); err != nil {
					got = err.Reason
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Less urgent requests wait at the runner for its slots. Guards against an urgent request that
// is refused because of them: the runner serves it first.
func TestUrgentRequestIsNotRefusedForOccupiedSlots(t *testing.T) {
	for priority, want := range []judge.Reason{"", judge.ReasonQueue} {
		synctest.Test(t, func(t *testing.T) {
			f := newOrderedForwarder(&upstream{answer: oneEvent}, orderedPlacement{turn: func(context.Context, forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
				return forwarder.Reservation{}, nil, true
			}}, 1)
			for range 120 {
				f.Fleet.Begin("i-0", 0, time.Now()) // eight slots, 100 ms for a request
			}
			r := newRequest(resumableRoute())
			r.Priority = priority
			var got judge.Reason
			if err := f.Forward(t.Context(), r, &sink{}); err != nil {
				got = err.Reason
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("priority %d: %s", priority, diff)
			}
		})
	}
}

// A caller leaves, or its deadline passes, while its request waits for its turn, at the moment
// of the grant. Guards against a request that is sent although nobody waits for its response.
func TestRequestWhoseCallerLeavesInTheQueueIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: oneEvent}
		f := newOrderedForwarder(u, orderedPlacement{turn: func(ctx context.Context, _ forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
			<-ctx.Done()
			return forwarder.Reservation{}, nil, true // granted at the same time
		}}, 1)
		ctx, cancel := context.WithTimeoutCause(t.Context(), 100*time.Millisecond, context.Canceled)
		defer cancel()
		err := f.Forward(ctx, newRequest(resumableRoute()), &sink{})
		if err == nil || err.Verdict != judge.NotRun || len(u.attempts) > 0 {
			t.Errorf("%v, %d attempts", err, len(u.attempts))
		}
	})
}

// A request waits for its turn at one runner after the other, and each refuses it. Guards
// against a caller that waits for its whole limit at each, and against a Retry-After of the
// runner that drains last.
func TestRequestThatIsRefusedWhileItWaitsHasLessTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeouts []time.Duration
		drains := []time.Duration{3 * time.Second, 400 * time.Millisecond, 5 * time.Second}
		f := newOrderedForwarder(&upstream{answer: oneEvent}, orderedPlacement{turn: func(_ context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
			timeouts = append(timeouts, request.Timeout)
			time.Sleep(300 * time.Millisecond)
			return forwarder.Reservation{}, judge.Refuse(judge.ReasonQueue, "displaced").WithRetryAfter(drains[len(timeouts)-1]), true
		}}, 4)
		err := f.Forward(t.Context(), newRequest(resumableRoute()), &sink{})
		want := []time.Duration{870 * time.Millisecond, 570 * time.Millisecond, 300 * time.Millisecond} // 0.9 s, less 30 ms for the response; the last without the latter
		if diff := cmp.Diff(want, timeouts); diff != "" {
			t.Error(diff)
		}
		if err == nil || err.RetryAfter < 400*time.Millisecond || err.RetryAfter >= 1600*time.Millisecond { // with the jitter of both
			t.Errorf("got %v, Retry-After %s", err, err.RetryAfter)
		}
	})
}

// A request for a popular adapter has to wait for its turn. Guards against further requests
// that wait as long, as no other copy is requested before it is granted.
func TestRequestThatWaitsForItsTurnRequestsASpareCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requested := ""
		f := newOrderedForwarder(&upstream{answer: oneEvent}, orderedPlacement{
			placement: placement{requestSpareCopy: func(runner string) { requested = runner }},
			turn: func(_ context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
				request.OnQueued(400 * time.Millisecond)
				return forwarder.Reservation{}, nil, true
			},
		}, 2)
		adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 2}
		f.Fleet.SetHeld("i-0", map[placer.Copy]time.Time{adapter: {}})
		f.Fleet.SetHeld("i-1", nil)
		r := newRequest(resumableRoute())
		r.Copy = adapter
		if err := f.Forward(t.Context(), r, &sink{}); err != nil || requested != "i-1" {
			t.Errorf("%v, requested at %q", err, requested)
		}
	})
}
