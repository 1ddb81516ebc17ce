package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A journal is what has changed in a domain, so that each member is told only
// what it does not know.
type journal struct {
	events []event
	first  int // number of the first event that is kept
}

// An event is one change. One of its fields is set.
type event struct {
	gone   *relayer.Gone
	held   *heldEvent
	room   *roomEvent
	runner *tracker.Runner
}

// A heldEvent says how a copy stands at a runner.
type heldEvent struct {
	runner string
	copy   placer.Copy
	at     time.Time // from when on it can be used
	there  bool
}

// A roomEvent says how long a copy waits for a place at a runner.
type roomEvent struct {
	runner string
	wait   time.Duration
}

// journalLimit is how many events are kept. A member that is further behind is
// told everything anew.
const journalLimit = 2048

func (j *journal) add(e event) {
	j.events = append(j.events, e)
	if len(j.events) > 2*journalLimit {
		drop := len(j.events) - journalLimit
		j.events = append([]event(nil), j.events[drop:]...)
		j.first += drop
	}
}

// cut drops all events: everybody is told everything anew.
func (j *journal) cut() {
	j.first = j.end() + 1
	j.events = nil
}

// end returns the number after the last event.
func (j *journal) end() int { return j.first + len(j.events) }

// since returns the events from a number on; ok is false if some of them are
// not kept any more.
func (j *journal) since(number int) (events []event, ok bool) {
	if number < j.first {
		return nil, false
	}
	return j.events[number-j.first:], true
}
