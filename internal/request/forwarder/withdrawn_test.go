package forwarder_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// Guards against further attempts for a caller whose connection has ended before the watch of it said so.
func TestRequestOfACallerThatLeftIsNotSentAgain(t *testing.T) {
	errReset := errors.New("reset")
	for _, tc := range []struct {
		name      string
		leaveAt   int // attempt at which the caller leaves
		fail      func(ctx context.Context) (*forwarder.Reply, judge.Observation)
		wantSent  int
		wantError judge.Verdict
	}{
		{"before the first attempt", 1, nil, 0, judge.NotRun},
		{"before the attempt after a refusal", 2, func(context.Context) (*forwarder.Reply, judge.Observation) {
			return &forwarder.Reply{Status: 503, NotRun: true, Body: strings.NewReader(""), Close: func(bool) {}}, nil
		}, 1, judge.NotRun},
		{"before the attempt after a crash", 2, func(context.Context) (*forwarder.Reply, judge.Observation) {
			return nil, judge.Broken{Written: 9, Err: errReset}
		}, 1, judge.MayHaveRun},
		{"before a stream goes on", 2, func(ctx context.Context) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: 1, to: 2, end: errReset}), nil
		}, 1, judge.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts, sent := 0, 0
				u := &upstream{answer: func(ctx context.Context, n int, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					attempts = n
					if a.Request.Withdrawn(ctx) {
						return nil, judge.Withdrawn{}
					}
					sent++
					return tc.fail(ctx)
				}}
				r := newRequest(resumableRoute())
				r.CallerLeft = func() bool { return attempts >= tc.leaveAt }
				err := newForwarder(u, placement{}, 3).Forward(t.Context(), r, &sink{})
				if diff := cmp.Diff([]any{tc.wantSent, tc.leaveAt, tc.wantError, judge.ReasonCancelled}, []any{sent, attempts, err.Verdict, err.Reason}); diff != "" {
					t.Errorf("sent, attempts, verdict, reason: %s", diff)
				}
				if diff := cmp.Diff(tc.wantSent, r.Arrivals); diff != "" {
					t.Errorf("arrivals: %s", diff)
				}
			})
		})
	}
}
