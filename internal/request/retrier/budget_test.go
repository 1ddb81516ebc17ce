package retrier_test

import (
	"context"
	"fmt"
	"sync"
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

// All instances start at once, do not know for a while how many they are, and always have a stream to
// resume; then all restart, twice. Guards against retries beyond the limit by those
// that wait for their share.
func TestWaitingRetriesKeepTheLimit(t *testing.T) {
	const (
		perRequest = 0.2
		window     = 10 * time.Second
		perSecond  = 8 // requests of one instance
		tick       = time.Second / perSecond
		ticks      = int(20 * time.Second / tick)
		assumed    = 400
		counted    = 600 * time.Millisecond
	)
	for _, tc := range []struct {
		instances int
		burst     float64 // that all share
	}{{30, 58}, {195, 430}, {332, 430}} {
		t.Run(fmt.Sprint(tc.instances, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var taken [ticks + 1]int
				began := time.Now()
				count := func(retried bool) {
					if !retried {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					taken[int(time.Since(began)/tick)]++
				}
				start := func(ctx context.Context) *retrier.Budget {
					started := time.Now()
					b := &retrier.Budget{PerRequest: perRequest, Window: window, Share: func() float64 {
						if time.Since(started) < counted {
							return 0.7 * tc.burst / assumed
						}
						return 0.7 * tc.burst / float64(tc.instances)
					}}
					go func() {
						for ctx.Err() == nil {
							count(b.Await(ctx))
						}
					}()
					return b
				}
				var budgets []*retrier.Budget
				stop := func() {}
				for n := range ticks {
					if n%(ticks/10) == 0 && n <= ticks/5 {
						stop()
						var ctx context.Context
						ctx, stop = context.WithCancel(t.Context())
						budgets = budgets[:0]
						for range tc.instances {
							budgets = append(budgets, start(ctx))
						}
					}
					for _, b := range budgets {
						b.Deposit()
						count(b.Withdraw())
					}
					time.Sleep(tick)
				}
				stop()
				synctest.Wait()
				perWindow := int(window / tick)
				bound := int(perRequest*float64(tc.instances*perWindow) + tc.burst)
				for from := 0; from+perWindow <= ticks; from++ {
					sum := 0
					for _, n := range taken[from : from+perWindow] {
						sum += n
					}
					if sum > bound || sum == 0 {
						t.Fatalf("%d retries in the window from %s, allowed are 1 to %d", sum, time.Duration(from)*tick, bound)
					}
				}
			})
		})
	}
}

// Guards against a retry that goes to another request while a stream waits for it, and against
// requests that get none although there are enough for both.
func TestAwaitedRetriesComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := retrier.Budget{Burst: 1, PerRequest: 1} // accumulates its first retry
		served := make(chan bool, 1)
		go func() { served <- b.Await(t.Context()) }()
		synctest.Wait()
		for range 2 {
			b.Deposit()
		}
		if b.Withdraw() {
			t.Error("the retry was taken that another request waits for")
		}
		if !<-served {
			t.Error("no retry for the one that waits")
		}
		for range 2 {
			b.Deposit()
		}
		if !b.Withdraw() {
			t.Error("no retry while nobody waits")
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if b.Await(short) {
			t.Error("a retry beyond the limit")
		}
	})
}
