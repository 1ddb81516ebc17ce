package gatekeeper

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// All runners start empty and a burst of callers comes. Hundreds of loads are
// under way at once, the weight store slows them all down, and the first request
// for each comes in vain. Had each of them made the estimate longer by a part,
// it would stand at its bound of three seconds, and callers would be told for
// many seconds that no adapter can come in time.
func TestManyLateLoadsAtOnceDoNotCarryTheEstimateAway(t *testing.T) {
	const actual = 500 * time.Millisecond
	var e estimate
	e.set(firstLoad)
	for n := range 250 {
		// The request that found it there came seconds later: it says little.
		e.learn(placer.Arrival{Least: 400 * time.Millisecond, Most: 4 * time.Second}, began.Add(time.Duration(n)*time.Millisecond))
	}
	if got := e.get(); got < 400*time.Millisecond || got > actual*5/4 {
		t.Errorf("estimate %s after 250 late loads of %s", got, actual)
	}
}

// Loads become as fast again as they were. The estimate follows, so that a
// request is not held back for a copy that is there.
func TestEstimateFollowsLoadsThatBecomeFaster(t *testing.T) {
	var e estimate
	e.set(time.Second)
	const actual = 250 * time.Millisecond
	for n := range 80 {
		a := placer.Arrival{Most: e.get()}
		if e.get() < actual {
			a = placer.Arrival{Least: e.get(), Most: actual}
		}
		e.learn(a, began.Add(time.Duration(n)*100*time.Millisecond))
	}
	if got := e.get(); got < actual*9/10 || got > actual*5/4 {
		t.Errorf("estimate %s, want about %s", got, actual)
	}
}

// A failure domain loads 40 adapters a second, and each takes 288 ms. What a load
// tells comes when it is over, when a dozen others have begun by the same
// estimate. If each that is in time makes the estimate shorter by a part, it has
// become far too short before the first late load shows, and two requests in five
// come for an adapter that is not there yet and are refused.
func TestFewLoadsAreLateWhereManyAreUnderWay(t *testing.T) {
	const (
		actual = 288 * time.Millisecond
		pause  = 25 * time.Millisecond
		loads  = 40 * 60
	)
	var e estimate
	e.set(firstLoad)
	type told struct {
		at time.Time
		a  placer.Arrival
	}
	var under []told
	late, high := 0, 0
	for n := range loads {
		now := began.Add(time.Duration(n) * pause)
		for len(under) > 0 && !under[0].at.After(now) {
			e.learn(under[0].a, under[0].at)
			under = under[1:]
		}
		expected := e.get()
		if expected > actual*5/4 {
			high++
		}
		a := placer.Arrival{Most: expected}
		for a.Most < actual {
			a.Least = a.Most
			a.Most += expected / 4
		}
		if a.Least > 0 {
			late++
		}
		under = append(under, told{now.Add(a.Most), a})
	}
	if late > loads/6 || high > loads/20 {
		t.Errorf("of %d loads %d were late, and %d were expected a quarter too late", loads, late, high)
	}
}
