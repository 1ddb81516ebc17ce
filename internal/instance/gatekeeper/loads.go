package gatekeeper

import (
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// order returns the runners' IDs, those with the most requests waiting first.
func (d *controller) order() []string {
	ids := make([]string, 0, len(d.runners))
	for id := range d.runners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	slices.SortStableFunc(ids, func(a, b string) int { return d.waiting(b) - d.waiting(a) })
	return ids
}

func (d *controller) waiting(id string) int {
	if p := d.runners[id].placer; p != nil {
		return p.Waiting()
	}
	return 0
}

// room returns how many more adapters may be fetched now, and for how many
// requests wait.
func (d *controller) room(now time.Time) (room, waiting int) {
	engines, coming := d.sum(func(p *placer.Placer) int { return p.Fetching(now) })
	_, waiting = d.sum((*placer.Placer).Waiting)
	return d.window.Room(engines) - coming, waiting
}

// roomFor returns what may be fetched. A copy that no request waits for must not
// take the weight store from one that somebody does: on a calm day of the
// Association, whose adapters bind, that cost 0.025 of the day's worth.
func roomFor(room, waiting int) placer.Room {
	switch {
	case room <= 0:
		return placer.NoRoom
	case waiting > 0:
		return placer.RoomForWaiting
	default:
		return placer.RoomForAny
	}
}

// sum returns how many engines there are, and the sum of a number of each.
func (d *controller) sum(of func(p *placer.Placer) int) (engines, sum int) {
	for _, c := range d.runners {
		if c.placer != nil {
			engines++
			sum += of(c.placer)
		}
	}
	return engines, sum
}

// wait returns how long an adapter that is asked for now waits until its load
// begins.
func (d *controller) wait() time.Duration {
	engines, waiting := d.sum((*placer.Placer).Waiting)
	return time.Duration(waiting) * d.gatekeeper.LoadTime() / time.Duration(d.window.Room(engines))
}

// perRunner is how many adapters may be on their way to one runner at once, as
// engines allow.
const perRunner = 4

// copies returns how many runners of the domain hold a copy or are getting it.
func (d *controller) copies(copied placer.Copy) int {
	_, copies := d.sum(func(p *placer.Placer) int {
		if p.Holds(copied) {
			return 1
		}
		return 0
	})
	return copies
}

// tellLoads logs how the loads of the domain stand, if this instance orders them.
func (d *controller) tellLoads() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acting == 0 {
		return
	}
	engines, fetching := d.sum(func(p *placer.Placer) int { return p.Fetching(now) })
	_, waiting := d.sum((*placer.Placer).Waiting)
	d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "loads", "domain", d.domain, "engines", engines, "room", d.window.Room(engines),
		"fetching", fetching, "waiting", waiting)
}
