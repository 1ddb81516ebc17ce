package pacer

import (
	"context"
	"time"
)

// Sleep waits for d, and returns false if ctx ends first. It creates no timer that is due at once.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
