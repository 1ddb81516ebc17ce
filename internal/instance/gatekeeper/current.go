package gatekeeper

import "time"

// currentFor is the age up to which the configuration counts as the newest. Beyond it an
// instance is out of touch, or was asleep.
const currentFor = patience + 500*time.Millisecond

// Current reports whether the configuration in force is known to be the newest.
func (g *Gatekeeper) Current() bool {
	at, ok := g.operator.asOf()
	if !ok || time.Since(at) > currentFor {
		return false
	}
	return !g.operator.doubtful(time.Now())
}
