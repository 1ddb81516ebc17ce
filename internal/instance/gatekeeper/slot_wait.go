package gatekeeper

import "time"

// slotWait returns how long a copy that a runner does not hold waits there for an adapter
// slot. There is no wait while the free slots outnumber the queued copies. Beyond that, each
// slot becomes free after a load and a run, and the wait is divided by the number of slots.
func (d *controller) slotWait(c *runnerState, now time.Time) time.Duration {
	if c.failures >= unresponsive {
		return unresponsiveWait
	}
	p := c.placer
	ahead := p.Waiting() - p.Vacant(now) + 1
	if ahead <= 0 || p.AdapterSlots == 0 {
		return 0
	}
	occupied := d.gatekeeper.LoadTime() + d.gatekeeper.Fleet.RunTime(c.runner.Service)
	return time.Duration(ahead) * occupied / time.Duration(p.AdapterSlots)
}

// publishSlotWait publishes how long a copy waits for an adapter slot at a runner, if that has
// changed.
func (d *controller) publishSlotWait(c *runnerState, now time.Time) {
	wait := d.slotWait(c, now).Round(slotWaitStep)
	if wait == c.publishedWait {
		return
	}
	c.publishedWait = wait
	d.changes.add(event{slotWait: &slotEvent{runner: c.runner.ID, wait: wait}})
}

// slotWaitStep is the granularity of the published wait for a slot: small compared with a load,
// and large enough that most runs that start or end change nothing.
const slotWaitStep = 50 * time.Millisecond

// slotWaits returns how long copies wait for adapter slots, by runner.
func (d *controller) slotWaits(now time.Time) map[string]time.Duration {
	waits := make(map[string]time.Duration, len(d.runners))
	for id, c := range d.runners {
		if c.placer != nil {
			waits[id] = d.slotWait(c, now)
		}
	}
	return waits
}
