package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// loads is how the loads of a failure domain stand.
type loads struct {
	engines  int
	room     int // adapters that may be on their way from the weight store at once
	fetching int // that are
	waiting  int // that requests wait for and that are not on their way
}

// loads sums up how the runners' loads stand.
func (d *controller) loads(now time.Time) loads {
	var l loads
	for _, c := range d.runners {
		if c.placer != nil {
			l.engines++
			l.fetching += c.placer.Fetching(now)
			if c.dark < dark {
				l.waiting += c.placer.Waiting()
			}
		}
	}
	l.room = d.window.Room(l.engines)
	return l
}

// allows returns what may be fetched. A copy that no request waits for must not
// take the weight store from one that somebody does: on a calm day of the
// Association, whose adapters bind, that cost 0.025 of the day's worth.
func (l loads) allows() placer.Room {
	switch {
	case l.fetching >= l.room:
		return placer.NoRoom
	case l.waiting > 0:
		return placer.RoomForWaiting
	default:
		return placer.RoomForAny
	}
}

// order returns the runners' IDs, those with the most requests waiting first.
func (d *controller) order() []string {
	ids := make([]string, 0, len(d.runners))
	waiting := make(map[string]int, len(d.runners))
	for id, c := range d.runners {
		ids = append(ids, id)
		if c.placer != nil {
			waiting[id] = c.placer.Waiting()
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b)) })
	return ids
}

// wait returns how long an adapter that is asked for now waits until its load
// begins.
func (d *controller) wait(now time.Time) time.Duration {
	if now.Sub(d.lined) >= leadEvery {
		l := d.loads(now)
		d.line, d.lined = time.Duration(l.waiting)*d.gatekeeper.LoadTime()/time.Duration(l.room), now
	}
	return d.line
}

// perRunner is how many adapters may be on their way to one runner at once, as
// engines allow.
const perRunner = 4

// copies returns how many runners of the domain hold a copy or are getting it.
func (d *controller) copies(copied placer.Copy) int {
	copies := 0
	for _, c := range d.runners {
		if c.placer != nil && c.placer.Holds(copied) {
			copies++
		}
	}
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
	l := d.loads(now)
	var use placer.Usage
	for _, c := range d.runners {
		if c.placer != nil {
			use.Add(c.placer.Usage(now))
		}
	}
	d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "loads", "domain", d.domain, "engines", l.engines, "room", l.room,
		"fetching", l.fetching, "waiting", l.waiting,
		"places", use.Places, "loading", use.Loading, "running", use.Running, "vacant", use.Vacant)
}
