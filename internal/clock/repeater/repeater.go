// Package repeater does something again and again until a context ends.
package repeater

import (
	"context"
	"time"
)

// Every calls do after each period, and whenever now is signalled, until ctx
// ends. A nil now is never signalled.
func Every(ctx context.Context, period time.Duration, now <-chan struct{}, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-now:
		case <-ticker.C:
		}
		do()
	}
}

// Now calls do at once, and from then on as Every does.
func Now(ctx context.Context, period time.Duration, now <-chan struct{}, do func()) {
	do()
	Every(ctx, period, now, do)
}
