package gatekeeper

import (
	"sync"
	"time"
)

// suspensionTolerance is how far two clocks that are read one after the other may differ.
const suspensionTolerance = 50 * time.Millisecond

// A suspensionMeter notices that the host was suspended. The runtime's clock stands still meanwhile, so that what was
// learned before looks as recent afterwards. Its zero value notices nothing; it is safe for concurrent use.
type suspensionMeter struct {
	uptime func() time.Duration // a clock that keeps running; set before use

	mu       sync.Mutex
	began    time.Time     // of the first reading
	ahead    time.Duration // of that clock before the runtime's, as of the last reading
	thawedAt time.Time     // when a suspension was noticed last
}

// since reports whether the host was suspended after a time, or may have been.
func (m *suspensionMeter) since(at time.Time) bool {
	if m.uptime == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	first := m.began.IsZero()
	if first {
		m.began = now
	}
	ahead := m.uptime() - now.Sub(m.began)
	if first || ahead-m.ahead > suspensionTolerance {
		m.thawedAt = now
	}
	m.ahead = ahead
	return at.Before(m.thawedAt)
}
