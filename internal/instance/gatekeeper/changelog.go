package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A journal is a log of the changes in a domain, from which each member is sent only those that
// it lacks.
type changeLog struct {
	events []event
	first  int // sequence number of the oldest retained event
}

// An event is one change. Exactly one of its fields is set.
type event struct {
	removal  *relayer.Gone
	copy     *copyEvent
	slotWait *slotEvent
	runner   *tracker.Runner
}

// A copyEvent is a change of an adapter copy at a runner.
type copyEvent struct {
	runner  string
	copy    placer.Copy
	at      time.Time // when it becomes usable
	present bool
}

// A slotEvent is a change of how long a copy waits for an adapter slot at a runner.
type slotEvent struct {
	runner string
	wait   time.Duration
}

// minRetainedEvents is how many events are retained at least. A member that is further behind
// receives a snapshot.
const minRetainedEvents = 2048

func (j *changeLog) add(e event) {
	j.events = append(j.events, e)
	if len(j.events) > 2*minRetainedEvents {
		drop := len(j.events) - minRetainedEvents
		j.events = append([]event(nil), j.events[drop:]...)
		j.first += drop
	}
}

// reset drops all events, so that every member receives a snapshot.
func (j *changeLog) reset() {
	j.first = j.end() + 1
	j.events = nil
}

// end returns the sequence number after the last event.
func (j *changeLog) end() int { return j.first + len(j.events) }

// since returns the events from a sequence number on; ok is false if some of them are no longer
// retained.
func (j *changeLog) since(number int) (events []event, ok bool) {
	if number < j.first {
		return nil, false
	}
	return j.events[number-j.first:], true
}
