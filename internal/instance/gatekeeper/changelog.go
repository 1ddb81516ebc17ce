package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A changeLog is a log of the changes in a domain, from which each member is sent only those
// that it lacks.
type changeLog struct {
	events []event
	first  int // sequence number of the oldest retained event
}

// An event is one change. Exactly one of its fields is set.
type event struct {
	removal    *relayer.RemovedRunner
	copyChange *copyEvent
	stated     string // runner that has stated something about itself
	slotWait   *slotEvent
	runner     *tracker.Runner
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

func (l *changeLog) add(e event) {
	l.events = append(l.events, e)
	if len(l.events) > 2*minRetainedEvents {
		drop := len(l.events) - minRetainedEvents
		l.events = append([]event(nil), l.events[drop:]...)
		l.first += drop
	}
}

// reset drops all events, so that every member receives a snapshot.
func (l *changeLog) reset() {
	l.first = l.end() + 1
	l.events = nil
}

// end returns the sequence number after the last event.
func (l *changeLog) end() int { return l.first + len(l.events) }

// since returns the events from a sequence number on; ok is false if some of them are no longer
// retained.
func (l *changeLog) since(sequence int) (events []event, ok bool) {
	if sequence < l.first {
		return nil, false
	}
	return l.events[sequence-l.first:], true
}
