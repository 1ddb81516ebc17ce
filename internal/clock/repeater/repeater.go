// Package repeater runs a function periodically until a context ends.
package repeater

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
)

// Every calls do after each period, and whenever trigger receives a value, until
// ctx ends. trigger may be nil.
func Every(ctx context.Context, period time.Duration, trigger <-chan struct{}, do func()) {
	ticker := pacer.NewTicker(period)
	defer ticker.Stop()
	for ticker.Wait(ctx, trigger) {
		do()
	}
}

// EveryNow calls do immediately and then like Every.
func EveryNow(ctx context.Context, period time.Duration, trigger <-chan struct{}, do func()) {
	do()
	Every(ctx, period, trigger, do)
}
