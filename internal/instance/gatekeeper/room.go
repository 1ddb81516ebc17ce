package gatekeeper

import "time"

// placeWait returns how long a copy that a runner does not hold waits there for an adapter
// slot. There is no wait while the free slots outnumber the queued copies. Beyond that, each
// slot becomes free after a load and a run, and the wait is divided by the number of slots.
func (d *controller) placeWait(c *runnerState, now time.Time) time.Duration {
	if c.dark >= dark {
		return darkWait
	}
	p := c.placer
	ahead := p.Waiting() - p.Vacant(now) + 1
	if ahead <= 0 || p.Places == 0 {
		return 0
	}
	hold := d.gatekeeper.LoadTime() + d.gatekeeper.Fleet.Run(c.runner.Service)
	return time.Duration(ahead) * hold / time.Duration(p.Places)
}

// tellRoom publishes how long a copy waits for an adapter slot at a runner, if that has
// changed.
func (d *controller) tellRoom(c *runnerState, now time.Time) {
	wait := d.placeWait(c, now).Round(roomStep)
	if wait == c.wait {
		return
	}
	c.wait = wait
	d.news.add(event{room: &roomEvent{runner: c.runner.ID, wait: wait}})
}

// roomStep is the granularity of the published wait for a slot: small compared with a load,
// and large enough that most runs that start or end change nothing.
const roomStep = 50 * time.Millisecond

// rooms returns how long copies wait for adapter slots, by runner.
func (d *controller) rooms(now time.Time) map[string]time.Duration {
	rooms := make(map[string]time.Duration, len(d.runners))
	for id, c := range d.runners {
		if c.placer != nil {
			rooms[id] = d.placeWait(c, now)
		}
	}
	return rooms
}
