package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// loadStats summarizes the adapter loads of a failure domain.
type loadStats struct {
	engines   int
	limit     int // limit on concurrent loads from the weight store
	fetching  int // loads in progress from the weight store
	waiting   int // adapters that requests wait for and that are not being loaded
	continued int // those of them that are as urgent as one that a continued stream waits for
}

// loadStats sums up the loads of all runners of the domain.
func (c *controller) loadStats(now time.Time) loadStats {
	var l loadStats
	for _, state := range c.runners {
		if state.placer != nil {
			l.engines++
			l.fetching += state.placer.Fetching(now)
			if state.failures < unresponsive {
				l.waiting += state.placer.Waiting()
				l.continued += state.placer.WaitingContinued()
			}
		}
	}
	l.limit = c.loadWindow.Limit(l.engines)
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
func (c *controller) runnersByWaiting() []string {
	ids := make([]string, 0, len(c.runners))
	waiting := make(map[string]int, len(c.runners))
	for id, state := range c.runners {
		ids = append(ids, id)
		if state.placer != nil {
			waiting[id] = state.placer.Waiting()
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b)) })
	return ids
}

// loadQueueWait returns how long a newly requested adapter waits until its load begins.
func (c *controller) loadQueueWait(now time.Time) tracker.LoadQueueWait {
	if now.Sub(c.queueWaitAt) >= leadInterval {
		l, load := c.loadStats(now), c.gatekeeper.LoadTime()
		c.queueWait = tracker.LoadQueueWait{
			Last:      time.Duration(l.waiting) * load / time.Duration(l.limit),
			Continued: time.Duration(l.continued) * load / time.Duration(l.limit),
		}
		c.queueWaitAt = now
	}
	return c.queueWait
}

// maxLoadsPerRunner is the number of concurrent loads per runner that engines allow.
const maxLoadsPerRunner = 4

// copyCount returns how many runners of the domain hold or are loading a copy.
func (c *controller) copyCount(copied placer.Copy) int {
	copies := 0
	for _, state := range c.runners {
		if state.placer != nil && state.placer.Holds(copied) {
			copies++
		}
	}
	return copies
}

// logLoads logs the loads of the domain, if this instance sends its orders.
func (c *controller) logLoads() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orderingFence == 0 {
		return
	}
	l := c.loadStats(now)
	var use placer.Usage
	for _, state := range c.runners {
		if state.placer != nil {
			use.Add(state.placer.Usage(now))
		}
	}
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "loads", "domain", c.domain, "engines", l.engines, "room", l.limit,
		"fetching", l.fetching, "waiting", l.waiting,
		"places", use.Slots, "loading", use.Loading, "running", use.Running, "vacant", use.Vacant)
}
