package gatekeeper

import (
	"sync"
	"time"
)

// A headcount is how many instances there are, as this one was told. It rises at once
// and falls late. Its zero value is ready; it is safe for concurrent use.
type headcount struct {
	mu     sync.Mutex
	began  time.Time // when the present span began; zero before the first word
	now    int       // most that was told in it
	before int       // and in the one before
}

const (
	// countFor is the span over which the largest count holds, and the one after it.
	countFor = 1500 * time.Millisecond
	// countSure is how long whoever counts has to hear members before it tells how many
	// they are: it begins with nobody after a restart, and instances that took the few
	// that had spoken for all of hundreds would each spend the retries of a hundred
	// others. All have spoken within three beats.
	countSure = 3*beat + 50*time.Millisecond
	// manyMembers is how many instances an instance assumes that was not told lately:
	// a share that is safe among hundreds is safe in a small deployment too.
	manyMembers = 400
)

// tell takes in a count; none says nothing.
func (h *headcount) tell(n int, now time.Time) {
	if n <= 0 {
		return
	}
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

// get returns the count, or that of a large deployment if none was told.
func (h *headcount) get() int {
	if n := h.told(); n > 0 {
		return n
	}
	return manyMembers
}

// told returns the largest count that was told lately, 0 for none.
func (h *headcount) told() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.now, h.before)
}

// count returns how many instances there are, 0 while that is not sure.
func (d *controller) count(now time.Time) int {
	if d.counting.IsZero() || now.Sub(d.counting) < countSure {
		return 0
	}
	return max(1, d.gather.Instances())
}
