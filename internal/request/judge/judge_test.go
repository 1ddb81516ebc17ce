package judge_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

func ExampleJudge() {
	err := judge.Judge(judge.Broken{Written: 120, Err: errors.New("reset by peer")})
	fmt.Println(err.Verdict, err.Reason)
	// Output: may_have_run written
}

func TestJudge(t *testing.T) {
	reset := errors.New("reset")
	for _, tc := range []struct {
		name    string
		seen    judge.Observation
		verdict judge.Verdict
		reason  judge.Reason
	}{
		{"connection refused", judge.DialFailed{Err: reset}, judge.NotRun, judge.ReasonDial},
		{"reset before a byte", judge.Broken{Err: reset}, judge.NotRun, judge.ReasonDial},
		{"reset after one byte", judge.Broken{Written: 1, Err: reset}, judge.MayHaveRun, judge.ReasonWritten},
		{"reset in the response", judge.Broken{Written: 9, Head: true, Err: reset}, judge.MayHaveRun, judge.ReasonCut},
		{"malformed response", judge.Malformed{Err: reset}, judge.MayHaveRun, judge.ReasonMalformed},
		{"explicit refusal", judge.Refused{Status: 409}, judge.NotRun, judge.ReasonRefused},
		{"failure while running", judge.Failed{Status: 500}, judge.MayHaveRun, judge.ReasonCut},
		{"withdrawn", judge.Withdrawn{}, judge.NotRun, judge.ReasonCancelled},
		{"other adapter", judge.Mismatched{Want: "a@1", Got: "a@2"}, judge.MayHaveRun, judge.ReasonMismatch},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := judge.Judge(tc.seen)
			if diff := cmp.Diff([]any{tc.verdict, tc.reason}, []any{got.Verdict, got.Reason}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAsJudgesUnknownErrorsMayHaveRun(t *testing.T) {
	if got := judge.As(errors.New("odd")).Verdict; got != judge.MayHaveRun {
		t.Errorf("verdict = %s, want %s", got, judge.MayHaveRun)
	}
}
