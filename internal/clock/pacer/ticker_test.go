package pacer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
)

// Guards against ticks that drift, pile up or get lost where those of a time.Ticker do not.
func TestTickerKeepsTheScheduleOfTimeTicker(t *testing.T) {
	busy := []time.Duration{0, 300, 1000, 1001, 0, 2500, 999, 0, 3000, 0, 0}
	synctest.Test(t, func(t *testing.T) {
		reference := time.NewTicker(time.Second) //nolint:forbidigo // only this goroutine receives from a due timer
		defer reference.Stop()
		want := ticks(busy, func() { <-reference.C })
		ticker := pacer.NewTicker(time.Second)
		defer ticker.Stop()
		got := ticks(busy, func() { ticker.Wait(t.Context(), nil) })
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ticks differ from those of a time.Ticker (-want +got):\n%s", diff)
		}
	})
}

// ticks returns when each wait ends if the goroutine is busy for that many milliseconds after it.
func ticks(busy []time.Duration, wait func()) []time.Duration {
	start := time.Now()
	var at []time.Duration
	for _, d := range busy {
		wait()
		at = append(at, time.Since(start))
		time.Sleep(d * time.Millisecond)
	}
	return at
}

// Guards against a trigger that moves the next tick, and a tick that is lost to a trigger.
func TestTriggerDoesNotMoveTheTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trigger := make(chan struct{})
		go func() {
			time.Sleep(400 * time.Millisecond)
			trigger <- struct{}{}
			trigger <- struct{}{}
		}()
		ticker := pacer.NewTicker(time.Second)
		defer ticker.Stop()
		got := ticks(make([]time.Duration, 4), func() { ticker.Wait(t.Context(), trigger) })
		want := []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("times of the waits (-want +got):\n%s", diff)
		}
	})
}

// Guards against a wait that outlives its context.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ticker := pacer.NewTicker(time.Minute)
		defer ticker.Stop()
		start := time.Now()
		if ticker.Wait(ctx, nil) {
			t.Error("Wait returned true, want false after the end of its context")
		}
		if took := time.Since(start); took != time.Second {
			t.Errorf("Wait returned after %s, want 1s", took)
		}
	})
}

// Guards against crashes of the race detector: many goroutines of one bubble wait for ticks that
// are due. With a time.Ticker in place of the Ticker, the process crashed in 25 of 40 runs.
func TestDueTicksDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waiters sync.WaitGroup
		for range 64 {
			waiters.Go(func() {
				ticker := pacer.NewTicker(time.Second)
				defer ticker.Stop()
				for range 2000 {
					time.Sleep(1500 * time.Millisecond)
					ticker.Wait(t.Context(), nil)
				}
			})
		}
		waiters.Wait()
	})
}
