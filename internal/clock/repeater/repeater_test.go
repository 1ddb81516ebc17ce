package repeater_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
)

func TestEveryAndEveryNowCallPeriodicallyAndOnTrigger(t *testing.T) {
	for _, tc := range []struct {
		name   string
		repeat func(ctx context.Context, period time.Duration, trigger <-chan struct{}, do func())
		want   []time.Duration
	}{
		{"every", repeater.Every, []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}},
		{"now", repeater.EveryNow, []time.Duration{0, time.Second, 1500 * time.Millisecond, 2 * time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				start := time.Now()
				trigger := make(chan struct{})
				go func() {
					time.Sleep(1500 * time.Millisecond)
					trigger <- struct{}{}
				}()
				var got []time.Duration
				tc.repeat(ctx, time.Second, trigger, func() { got = append(got, time.Since(start)) })
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
