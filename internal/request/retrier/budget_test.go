package retrier_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
)

func TestRetryable(t *testing.T) {
	for _, tc := range []struct {
		name                           string
		verdict                        judge.Verdict
		reason                         judge.Reason
		nonIdempotent, responseStarted bool
		want                           bool
	}{
		{"not run", judge.NotRun, judge.ReasonDial, true, false, true},
		{"may have run, idempotent", judge.MayHaveRun, judge.ReasonWritten, false, false, true},
		{"may have run, not idempotent", judge.MayHaveRun, judge.ReasonWritten, true, false, false},
		{"part of the response sent", judge.MayHaveRun, judge.ReasonCut, false, true, false},
		{"invalid request", judge.NotRun, judge.ReasonBody, false, false, false},
		{"other adapter answered", judge.MayHaveRun, judge.ReasonMismatch, false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := &judge.Error{Verdict: tc.verdict, Reason: tc.reason}
			if got := retrier.Retryable(err, tc.nonIdempotent, tc.responseStarted); got != tc.want {
				t.Errorf("Retryable = %v, want %v", got, tc.want)
			}
		})
	}
}

// If every attempt fails, the burst may be retried, and after it only one retry per five
// requests.
func TestBudgetBoundsRetryStorm(t *testing.T) {
	var b retrier.Budget
	retries := 0
	const requests = 1000
	for range requests {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	if limit := requests/5 + 21; retries > limit {
		t.Errorf("%d retries for %d requests, want at most %d", retries, requests, limit)
	}
}

// 64 instances share a limit of 168 retries per window beyond a fifth of the requests. Each
// share is less than one retry, and without accumulation every request whose first runner
// refused it failed. Each instance must be able to retry some requests, and all together
// must keep the limit even if everything fails at once.
func TestManyInstancesShareABudget(t *testing.T) {
	const (
		instances  = 64
		burst      = 168.0
		perRequest = 0.2
		window     = 10 * time.Second
		seconds    = 40
		perSecond  = 8 // requests of one instance
	)
	synctest.Test(t, func(t *testing.T) {
		budgets := make([]retrier.Budget, instances)
		for n := range budgets {
			budgets[n] = retrier.Budget{Burst: 0.7 * burst / instances, PerRequest: perRequest, Window: window}
		}
		var taken [seconds]int
		for second := range seconds {
			for range perSecond {
				for n := range budgets {
					budgets[n].Deposit()
					// No failures at first, then every request fails twice.
					for range 2 {
						if second >= 15 && budgets[n].Withdraw() {
							taken[second]++
						}
					}
				}
			}
			time.Sleep(time.Second)
		}
		bound := int(perRequest*instances*perSecond*window.Seconds() + burst)
		for from := 0; from+10 <= seconds; from++ {
			sum := 0
			for _, n := range taken[from : from+10] {
				sum += n
			}
			if sum > bound {
				t.Errorf("%d retries in the window from second %d, allowed are %d", sum, from, bound)
			}
			if from == 15 && sum < bound/2 {
				t.Errorf("only %d retries where %d are allowed", sum, bound)
			}
		}
	})
}
