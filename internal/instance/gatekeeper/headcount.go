package gatekeeper

import (
	"sync"
	"time"
)

// A headcount is the number of instances as reported to this one. An increase takes effect at
// once, a decrease with a delay. Its zero value is ready; it is safe for concurrent use.
type headcount struct {
	mu          sync.Mutex
	windowStart time.Time // start of the current window; zero before the first report
	current     int       // largest count reported in the current window
	previous    int       // largest count reported in the window before
}

const (
	// countWindow is the window whose largest count stays valid until the end of the next one.
	countWindow = 1500 * time.Millisecond
	// countSettleTime is how long a leader must have received reports from members before it
	// publishes their number: after a restart it starts from zero, and with a count of a few
	// instead of hundreds, each instance would spend the retries of a hundred others. All have
	// reported within three intervals.
	countSettleTime = 3*updateInterval + 50*time.Millisecond
	// assumedInstances is the number of instances that is assumed before the first report: a
	// share of the retries that is safe among hundreds is safe in a small deployment too.
	assumedInstances = 400
)

// observe records a reported count; zero or less is ignored.
func (h *headcount) observe(n int, now time.Time) {
	if n <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch since := now.Sub(h.windowStart); {
	case h.windowStart.IsZero(), since >= 2*countWindow:
		h.windowStart, h.previous, h.current = now, 0, 0
	case since >= countWindow:
		h.windowStart, h.previous, h.current = now, h.current, 0
	}
	h.current = max(h.current, n)
}

// get returns the count, or assumedInstances before the first report.
func (h *headcount) get() int {
	if n := h.reported(); n > 0 {
		return n
	}
	return assumedInstances
}

// reported returns the largest count of the last two windows, 0 before the first report.
func (h *headcount) reported() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.current, h.previous)
}

// instances returns the number of instances, 0 until enough reports have arrived.
func (c *controller) instances(now time.Time) int {
	if c.firstReportAt.IsZero() || now.Sub(c.firstReportAt) < countSettleTime {
		return 0
	}
	return max(1, c.aggregator.Instances())
}
