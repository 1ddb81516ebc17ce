package forwarder_test

import (
	"context"
	"io"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A tokenSource grants a number of tokens for each runner, and denies all others for a second.
type tokenSource struct {
	fleet *tracker.Fleet
	left  map[string]int
	taken []string
}

func (s *tokenSource) takeToken(runner string) bool {
	now := time.Now()
	s.fleet.ObserveLimit(runner, tracker.RateLimit{AsOf: now, Limited: true, PerSecond: 1})
	if s.left[runner] == 0 {
		s.fleet.RecordDenial(runner, time.Second, now)
		return false
	}
	s.left[runner]--
	s.taken = append(s.taken, runner)
	return true
}

// Guards against requests that are sent to a limited runner without a token, or that wait for
// one or are refused while another runner has one.
func TestRequestsNeedATokenOfALimitedRunner(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens map[string]int
		want   string // runner; empty for a refusal
	}{
		{"first runner has one", map[string]int{"i-0": 1}, "i-0"},
		{"second runner has one", map[string]int{"i-1": 1}, "i-1"},
		{"no runner has one", nil, ""},
	} {
		for _, plain := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
						return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
					}}
					source := &tokenSource{left: maps.Clone(tc.tokens)}
					f := newForwarder(u, placement{takeToken: source.takeToken, acquireSlot: func(string, time.Duration) (forwarder.RequestSlot, *judge.Error, bool) {
						return forwarder.RequestSlot{Release: func() {}}, nil, true
					}}, 2)
					source.fleet = f.Fleet
					r := newRequest(resumableRoute())
					if plain {
						r.Engine, r.Copy.Model = nil, ""
					}
					var got sink
					err := f.Forward(t.Context(), r, &got)
					sent := ""
					if len(u.attempts) == 1 {
						sent = u.attempts[0].Runner.ID
					}
					if diff := cmp.Diff(tc.want, sent); diff != "" || (err == nil) != (tc.want != "") {
						t.Errorf("%v %s", err, diff)
					}
					if tc.want == "" && (err.Reason != judge.ReasonLimit || err.Verdict != judge.NotRun || err.RetryAfter < time.Second) {
						t.Errorf("refusal %v, Retry-After %s", err, err.RetryAfter)
					}
					if took := time.Since(r.Arrived); took > 0 {
						t.Errorf("took %s", took)
					}
				})
			})
		}
	}
}

// Guards against tokens that are used long after they were taken: the request waits for the
// prefill of others, and needs a new token then.
func TestTokenExpiresWhileTheRequestIsDelayed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay time.Duration
		want  int
	}{{"short delay", 100 * time.Millisecond, 1}, {"long delay", 400 * time.Millisecond, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
				}}
				source := &tokenSource{left: map[string]int{"i-0": 5}}
				f := newForwarder(u, placement{takeToken: source.takeToken, reserve: func(forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
					return forwarder.Reservation{Delay: tc.delay}, nil, true
				}}, 1)
				source.fleet = f.Fleet
				var got sink
				if err := f.Forward(t.Context(), newRequest(resumableRoute()), &got); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tc.want, len(source.taken)); diff != "" {
					t.Errorf("tokens taken: %s", diff)
				}
			})
		})
	}
}
