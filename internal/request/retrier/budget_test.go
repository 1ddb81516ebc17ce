package retrier_test

import (
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
)

func TestMay(t *testing.T) {
	for _, tc := range []struct {
		name           string
		verdict        judge.Verdict
		reason         judge.Reason
		once, answered bool
		want           bool
	}{
		{"not run", judge.NotRun, judge.ReasonDial, true, false, true},
		{"may have run, idempotent", judge.MayHaveRun, judge.ReasonWritten, false, false, true},
		{"may have run, once", judge.MayHaveRun, judge.ReasonWritten, true, false, false},
		{"caller has a part", judge.MayHaveRun, judge.ReasonCut, false, true, false},
		{"caller's fault", judge.NotRun, judge.ReasonBody, false, false, false},
		{"other adapter answered", judge.MayHaveRun, judge.ReasonMismatch, false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := &judge.Error{Verdict: tc.verdict, Reason: tc.reason}
			if got := retrier.May(err, tc.once, tc.answered); got != tc.want {
				t.Errorf("May = %v, want %v", got, tc.want)
			}
		})
	}
}

// Every attempt fails. The first requests may still be retried, then retries
// are only a fifth of the requests: no storm.
func TestBudgetBoundsAStorm(t *testing.T) {
	var b retrier.Budget
	retries := 0
	const requests = 1000
	for range requests {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	if most := requests/5 + 21; retries > most {
		t.Errorf("%d retries for %d requests, want at most %d", retries, requests, most)
	}
}
