package pacer

import (
	"context"
	"time"
)

// due is a tick that is due when the wait for it begins.
var due = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// A Ticker ticks periodically, for one goroutine. Its schedule is that of a time.Ticker: it is
// fixed when the Ticker is created, a late goroutine gets one tick at once, and the ticks missed
// beyond that one are dropped.
type Ticker struct {
	next   time.Time
	period time.Duration
	timer  *time.Timer // selected on only while it is not due
}

// NewTicker returns a Ticker whose first tick is one period from now. The period must be positive.
func NewTicker(period time.Duration) *Ticker {
	timer := time.NewTimer(period)
	return &Ticker{next: time.Now().Add(period), period: period, timer: timer}
}

// Stop releases the Ticker's timer.
func (t *Ticker) Stop() { t.timer.Stop() }

// Wait waits for the next tick or a value from trigger, which may be nil. It returns false if ctx
// ends first.
func (t *Ticker) Wait(ctx context.Context, trigger <-chan struct{}) bool {
	tick := due
	if left := time.Until(t.next); left > 0 {
		t.timer.Reset(left)
		tick = t.timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-trigger:
	case at, ok := <-tick:
		if !ok {
			at = time.Now()
		}
		late := max(0, at.Sub(t.next))
		t.next = t.next.Add(t.period * (1 + late/t.period))
	}
	return true
}
