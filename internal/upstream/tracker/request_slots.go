package tracker

import "time"

// RequestSlots counts the requests at one runner of a plain service (one without adapters), at
// the instance that assigns its request slots. The zero value is ready to use; it is not
// safe for concurrent use.
type RequestSlots struct {
	active  int     // requests that run or wait
	meanRun float64 // mean seconds, at pace factor 1, of requests that did not wait for a slot; 0 before the first one
}

// An Entry is one counted request.
type Entry struct {
	startedAt time.Time
	ahead     int // requests at the runner when it arrived
}

// Wait estimates how long a further request waits for a slot at a runner with a pace factor,
// as of Fleet.PaceFactor.
func (s *RequestSlots) Wait(slots int, factor float64) time.Duration {
	if slots <= 0 || s.active < slots {
		return 0
	}
	return time.Duration(float64(s.active-slots+1) / float64(slots) * s.meanRunTime() * factor * float64(time.Second))
}

// Excess estimates how much longer a further request runs than at a runner with the mean pace;
// 0 at a faster one.
func (s *RequestSlots) Excess(factor float64) time.Duration {
	return time.Duration(max(0, factor-1) * s.meanRunTime() * float64(time.Second))
}

// Enter adds a request.
func (s *RequestSlots) Enter(now time.Time) Entry {
	e := Entry{startedAt: now, ahead: s.active}
	s.active++
	return e
}

// Leave removes a request that ran at a pace factor. Its duration counts as run time only if it
// had a slot at once: waiting time would make the runner look slower, and more requests would be
// refused.
func (s *RequestSlots) Leave(e Entry, slots int, factor float64, now time.Time) {
	s.active--
	if e.ahead >= slots {
		return
	}
	s.meanRun = s.meanRunTime() + runWeight*(now.Sub(e.startedAt).Seconds()/factor-s.meanRunTime())
}

// Abandon removes a request that the runner has not completed.
func (s *RequestSlots) Abandon() { s.active-- }

func (s *RequestSlots) meanRunTime() float64 {
	if s.meanRun == 0 {
		return initialRun
	}
	return s.meanRun
}
