package limiter

import "time"

const (
	// minWait and maxWait bound the retry time given to refused callers. The minimum is
	// longer than the usual age of a balance.
	minWait = 200 * time.Millisecond
	maxWait = 10 * time.Second
	// returnSlot is the resolution of the schedule of returns. It is the minimum wait: a shorter
	// slot would not spread callers further.
	returnSlot  = minWait
	returnSlots = int64(maxWait / returnSlot)
	// slotsPerSecond is the number of slots over which returns are counted.
	slotsPerSecond = int64(time.Second / returnSlot)
)

// A returnSchedule holds when refused callers were told to return, for the next maxWait. Callers
// that were told to return at maxWait because nothing is left before are not part of it: they
// would delay others although most of them cannot wait as long.
type returnSchedule struct {
	first    int64 // number of the current slot
	promised [returnSlots]demandTokens
	callers  [returnSlots]int32

	due      int32 // callers that were told to return in the current second, up to the current slot
	admitted int32 // requests in the current second
	refused  int32
	counts   ReturnCounts // of the seconds before
}

// demandTokens is a number of tokens by urgency level.
type demandTokens [urgencyLevels]float64

// A ReturnCounts counts the returns of refused callers. A return cannot be told from a first
// attempt: of the requests in each second, at most as many count as were told to return in it.
type ReturnCounts struct {
	Promised int // callers that were given a time at which tokens are expected to be left
	Admitted int // requests that were admitted in the second of a promised return
	Refused  int // promised returns beyond these, up to the requests that were refused in that second
}

// Add adds other counts.
func (c *ReturnCounts) Add(other ReturnCounts) {
	c.Promised += other.Promised
	c.Admitted += other.Admitted
	c.Refused += other.Refused
}

// advance drops the slots that have passed.
func (s *returnSchedule) advance(now time.Time) {
	current := now.UnixNano() / int64(returnSlot)
	if s.first == 0 || current-s.first > returnSlots {
		counts := s.counts
		*s = returnSchedule{first: current, counts: counts}
		return
	}
	for s.first < current {
		n := s.first % returnSlots
		s.due += s.callers[n]
		s.promised[n], s.callers[n] = demandTokens{}, 0
		s.first++
		if s.first%slotsPerSecond == 0 {
			s.count()
		}
	}
}

// count counts the returns of the second that has passed.
func (s *returnSchedule) count() {
	admitted := min(s.due, s.admitted)
	s.counts.Admitted += int(admitted)
	s.counts.Refused += int(min(s.due-admitted, s.refused))
	s.due, s.admitted, s.refused = 0, 0, 0
}

// free returns the tokens of a slot that are not promised to a level or to more urgent ones.
func (s *returnSchedule) free(slot int64, level int, capacity float64) float64 {
	free := capacity
	for _, tokens := range s.promised[slot%returnSlots][:level+1] {
		free -= tokens
	}
	return max(0, free)
}

// promise schedules the return of a refused caller whose tokens are not available earlier than
// the given wait, and returns when. rate is the rate that is left to returning callers of the
// level. Nothing is scheduled if the tokens do not become available within maxWait.
func (s *returnSchedule) promise(tokens float64, level int, rate float64, earliest time.Duration, now time.Time) time.Duration {
	last := s.first + returnSlots
	begin := max(s.first+1, now.Add(min(earliest, maxWait)).UnixNano()/int64(returnSlot))
	capacity := rate * returnSlot.Seconds()
	end, missing := begin, tokens
	for ; end < last; end++ {
		free := s.free(end, level, capacity)
		if missing <= free {
			break
		}
		missing -= free
	}
	if end >= last {
		return maxWait
	}
	for n := begin; n < end; n++ {
		free := s.free(n, level, capacity)
		s.promised[n%returnSlots][level] += free
		tokens -= free
	}
	slot := &s.promised[end%returnSlots]
	slot[level] += tokens
	s.callers[end%returnSlots]++
	s.counts.Promised++
	used := 1 - s.free(end, level, capacity)/capacity // callers of one slot are spread over it
	at := time.Unix(0, end*int64(returnSlot)).Add(time.Duration(used * float64(returnSlot)))
	return max(earliest, at.Sub(now))
}
