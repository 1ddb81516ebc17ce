package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// Guards against parts of prompts that are suspected although a run with them has written its response,
// or not suspected although the runner broke off as it began to write.
func TestPartsAreSuspectedUntilTheResponseIsWritten(t *testing.T) {
	parts := []quarantiner.Digest{quarantiner.DigestOfPart("llm", "a1"), quarantiner.DigestOfPart("llm", "b2")}
	for _, tc := range []struct {
		name   string
		events map[int]time.Duration // delays of three events
		end    error
		broken []quarantiner.Digest
		sound  []quarantiner.Digest
	}{
		{"breaks off before the first event", map[int]time.Duration{1: -1}, errReset, parts, nil},
		{"breaks off soon after the first event", map[int]time.Duration{2: 100 * time.Millisecond}, errReset, parts, nil},
		{"breaks off in the middle", map[int]time.Duration{2: 300 * time.Millisecond, 3: 300 * time.Millisecond}, errReset, nil, parts},
		{"a short response is whole", map[int]time.Duration{}, io.EOF, nil, parts},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					if tc.events[1] < 0 {
						return nil, judge.Broken{Written: 9, Err: errReset}
					}
					return streamReply(&body{ctx: ctx, from: 1, to: 3, delays: tc.events, end: tc.end}), nil
				}}
				f := newForwarder(u, placement{}, 1)
				q := &quarantine{}
				f.Quarantine = q
				r := newRequest(resumableRoute())
				r.Route.MaxExecutions = 1
				r.Parts = []string{"a1", "b2"}
				_ = f.Forward(t.Context(), r, &sink{}) // the result is not of interest here
				if diff := cmp.Diff(tc.broken, q.brokenParts); diff != "" {
					t.Error("suspected", diff)
				}
				if diff := cmp.Diff(tc.sound, q.sound); diff != "" {
					t.Error("sound", diff)
				}
			})
		})
	}
}

// Guards against requests that are sent to runners although a part of their prompt is quarantined, and
// against a trial of it that is repeated after it has crashed a runner.
func TestRequestWithQuarantinedPart(t *testing.T) {
	for _, tc := range []struct {
		name     string
		part     string
		trial    bool
		attempts int
		reason   judge.Reason
		verdict  judge.Verdict
	}{
		{"another part", "c3", false, 2, "", ""},
		{"its part", "b2", false, 0, judge.ReasonQuarantine, judge.NotRun},
		{"a trial that crashes the runner", "b2", true, 1, judge.ReasonQuarantine, judge.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: breakAfter(0, 0)}
				f := newForwarder(u, placement{}, 2)
				q := &quarantine{badPart: quarantiner.DigestOfPart("llm", tc.part), allowsTrial: tc.trial}
				f.Quarantine = trialOnce{quarantine: q, left: new(int)}
				r := newRequest(resumableRoute())
				r.Parts = []string{"a1", "b2"}
				err := f.Forward(t.Context(), r, &sink{})
				if len(u.attempts) != tc.attempts {
					t.Errorf("%d attempts, want %d", len(u.attempts), tc.attempts)
				}
				if (err == nil) != (tc.reason == "") || err != nil && (err.Reason != tc.reason || err.Verdict != tc.verdict) {
					t.Error(err)
				}
			})
		})
	}
}

// A trialOnce allows one trial.
type trialOnce struct {
	*quarantine

	left *int // trials so far
}

func (q trialOnce) Trial(quarantiner.Digest, []quarantiner.Digest) bool {
	*q.left++
	return q.allowsTrial && *q.left == 1
}
