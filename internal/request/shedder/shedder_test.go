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

// wait returns for how long what is asked for now waits.
func (p *processor) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.freeAt))
}

// Intervals at which an instance reads its resources and probes its processor.
const (
	readingInterval = 300 * time.Millisecond
	probesPerRead   = 7
)

// observe passes readings to a bound until stop is closed.
func observe(b *shedder.Bound, cpu *processor, requests *atomic.Int64, stop <-chan struct{}) {
	for {
		sum := time.Duration(0)
		for range probesPerRead {
			sum += cpu.wait()
			time.Sleep(readingInterval / probesPerRead)
		}
		select {
		case <-stop:
			return
		default:
			b.Observe(shedder.Reading{Processor: sum / probesPerRead}, int(requests.Load()), time.Now())
		}
	}
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
		bounded   bool
		overload  float64 // requests, in multiples of what the processor bears
		wantShare float64 // of what it bears, at least
	}{
		{"half of what it bears", true, 0.5, 0.49},
		{"twice", true, 2, 0.7},
		{"six times", true, 6, 0.5},
		{"six times, nothing refused", false, 6, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cpu processor
				var b shedder.Bound
				var requests atomic.Int64
				stop := make(chan struct{})
				var observer sync.WaitGroup
				observer.Go(func() { observe(&b, &cpu, &requests, stop) })
				var mu sync.Mutex
				served, refused := 0, 0
				var callers sync.WaitGroup
				interval := time.Duration(float64(work) / tc.overload)
				for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
					callers.Go(func() {
						arrived := time.Now()
						cpu.use(refusal)
						admitted := !tc.bounded || b.Admits(int(requests.Load()), time.Now())
						if admitted {
							requests.Add(1)
							defer requests.Add(-1)
							cpu.use(work / 2)
							cpu.use(work/2 - refusal)
						}
						mu.Lock()
						defer mu.Unlock()
						switch {
						case !admitted:
							refused++
						case time.Since(arrived) < patience:
							served++
						}
					})
				}
				callers.Wait()
				close(stop)
				observer.Wait()
				share := float64(served) / (length.Seconds() / work.Seconds())
				if share < tc.wantShare {
					t.Errorf("%.2f of what the processor bears is served, want %.2f", share, tc.wantShare)
				}
				if tc.overload < 1 && refused > 0 {
					t.Errorf("%d requests were refused although the processor bears all", refused)
				}
				if !tc.bounded && share > 0.1 {
					t.Errorf("%.2f is served without a bound: the test shows nothing", share)
				}
			})
		})
	}
}

// Guards against a limit that outlives the shortage, against one that falls further before its effect is
// known, and against one that is not felt.
func TestLimitFollowsTheShortage(t *testing.T) {
	const long = 120 * time.Millisecond
	var b shedder.Bound
	now := time.Now()
	var got []int
	read := func(wait time.Duration, requests int) {
		now = now.Add(readingInterval)
		b.Observe(shedder.Reading{Processor: wait}, requests, now)
		limit, _ := b.Limit()
		got = append(got, limit)
	}
	read(0, 100)
	read(long, 100) // one reading may be that of a pause
	read(long, 100)
	read(long, 80)                // fewer, and none was added
	read(long, 50)                // the limit is felt
	read(40*time.Millisecond, 25) // a shorter wait
	read(0, 18)                   // the limit binds
	read(0, 19)                   // still
	read(0, 9)                    // it does not bind
	read(long, 2)                 // never below a minimum
	for range 18 {                // calm for longer than a shortage lasts
		now = now.Add(readingInterval)
		b.Observe(shedder.Reading{}, 1, now)
	}
	read(0, 1)
	if diff := cmp.Diff([]int{0, 0, 50, 50, 25, 18, 19, 20, 20, 4, 0}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against connections that are turned away after a pause of the whole process, which leaves no queue.
func TestPauseIsNoOverload(t *testing.T) {
	var b shedder.Bound
	now := time.Now()
	for n := range 300 {
		now = now.Add(readingInterval)
		reading := shedder.Reading{}
		if n%10 == 0 {
			reading.Processor = 3 * time.Second
		}
		b.Observe(reading, 50, now)
		if !b.Admits(50, now) || !b.Bears(50) || b.Releases(50) {
			t.Fatalf("at reading %d no request is taken on", n)
		}
	}
}

// Guards against an instance that takes no connection for longer than its readiness allows, as its requests wait for
// others, and against requests on kept connections that are refused where new ones can be turned away.
func TestSomeConnectionsAreAlwaysAdmitted(t *testing.T) {
	var b shedder.Bound
	now := time.Now()
	b.Observe(shedder.Reading{Descriptors: 0.9}, 20, now) // no pause explains it
	limit, short := b.Limit()
	if diff := cmp.Diff([]any{16, shedder.Descriptors}, []any{limit, short}); diff != "" {
		t.Fatal(diff)
	}
	admitted := 0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		if b.Admits(20, now) {
			admitted++
		}
	}
	if admitted < 3 || admitted > 5 {
		t.Errorf("%d connections were admitted in 2 s beyond the limit", admitted)
	}
	if diff := cmp.Diff([]bool{true, true, true, false}, []bool{b.Admits(14, now), b.Releases(16), b.Bears(32), b.Bears(33)}); diff != "" {
		t.Error(diff)
	}
}

// Guards against connections that are established in vain, with requests that are sent and not read, as an instance takes
// connections one by one, and against room that stays unused.
func TestConnectionsAreTakenTogether(t *testing.T) {
	var b shedder.Bound
	now := time.Now()
	b.Observe(shedder.Reading{Descriptors: 0.9}, 125, now)
	limit, _ := b.Limit()
	var got []bool
	for _, fewer := range []int{1, 0, 1, limit/10 - 1, limit/10 + 1, 1, 0, 1} {
		now = now.Add(time.Millisecond)
		got = append(got, b.Admits(limit-fewer, now))
	}
	if diff := cmp.Diff([]bool{true, false, false, false, true, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
	var least shedder.Bound
	least.Observe(shedder.Reading{Descriptors: 0.9}, 1, now)
	if limit, _ := least.Limit(); !least.Admits(limit-1, now) || least.Admits(limit, now) || !least.Admits(limit-1, now) {
		t.Errorf("not all of the least limit of %d is used", limit)
	}
}

// Guards against a shortage that goes unnoticed.
func TestShortage(t *testing.T) {
	const long = 31 * time.Millisecond
	for _, tc := range []struct {
		name    string
		reading shedder.Reading
		want    shedder.Resource
	}{
		{"nothing in use", shedder.Reading{}, shedder.None},
		{"in use", shedder.Reading{Processor: 29 * time.Millisecond, Link: 29 * time.Millisecond, Descriptors: 0.7, Memory: 0.7}, shedder.None},
		{"processor", shedder.Reading{Processor: long}, shedder.Processor},
		{"link", shedder.Reading{Link: long}, shedder.Link},
		{"descriptors", shedder.Reading{Descriptors: 0.8, Processor: long}, shedder.Descriptors},
		{"memory", shedder.Reading{Memory: 0.8, Descriptors: 0.8}, shedder.Memory},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.reading.Short(); got != tc.want {
				t.Errorf("short of %q, want %q", got, tc.want)
			}
		})
	}
}
