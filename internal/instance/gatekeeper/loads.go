package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// loads summarizes the adapter loads of a failure domain.
type loads struct {
	engines  int
	room     int // limit on concurrent loads from the weight store
	fetching int // loads in progress from the weight store
	waiting  int // adapters that requests wait for and that are not being loaded
}

// loads sums up the loads of all runners of the domain.
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

// allows returns which adapters may be fetched. Prefetching a copy that no request waits for
// must not compete for the weight store with one that requests wait for: on a day without
// faults of the Association, where adapter loads are the bottleneck, that cost 0.025 of the
// day's value.
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

// order returns the IDs of the runners, sorted by the number of waiting adapters, largest
// first.
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

// wait returns how long a newly requested adapter waits until its load begins.
func (d *controller) wait(now time.Time) time.Duration {
	if now.Sub(d.lined) >= leadEvery {
		l := d.loads(now)
		d.line, d.lined = time.Duration(l.waiting)*d.gatekeeper.LoadTime()/time.Duration(l.room), now
	}
	return d.line
}

// perRunner is the number of concurrent loads per runner that engines allow.
const perRunner = 4

// copies returns how many runners of the domain hold or are loading a copy.
func (d *controller) copies(copied placer.Copy) int {
	copies := 0
	for _, c := range d.runners {
		if c.placer != nil && c.placer.Holds(copied) {
			copies++
		}
	}
	return copies
}

// tellLoads logs the loads of the domain, if this instance sends its orders.
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
