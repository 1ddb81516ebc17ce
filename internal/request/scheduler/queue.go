package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

// A Queue holds the prompts that wait for one runner, and the schedule of those that were sent
// there. Its exported field is set before each call; otherwise the zero value is ready.
type Queue struct {
	admitter.PrefillSchedule

	Slots Slots

	classes [Levels]turns
	entries []*waiting
	granted []grant // those that reports may not include yet
	lastID  ID
}

const (
	// Levels is the number of priorities that are distinguished. Less urgent requests count as
	// the least urgent of these.
	Levels = 4
	// Capacity is the maximum number of waiting entries. A runner serves about fifty prompts
	// within the longest latency targets (2 s), so more would be refused for their time. An
	// offer to a full queue takes 0.35 ms with 256 and 0.05 ms with 64, under the lock of all
	// queues of a failure domain.
	Capacity = 64
	// grantLifetime is how long a grant may be missing in the reports on which Slots is
	// based: members report each 150 ms, relayed reports take twice as long.
	grantLifetime = 300 * time.Millisecond
	// reportMargin is how long before it arrives a report may have been written: a grant of
	// that time may have reached its instance after the report was sent.
	reportMargin = 20 * time.Millisecond
	// sendAhead is how much prefill may be queued at the runner. It covers the time that a
	// grant takes and errors of the estimated prefill times; what is queued there goes before
	// a more urgent prompt.
	sendAhead = 100 * time.Millisecond
)

// A Decision is the result of an offer.
type Decision int

// The values of Decision.
const (
	Granted Decision = iota // the prompt may be sent
	Queued                  // Next or Remove returns it later
	Refused
)

// An Answer is the answer to an offer.
type Answer struct {
	Backlog  time.Duration // until the prompts that go before another one of the priority are prefilled
	Decision Decision
	ID       ID            // of a queued entry
	Retry    time.Duration // for a refused one: time until the backlog of its priority has drained
	Wait     time.Duration // expected until the prompt may be sent; of a refused one, in which it would be too late
}

// A Removal is an entry that has left the queue.
type Removal struct {
	Entry

	Backlog time.Duration // until the prompts that go before another one of the priority are prefilled
	ID      ID
	Late    bool          // its time limit passed; otherwise more urgent entries displaced it
	Retry   time.Duration // of a refused one: time until the backlog of its priority has drained
	Wait    time.Duration // expected until it would have started
	Waited  time.Duration
}

// A grant is a recent grant.
type grant struct {
	at       time.Time
	reporter string
}

// Clear removes and returns all entries.
func (q *Queue) Clear(now time.Time) []Removal {
	var removed []Removal
	for i := range q.entries {
		removed = append(removed, q.removal(q.entries[i], now))
	}
	q.entries = q.entries[:0]
	return removed
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entries) }

// Next removes and returns the entries to grant now, and those that can no longer start in
// time. If entries are left, again is the time until it is to be called again.
func (q *Queue) Next(now time.Time) (granted, late []Removal, again time.Duration) {
	q.forgetGrants(now)
	q.entries = slices.DeleteFunc(q.entries, func(w *waiting) bool {
		if !now.After(w.startBy) {
			return false
		}
		removed := q.removal(w, now)
		removed.Late = true
		late = append(late, removed)
		return true
	})
	unknown := 0 // granted here and not in Slots until the caller has sent them
	for len(q.entries) > 0 {
		if again = q.soonest(unknown, now); again > 0 {
			break // without the sort, which takes ten times as long
		}
		q.sort(now)
		first := q.entries[0]
		again = q.delay(q.PrefillSchedule, first.paced(), unknown, now)
		if again > 0 {
			break
		}
		removed := q.removal(first, now)
		q.serve(first)
		q.send(&removed.Entry, now)
		if removed.Reporter == "" {
			unknown++
		}
		q.entries = slices.Delete(q.entries, 0, 1)
		granted = append(granted, removed)
	}
	q.setBacklogs(granted, now)
	q.setBacklogs(late, now)
	return granted, late, again
}

// Offer decides on a prompt. It also returns the entries that had to be removed because the
// prompt goes before them; the caller must refuse them.
func (q *Queue) Offer(e Entry, now time.Time) (Answer, []Removal) {
	q.forgetGrants(now)
	limit, extension := e.startLimit(), time.Duration(0)
	if q.Extensions.Wait(e.paced(), now) == 0 {
		extension = e.Prompt.Extension
	}
	if limit+extension < 0 {
		return Answer{Backlog: q.backlog(e.level(), now), Decision: Refused, Retry: q.drain(e.level(), now)}, nil
	}
	if len(q.entries) == 0 && q.delay(q.PrefillSchedule, e.paced(), 0, now) <= 0 {
		level, tokens := e.level(), e.tokens()
		class := &q.classes[level]
		class.serve(e.Account, class.tag(e.Account), tokens)
		q.Extensions.Add(e.paced(), now)
		q.send(&e, now)
		return Answer{Backlog: q.PrefillSchedule.Backlog(now)}, nil
	}
	q.lastID++
	id := q.lastID
	q.entries = append(q.entries, &waiting{Entry: e, id: id, inTime: true, offeredAt: now, dueBy: now.Add(limit), startBy: now.Add(limit + extension)})
	answer, displaced := q.decide(id, now)
	if answer.Decision != Refused {
		q.Extensions.Add(e.paced(), now)
	}
	return answer, displaced
}

// Remove removes an entry whose caller has left. It returns whether the entry was still
// waiting.
func (q *Queue) Remove(id ID) bool {
	i := q.index(id)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Reported records that a report of an instance has arrived: Slots includes what it was
// granted before.
func (q *Queue) Reported(reporter string, now time.Time) {
	if len(q.granted) == 0 {
		return
	}
	q.granted = slices.DeleteFunc(q.granted, func(g grant) bool { return g.reporter == reporter && now.Sub(g.at) > reportMargin })
}

// Waiting returns the number of waiting entries of a priority.
func (q *Queue) Waiting(priority int) int {
	n := 0
	for i := range q.entries {
		if q.entries[i].level() == priority {
			n++
		}
	}
	return n
}

// backlog returns how long the prompts that go before another one of the priority take.
func (q *Queue) backlog(priority int, now time.Time) time.Duration {
	schedule, ahead, wait := q.PrefillSchedule, 0, time.Duration(0)
	for i := range q.entries {
		w := q.entries[i]
		if w.class > priority {
			break
		}
		wait = max(wait, q.delay(schedule, w.paced(), ahead, now))
		schedule.Add(w.paced(), now.Add(wait))
		ahead++
	}
	if ahead > 0 {
		wait = max(wait, q.Slots.wait(q.Slots.occupied(len(q.granted))+float64(ahead)))
	}
	return max(wait, schedule.Backlog(now))
}

// decide removes the entries that would start too late, and answers the offer of one.
func (q *Queue) decide(id ID, now time.Time) (Answer, []Removal) {
	offered := q.entries[len(q.entries)-1]
	var displaced []Removal
	for late := true; late; {
		q.sort(now)
		q.project(offered, now)
		late = false
		q.entries = slices.DeleteFunc(q.entries, func(w *waiting) bool {
			if w.inTime || !offered.inTime && w != offered {
				return false
			}
			if w != offered {
				displaced = append(displaced, q.removal(w, now))
				late = true // without it the order of the others may change
			}
			return true
		})
	}
	if len(q.entries) > Capacity {
		last := q.takeLast()
		last.inTime = false
		if last != offered {
			displaced = append(displaced, q.removal(last, now))
		}
	}
	q.setBacklogs(displaced, now)
	answer := Answer{Wait: offered.wait}
	switch {
	case !offered.inTime:
		answer.Decision, answer.Retry = Refused, q.drain(offered.level(), now)
	case offered.wait <= 0 && q.entries[0].id == id:
		q.serve(offered)
		q.send(&offered.Entry, now)
		q.entries = slices.Delete(q.entries, 0, 1)
	default:
		answer.Decision, answer.ID = Queued, id
	}
	answer.Backlog = q.backlog(offered.level(), now)
	return answer, displaced
}

// delay returns how long to delay a prompt, with as many others before it.
func (q *Queue) delay(schedule admitter.PrefillSchedule, p admitter.Prompt, ahead int, now time.Time) time.Duration {
	p.SlotWait = q.Slots.wait(q.Slots.occupied(len(q.granted)) + float64(ahead))
	return max(schedule.Delay(p, now), schedule.Backlog(now)-sendAhead)
}

// drain returns how long it takes until the backlog of the priority has drained and a slot is
// free.
func (q *Queue) drain(priority int, now time.Time) time.Duration {
	return max(q.backlog(priority, now), q.Slots.wait(q.Slots.occupied(len(q.granted))))
}

// forgetGrants drops the grants that all reports include.
func (q *Queue) forgetGrants(now time.Time) {
	old := 0
	for old < len(q.granted) && now.Sub(q.granted[old].at) > grantLifetime {
		old++
	}
	if old > 0 {
		q.granted = slices.Delete(q.granted, 0, old)
	}
}

func (q *Queue) index(id ID) int {
	return slices.IndexFunc(q.entries, func(w *waiting) bool { return w.id == id })
}

// project computes when each entry starts in the current order. Entries that are late because
// another one was offered are left out for those after them.
//
// The first entry of each less urgent priority counts as in time if it is when it has become
// as urgent as any. Without this, a backlog of more urgent entries would displace all others
// before they become more urgent.
func (q *Queue) project(offered *waiting, now time.Time) {
	schedule, ahead, wait, after := q.PrefillSchedule, 0, time.Duration(0), false
	var seen [Levels]bool
	for i, w := range q.entries {
		after = after || w == offered
		w.wait = max(wait, q.delay(schedule, w.paced(), ahead, now))
		w.inTime = !after || !now.Add(w.wait).After(w.startBy)
		if level := w.level(); !seen[level] {
			seen[level] = true
			if aged := max(q.entries[0].wait, w.agedAt(level).Sub(now)); i > 0 && level > 0 && aged < w.wait {
				w.wait = aged
				w.inTime = w.inTime || !now.Add(aged).After(w.startBy)
			}
		}
		if !w.inTime {
			continue
		}
		wait = max(wait, w.wait)
		schedule.Add(w.paced(), now.Add(wait))
		ahead++
	}
}

func (q *Queue) removal(w *waiting, now time.Time) Removal {
	return Removal{Entry: w.Entry, ID: w.id, Wait: w.wait, Waited: now.Sub(w.offeredAt)}
}

// send records that a prompt is sent now.
func (q *Queue) send(e *Entry, now time.Time) {
	q.PrefillSchedule.Add(e.paced(), now)
	if e.Reporter != "" {
		q.granted = append(q.granted, grant{at: now, reporter: e.Reporter})
	}
}

// serve records the turn of an entry.
func (q *Queue) serve(w *waiting) {
	tokens := w.tokens()
	q.classes[w.level()].serve(w.Account, w.ownTag, tokens)
	if w.aged {
		q.classes[w.class].serveAged(w.level(), w.tag, tokens)
	}
}

// setBacklogs sets the backlogs of entries that were removed.
func (q *Queue) setBacklogs(removed []Removal, now time.Time) {
	var known [Levels]bool
	var backlogs, drains [Levels]time.Duration
	for i := range removed {
		r, level := &removed[i], removed[i].level()
		if !known[level] {
			known[level], backlogs[level], drains[level] = true, q.backlog(level, now), q.drain(level, now)
		}
		r.Backlog, r.Retry = backlogs[level], drains[level]
	}
}

// soonest returns a time before which no entry can be granted, whatever the order, with as many
// other prompts sent before it.
func (q *Queue) soonest(ahead int, now time.Time) time.Duration {
	if wait := q.delay(q.PrefillSchedule, admitter.Prompt{}, ahead, now); wait > 0 {
		return wait // for a slot, or for the prompts queued at the runner: the same for all
	}
	soonest := time.Duration(math.MaxInt64)
	for _, w := range q.entries {
		soonest = min(soonest, q.delay(q.PrefillSchedule, w.paced(), ahead, now))
	}
	return soonest
}

// sort puts the entries into the order in which they are granted.
func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.entries, byAccount)
	tag := 0.
	for i, w := range q.entries {
		class := &q.classes[w.level()]
		if i == 0 || q.entries[i-1].Account != w.Account || q.entries[i-1].level() != w.level() {
			tag = class.tag(w.Account)
		}
		w.ownTag, w.tag, w.class = tag, tag, w.level()
		tag += w.tokens()
		w.class -= w.steps(now)
		w.aged = w.class < w.level()
	}
	slices.SortFunc(q.entries, byLevel)
	for i, w := range q.entries {
		if !w.aged {
			continue
		}
		if i == 0 || q.entries[i-1].class != w.class || q.entries[i-1].level() != w.level() {
			tag = q.classes[w.class].agedTag(w.level())
		}
		w.tag = tag
		tag += agedCost * w.tokens()
	}
	slices.SortFunc(q.entries, byTag)
}

// takeLast removes and returns the last entry that is not the first one of its priority, which
// a queue full of more urgent entries would otherwise never keep until it is as urgent as any.
func (q *Queue) takeLast() *waiting {
	last := len(q.entries) - 1
	for i := last; i > 0; i-- {
		level := q.entries[i].level()
		if slices.ContainsFunc(q.entries[:i], func(w *waiting) bool { return w.level() == level }) {
			last = i
			break
		}
	}
	w := q.entries[last]
	q.entries = slices.Delete(q.entries, last, last+1)
	return w
}
