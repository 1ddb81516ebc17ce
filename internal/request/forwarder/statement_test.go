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
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against a refusal that names the wrong cause: one runner rests, and the adapter
// cannot be loaded at the other one.
func TestRefusalNamesWhatIsMissing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		resting []string
		want    judge.Reason
	}{
		{"one runner rests", []string{"i-0"}, judge.ReasonLoad},
		{"both rest", []string{"i-0", "i-1"}, judge.ReasonRest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwarder(&upstream{}, placement{}, 2)
				f.Fleet.SetLeaderPresent("a", false)
				for _, id := range tc.resting {
					f.Fleet.ObserveRest(id, time.Now().Add(time.Minute))
				}
				r := newRequest(resumableRoute())
				r.Copy = placer.Copy{Model: "m", Adapter: "a1", Version: 2}
				var got sink
				err := f.Forward(t.Context(), r, &got)
				if diff := cmp.Diff(tc.want, err.Reason); diff != "" {
					t.Errorf("%v %s", err, diff)
				}
			})
		})
	}
}

// Guards against requests that were waiting when their runner stated that it wants no more of
// them, and are sent there all the same.
func TestWaitingRequestLeavesRunnerThatWantsNoMore(t *testing.T) {
	for _, tc := range []struct {
		name    string
		observe func(f *tracker.Fleet, runner string)
	}{
		{"leaving", func(f *tracker.Fleet, runner string) { f.ObserveLeaving(runner) }},
		{"resting", func(f *tracker.Fleet, runner string) { f.ObserveRest(runner, time.Now().Add(time.Second)) }},
	} {
		for _, plain := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
						return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
					}}
					var f *forwarder.Forwarder
					first := ""
					stated := func(runner string) {
						if first == "" {
							first = runner
							tc.observe(f.Fleet, runner)
						}
					}
					f = newForwarder(u, placement{
						reserve: func(request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
							time.AfterFunc(50*time.Millisecond, func() { stated(request.Runner) })
							return forwarder.Reservation{Delay: 100 * time.Millisecond}, nil, true
						},
						acquireSlot: func(string, time.Duration) (forwarder.RequestSlot, *judge.Error, bool) {
							return forwarder.RequestSlot{Release: func() {}}, nil, true
						},
						takeToken: func(runner string) bool {
							if plain {
								stated(runner)
							}
							return true
						},
					}, 2)
					r := newRequest(resumableRoute())
					if plain {
						r.Engine, r.Copy.Model = nil, ""
					}
					var got sink
					if err := f.Forward(t.Context(), r, &got); err != nil {
						t.Fatal(err)
					}
					var sent []bool
					for _, a := range u.attempts {
						sent = append(sent, a.Runner.ID == first)
					}
					if diff := cmp.Diff([]bool{false}, sent); diff != "" || first == "" {
						t.Errorf("sent to the runner that stated it: %s", diff)
					}
				})
			})
		}
	}
}
