package gatekeeper

import "time"

// placeWait returns how long a copy that a runner does not hold waits there for a
// place. None is to be waited for as long as more of them can be had at once than
// copies stand in line. Beyond, each place comes free after a load and a run, and
// all of them together so many times as often.
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

// tellRoom notes for the members how long a copy waits for a place at a runner, if
// that is another time than they were told.
func (d *controller) tellRoom(c *runnerState, now time.Time) {
	wait := d.placeWait(c, now).Round(roomStep)
	if wait == c.wait {
		return
	}
	c.wait = wait
	d.news.add(event{room: &roomEvent{runner: c.runner.ID, wait: wait}})
}

// roomStep is in which steps the wait for a place is told: small beside a load,
// and large enough that most runs that begin or end change nothing.
const roomStep = 50 * time.Millisecond

// rooms returns how long copies wait for places, by runner.
func (d *controller) rooms(now time.Time) map[string]time.Duration {
	rooms := make(map[string]time.Duration, len(d.runners))
	for id, c := range d.runners {
		if c.placer != nil {
			rooms[id] = d.placeWait(c, now)
		}
	}
	return rooms
}
