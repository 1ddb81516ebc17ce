package forwarder_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// newQuarantineForwarder returns a forwarder with two runners that uses q.
func newQuarantineForwarder(u *upstream, p placement, q *quarantine) *forwarder.Forwarder {
	f := newForwarder(u, p, 2)
	f.Quarantine = q
	return f
}

// A request that crashes runners must be refused with a Retry-After once it is quarantined,
// and must reach no runner: neither a copy of it that arrives after the verdict, nor one
// that was delayed for capacity when the verdict came, nor the retry of one whose first
// runner crashed.
func TestQuarantinedRequestReachesNoRunner(t *testing.T) {
	complete := func() *forwarder.Reply {
		return &forwarder.Reply{Status: 200, Body: strings.NewReader("body"), Close: func(bool) {}}
	}
	for _, tc := range []struct {
		name     string
		verdict  time.Duration // when the request is quarantined
		delay    time.Duration // delay of the prompt
		crash    time.Duration // when the first runner crashes; 0 for never
		attempts int
		want     judge.Verdict
	}{
		{"arrives after the verdict", 0, 0, 0, 0, judge.NotRun},
		{"delayed while the verdict comes", time.Second, 2 * time.Second, 0, 0, judge.NotRun},
		{"crashed a runner before the verdict", time.Second, 0, 2 * time.Second, 1, judge.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				q := &quarantine{quarantined: func() bool { return time.Since(started) >= tc.verdict }}
				u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					if tc.crash > 0 {
						time.Sleep(tc.crash)
						return nil, judge.Broken{Written: 9, Err: io.EOF}
					}
					return complete(), nil
				}}
				p := placement{reserve: func(forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
					return forwarder.Reservation{Delay: tc.delay}, nil, true
				}}
				err := newQuarantineForwarder(u, p, q).Forward(t.Context(), newRequest(&matcher.Route{Kind: matcher.Idempotent, MaxExecutions: 3, LatencyTarget: time.Second, Timeout: 12 * time.Second}), &sink{})
				if len(u.attempts) != tc.attempts {
					t.Errorf("%d attempts, want %d", len(u.attempts), tc.attempts)
				}
				if err == nil || err.Reason != judge.ReasonQuarantine || err.Verdict != tc.want || err.RetryAfter != time.Minute {
					t.Errorf("error %v, retry %s", err, err.RetryAfter)
				}
			})
		})
	}
}

// A response that breaks off is reported to the quarantine, which determines whether the
// runner crashed. Nothing is reported if this instance or the caller ended the connection,
// if the request was not sent, or if the response is malformed.
func TestBrokenResponsesAreReported(t *testing.T) {
	cut := func(ctx context.Context) *forwarder.Reply {
		return streamReply(&body{ctx: ctx, from: 1, to: 2, end: io.ErrUnexpectedEOF})
	}
	for _, tc := range []struct {
		name       string
		answer     func(ctx context.Context) (*forwarder.Reply, judge.Observation)
		disconnect time.Duration // when the caller disconnects; 0 for never
		broken     []string
		completed  int
	}{
		{"no answer", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return nil, judge.Broken{Written: 9, Err: io.EOF}
		}, 0, []string{"i-0"}, 0},
		{"stream cut off", func(ctx context.Context) (*forwarder.Reply, judge.Observation) { return cut(ctx), nil }, 0, []string{"i-0"}, 0},
		{"malformed response", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return nil, judge.Malformed{Err: errors.New("malformed status")}
		}, 0, nil, 0},
		{"malformed end of a stream", func(ctx context.Context) (*forwarder.Reply, judge.Observation) {
			reply := cut(ctx)
			reply.BodyError = func(err error) judge.Observation { return judge.Malformed{Err: err} }
			return reply, nil
		}, 0, nil, 0},
		{"nothing was sent", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return nil, judge.Broken{Err: io.EOF}
		}, 0, nil, 0},
		{"no connection", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return nil, judge.DialFailed{Err: io.EOF}
		}, 0, nil, 0},
		{"refused", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return &forwarder.Reply{Status: 503, NotRun: true, Body: strings.NewReader(""), Close: func(bool) {}}, nil
		}, 0, nil, 0},
		{"caller disconnects", func(ctx context.Context) (*forwarder.Reply, judge.Observation) {
			<-ctx.Done()
			return nil, judge.Broken{Written: 9, Err: context.Cause(ctx)}
		}, time.Second, nil, 0},
		{"deadline passes", func(ctx context.Context) (*forwarder.Reply, judge.Observation) {
			<-ctx.Done()
			return nil, judge.Broken{Written: 9, Err: context.Cause(ctx)}
		}, 0, nil, 0},
		{"complete", func(ctx context.Context) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: 1, to: 2, end: io.EOF}), nil
		}, 0, nil, 1},
		{"complete failure response", func(context.Context) (*forwarder.Reply, judge.Observation) {
			return &forwarder.Reply{Status: 500, Body: strings.NewReader(""), Close: func(bool) {}}, nil
		}, 0, nil, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &quarantine{}
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return tc.answer(ctx)
				}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.disconnect > 0 {
					time.AfterFunc(tc.disconnect, cancel)
				}
				f := newQuarantineForwarder(u, placement{}, q)
				f.Fleet.Remove("i-1", 0)
				_ = f.Forward(ctx, newRequest(&matcher.Route{Kind: matcher.Streaming, MaxExecutions: 1, LatencyTarget: time.Second, Timeout: 12 * time.Second}), &sink{})
				if diff := cmp.Diff(tc.broken, q.broken); diff != "" {
					t.Error(diff)
				}
				if q.completed != tc.completed {
					t.Errorf("%d completed runs, want %d", q.completed, tc.completed)
				}
			})
		})
	}
}
