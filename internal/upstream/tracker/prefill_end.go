package tracker

import "time"

// Priorities is the number of priorities that are distinguished. Less urgent requests count
// as the least urgent of these.
const Priorities = 4

// prefillEnds are the times at which a runner has prefilled the prompts that go before
// another one, by the priority of that one.
type prefillEnds [Priorities]time.Time

// prefillWait returns how long the prompts take that go before one of the priority. Those
// that go before a more urgent one also go before it.
func (s *runnerState) prefillWait(priority int) time.Duration {
	var end time.Time
	for _, e := range s.prefillUntil[:level(priority)+1] {
		if e.After(end) {
			end = e
		}
	}
	return time.Until(end)
}

// slotWaitOf returns the estimated seconds until a request has a request slot. Where the
// runners serve the most urgent requests first, such a request waits for one slot only,
// however many less urgent ones wait there.
func (s *runnerState) slotWaitOf(d Demand, m *latencyModel) float64 {
	wait := s.requestSlotWait(m)
	if d.Ordered && d.Priority == 0 && s.Slots > 0 {
		return min(wait, m.run/float64(s.Slots))
	}
	return wait
}

// SetPrefillBacklog records how long a runner needs for the prompts that go before one of
// the priority, as reported by its leader. Those before a more urgent one take no longer.
func (f *Fleet) SetPrefillBacklog(id string, priority int, backlog time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return
	}
	end, at := time.Now().Add(backlog), level(priority)
	for i := range at {
		if s.prefillUntil[i].After(end) {
			s.prefillUntil[i] = end
		}
	}
	s.prefillUntil[at] = end
}

// level returns the index of a priority.
func level(priority int) int { return min(max(priority, 0), Priorities-1) }
