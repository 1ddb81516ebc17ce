package gatekeeper

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an estimate that grows without limit. All runners start empty and a burst of
// callers arrives: hundreds of loads run at once, the weight store slows them all down, and the
// first request for each finds no adapter. If each of them increased the estimate by a fraction, it
// would reach its bound of three seconds, and callers would be refused for many seconds because no
// adapter could be loaded in time.
func TestManyLateLoadsDoNotInflateTheEstimate(t *testing.T) {
	const actual = 500 * time.Millisecond
	var e estimate
	e.set(initialLoadTime)
	for n := range 250 {
		// The first request to find it loaded came seconds later, so Max is a loose bound.
		e.observe(placer.LoadObservation{Min: 400 * time.Millisecond, Max: 4 * time.Second}, startTime.Add(time.Duration(n)*time.Millisecond))
	}
	if got := e.get(); got < 400*time.Millisecond || got > actual*5/4 {
		t.Errorf("estimate %s after 250 late loads of %s", got, actual)
	}
}

// Guards against an estimate that stays high when loads become faster: requests would be delayed
// for a copy that is already loaded.
func TestEstimateFollowsFasterLoads(t *testing.T) {
	var e estimate
	e.set(time.Second)
	const actual = 250 * time.Millisecond
	for n := range 80 {
		load := placer.LoadObservation{Max: e.get()}
		if e.get() < actual {
			load = placer.LoadObservation{Min: e.get(), Max: actual}
		}
		e.observe(load, startTime.Add(time.Duration(n)*100*time.Millisecond))
	}
	if got := e.get(); got < actual*9/10 || got > actual*5/4 {
		t.Errorf("estimate %s, want about %s", got, actual)
	}
}

// Guards against an estimate that falls too low. A failure domain loads 40 adapters a second, and
// each takes 288 ms. A load is observed when it is complete, when a dozen others have started
// with the same estimate. If each load in time decreased the estimate by a fraction, it would be
// far too low before the first late load was observed, and two requests in five would arrive
// before their adapter and be refused.
func TestFewLoadsAreLateAmongConcurrentLoads(t *testing.T) {
	const (
		actual   = 288 * time.Millisecond
		interval = 25 * time.Millisecond
		loads    = 40 * 60
	)
	var e estimate
	e.set(initialLoadTime)
	type observation struct {
		at   time.Time
		load placer.LoadObservation
	}
	var pending []observation
	late, high := 0, 0
	for n := range loads {
		now := startTime.Add(time.Duration(n) * interval)
		for len(pending) > 0 && !pending[0].at.After(now) {
			e.observe(pending[0].load, pending[0].at)
			pending = pending[1:]
		}
		expected := e.get()
		if expected > actual*5/4 {
			high++
		}
		load := placer.LoadObservation{Max: expected}
		for load.Max < actual {
			load.Min = load.Max
			load.Max += expected / 4
		}
		if load.Min > 0 {
			late++
		}
		pending = append(pending, observation{now.Add(load.Max), load})
	}
	if late > loads/6 || high > loads/20 {
		t.Errorf("of %d loads %d were late, and %d had an estimate more than a quarter too high", loads, late, high)
	}
}
