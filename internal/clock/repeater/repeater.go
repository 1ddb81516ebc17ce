// Package repeater runs a function periodically until a context ends.
package repeater

import (
	"context"
	"time"
)

// Every calls do after each period, and whenever trigger receives a value, until
// ctx ends. trigger may be nil.
func Every(ctx context.Context, period time.Duration, trigger <-chan struct{}, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-trigger:
		case <-ticker.C:
		}
		do()
	}
}

// EveryNow calls do immediately and then like Every.
func EveryNow(ctx context.Context, period time.Duration, trigger <-chan struct{}, do func()) {
	do()
	Every(ctx, period, trigger, do)
}
