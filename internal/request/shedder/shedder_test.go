package shedder_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
)

// A processor serves one goroutine at a time, in the order in which they ask.
type processor struct {
	mu     sync.Mutex
	freeAt time.Time
}

// use returns once the processor has worked for d, after all work that was asked for before.
func (p *processor) use(d time.Duration) {
	p.mu.Lock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(d)
	left := p.freeAt.Sub(now)
	p.mu.Unlock()
	time.Sleep(left)
}

// Guards against a process that serves nobody, as it has more requests than its processor bears and works for
// callers that have given up by then.
func TestOverloadedProcessServesWhatItBears(t *testing.T) {
	const (
		work     = 10 * time.Millisecond // of a request, in two parts
		refusal  = 500 * time.Microsecond
		patience = 500 * time.Millisecond
		length   = 20 * time.Second
	)
	for _, tc := range []struct {
		name      string
		limit     time.Duration
		overload  float64 // requests, in multiples of what the processor bears
		wantShare float64 // of what it bears, at least
	}{
		{"half of what it bears", 50 * time.Millisecond, 0.5, 0.49},
		{"twice", 50 * time.Millisecond, 2, 0.7},
		{"six times", 50 * time.Millisecond, 6, 0.5},
		{"six times, nothing refused", time.Hour, 6, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cpu processor
				s := shedder.Shedder{Limit: tc.limit, Yield: func() { cpu.use(0) }}
				var mu sync.Mutex
				served, refused := 0, 0
				var callers sync.WaitGroup
				interval := time.Duration(float64(work) / tc.overload)
				for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
					callers.Go(func() {
						arrived := time.Now()
						cpu.use(refusal)
						_, overloaded := s.Overloaded(time.Now())
						if !overloaded {
							cpu.use(work / 2)
							cpu.use(work/2 - refusal)
						}
						mu.Lock()
						defer mu.Unlock()
						switch {
						case overloaded:
							refused++
						case time.Since(arrived) < patience:
							served++
						}
					})
				}
				callers.Wait()
				share := float64(served) / (length.Seconds() / work.Seconds())
				if share < tc.wantShare {
					t.Errorf("%.2f of what the processor bears is served, want %.2f", share, tc.wantShare)
				}
				if tc.overload < 1 && refused > 0 {
					t.Errorf("%d requests were refused although the processor bears all", refused)
				}
				if tc.limit == time.Hour && share > 0.1 {
					t.Errorf("%.2f is served without a limit: the test shows nothing", share)
				}
			})
		})
	}
}

// Guards against a verdict that outlives the overload, and against one that comes only once it has passed.
func TestOverloadIsThatOfNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 50 * time.Millisecond
		const long = 300 * time.Millisecond
		var delay atomic.Int64
		delay.Store(int64(long))
		s := shedder.Shedder{Limit: limit, Yield: func() { time.Sleep(time.Duration(delay.Load())) }}
		var got []bool
		ask := func(after time.Duration) {
			time.Sleep(after)
			synctest.Wait()
			_, overloaded := s.Overloaded(time.Now())
			got = append(got, overloaded)
		}
		ask(0)                      // starts the first probe
		ask(long)                   // it has just ended
		ask(10 * time.Millisecond)  // starts the second one
		ask(limit)                  // in progress for as long as the limit
		ask(time.Millisecond)       // for longer
		ask(long - limit)           // it has just ended
		ask(10 * time.Millisecond)  // starts the third one
		ask(time.Millisecond)       // in progress
		delay.Store(0)              // of the one after that
		ask(300 * time.Millisecond) // the third one has ended
		ask(10 * time.Millisecond)  // starts the fourth one
		ask(time.Millisecond)       // it has ended
		ask(10 * time.Second)       // the results are outdated
		if diff := cmp.Diff([]bool{false, false, false, false, true, true, true, true, true, true, false, false}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against requests that are refused after a pause of the whole process, which leaves no queue.
func TestPauseIsNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delay atomic.Int64
		s := shedder.Shedder{Limit: 50 * time.Millisecond, Yield: func() { time.Sleep(time.Duration(delay.Load())) }}
		for n := range 300 {
			delay.Store(0)
			if n%30 == 0 {
				delay.Store(int64(90 * time.Millisecond))
			}
			if wait, overloaded := s.Overloaded(time.Now()); overloaded {
				t.Fatalf("request %d is refused, %s", n, wait)
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second) // for the last probe to end
	})
}
