package gatekeeper

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// All runners start empty and a burst of callers comes. Hundreds of loads are
// under way at once, the weight store slows them all down, and the first request
// for each comes in vain. Had each of them made the estimate longer by a part,
// it would stand at its bound of three seconds, and callers would be told for
// many seconds that no adapter can come in time.
func TestManyLateLoadsAtOnceDoNotCarryTheEstimateAway(t *testing.T) {
	const real = 500 * time.Millisecond
	var e estimate
	e.set(firstLoad)
	for range 250 {
		// The request that found it there came seconds later: it says little.
		e.learn(placer.Arrival{Least: 400 * time.Millisecond, Most: 4 * time.Second})
	}
	if got := e.get(); got < 400*time.Millisecond || got > real*5/4 {
		t.Errorf("estimate %s after 250 late loads of %s", got, real)
	}
}

// Loads become as fast again as they were. The estimate follows, so that a
// request is not held back for a copy that is there.
func TestEstimateFollowsLoadsThatBecomeFaster(t *testing.T) {
	var e estimate
	e.set(time.Second)
	const real = 250 * time.Millisecond
	for range 80 {
		a := placer.Arrival{Most: e.get()}
		if e.get() < real {
			a = placer.Arrival{Least: e.get(), Most: real}
		}
		e.learn(a)
	}
	if got := e.get(); got < real*9/10 || got > real*5/4 {
		t.Errorf("estimate %s, want about %s", got, real)
	}
}
