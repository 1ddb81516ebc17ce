package pacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
)

// Guards against a wait whose end is seen by one receive only, or too early or late.
func TestAfterMayBeSelectedOnRepeatedly(t *testing.T) {
	for _, d := range []time.Duration{-time.Second, 0, time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				done, stop := pacer.After(d)
				defer stop()
				var got []time.Duration
				for range 2 {
					<-done
					got = append(got, time.Since(start))
				}
				want := []time.Duration{max(0, d), max(0, d)}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("times of the receives (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a timer that still runs after its wait was given up.
func TestStoppedWaitDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done, stop := pacer.After(time.Second)
		stop()
		time.Sleep(2 * time.Second)
		select {
		case <-done:
			t.Error("the channel was closed after stop")
		default:
		}
	})
}
