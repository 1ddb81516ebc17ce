package gatekeeper

import "time"

// slotWait returns how long a copy that a runner does not hold waits there for an adapter
// slot. There is no wait while the free slots outnumber the queued copies. Beyond that, each
// slot becomes free after a load and a run, and the wait is divided by the number of slots.
// Nothing is loaded at a runner that does not respond, leaves or rests.
func (c *controller) slotWait(state *runnerState, now time.Time) time.Duration {
	if state.failures >= unresponsive || c.gatekeeper.Fleet.Declines(state.runner.ID, now) {
		return unresponsiveWait
	}
	p := state.placer
	ahead := p.Waiting() - p.Vacant(now) + 1
	if ahead <= 0 || p.AdapterSlots == 0 {
		return 0
	}
	occupied := c.gatekeeper.LoadTime() + c.gatekeeper.Fleet.RunTimeAt(state.runner, now)
	return time.Duration(ahead) * occupied / time.Duration(p.AdapterSlots)
}

// publishSlotWait publishes how long a copy waits for an adapter slot at a runner, if that has
// changed.
func (c *controller) publishSlotWait(state *runnerState, now time.Time) {
	wait := c.slotWait(state, now).Round(slotWaitStep)
	if wait == state.publishedWait {
		return
	}
	state.publishedWait = wait
	c.changes.add(event{slotWait: &slotEvent{runner: state.runner.ID, wait: wait}})
}

// slotWaitStep is the granularity of the published wait for a slot: small compared with a load,
// and large enough that most runs that start or end change nothing.
const slotWaitStep = 50 * time.Millisecond

// slotWaits returns how long copies wait for adapter slots, by runner.
func (c *controller) slotWaits(now time.Time) map[string]time.Duration {
	waits := make(map[string]time.Duration, len(c.runners))
	for id, state := range c.runners {
		if state.placer != nil {
			waits[id] = c.slotWait(state, now)
		}
	}
	return waits
}
