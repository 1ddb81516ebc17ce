package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// loadStats summarizes the adapter loads of a failure domain.
type loadStats struct {
	engines  int
	limit    int // limit on concurrent loads from the weight store
	fetching int // loads in progress from the weight store
	waiting  int // adapters that requests wait for and that are not being loaded
}

// loadStats sums up the loads of all runners of the domain.
func (d *controller) loadStats(now time.Time) loadStats {
	var l loadStats
	for _, c := range d.runners {
		if c.placer != nil {
			l.engines++
			l.fetching += c.placer.Fetching(now)
			if c.failures < unresponsive {
				l.waiting += c.placer.Waiting()
			}
		}
	}
	l.limit = d.loadWindow.Limit(l.engines)
	return l
}

// allows returns which adapters may be fetched. Prefetching a copy that no request waits for
// must not compete for the weight store with one that requests wait for: on a fault-free
// recorded day on which adapter loads were the bottleneck, that cost 0.025 of the day's value.
func (l loadStats) allows() placer.FetchLimit {
	switch {
	case l.fetching >= l.limit:
		return placer.NoFetch
	case l.waiting > 0:
		return placer.FetchForWaiting
	default:
		return placer.FetchAny
	}
}

// runnersByWaiting returns the IDs of the runners, sorted by the number of waiting adapters,
// largest first.
func (d *controller) runnersByWaiting() []string {
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

// loadQueueWait returns how long a newly requested adapter waits until its load begins.
func (d *controller) loadQueueWait(now time.Time) time.Duration {
	if now.Sub(d.queueWaitAt) >= leadInterval {
		l := d.loadStats(now)
		d.queueWait, d.queueWaitAt = time.Duration(l.waiting)*d.gatekeeper.LoadTime()/time.Duration(l.limit), now
	}
	return d.queueWait
}

// maxLoadsPerRunner is the number of concurrent loads per runner that engines allow.
const maxLoadsPerRunner = 4

// copyCount returns how many runners of the domain hold or are loading a copy.
func (d *controller) copyCount(copied placer.Copy) int {
	copies := 0
	for _, c := range d.runners {
		if c.placer != nil && c.placer.Holds(copied) {
			copies++
		}
	}
	return copies
}

// logLoads logs the loads of the domain, if this instance sends its orders.
func (d *controller) logLoads() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.orderingFence == 0 {
		return
	}
	l := d.loadStats(now)
	var use placer.Usage
	for _, c := range d.runners {
		if c.placer != nil {
			use.Add(c.placer.Usage(now))
		}
	}
	d.gatekeeper.Recorder.Log(recorder.View, "msg", "loads", "domain", d.domain, "engines", l.engines, "room", l.limit,
		"fetching", l.fetching, "waiting", l.waiting,
		"places", use.Slots, "loading", use.Loading, "running", use.Running, "vacant", use.Vacant)
}
