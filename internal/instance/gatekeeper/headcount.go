package gatekeeper

import (
	"sync"
	"time"
)

// A headcount is how many instances there are, as this one believes. It rises at once
// and falls late: whoever counts begins with nobody after a restart, and instances that
// took a few for all of hundreds would each spend the retries of a hundred others. Its
// zero value is ready; it is safe for concurrent use.
type headcount struct {
	mu     sync.Mutex
	began  time.Time // when the present span began; zero before the first word
	now    int       // most that was told in it
	before int       // and in the one before; 0 if nothing was
}

const (
	// countFor is the span over which the largest count holds, and the one after it.
	// All instances have told of themselves within half a second.
	countFor = 1500 * time.Millisecond
	// manyMembers is how many instances an instance assumes that was not told lately:
	// a share that is safe among hundreds is safe in a small deployment too.
	manyMembers = 400
)

// tell takes in a count.
func (h *headcount) tell(n int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch since := now.Sub(h.began); {
	case h.began.IsZero(), since >= 2*countFor:
		h.began, h.before, h.now = now, 0, 0
	case since >= countFor:
		h.began, h.before, h.now = now, h.now, 0
	}
	h.now = max(h.now, n)
}

// get returns the count, or that of a large deployment if it is not sure yet.
func (h *headcount) get() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.before == 0 {
		return max(h.now, manyMembers)
	}
	return max(h.now, h.before)
}

// told returns the largest count that was told lately, 0 for none.
func (h *headcount) told() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.now, h.before)
}
