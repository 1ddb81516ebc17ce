package placer

import (
	"math"
	"time"
)

// A Window limits the concurrent loads from the weight store for one failure
// domain, like a congestion window with additive increase and multiplicative
// decrease. It is not safe for concurrent use; its zero value is ready to use.
//
// Beyond some number of loads in the whole deployment the store slows all of
// them down in proportion, and that number is not known. So the window grows
// while loads take about as long as the fastest that were observed, and shrinks
// when they take longer: if the excess loads are queued, the first ones complete
// sooner and the last ones no later.
type Window struct {
	fastest     time.Duration // shortest load time observed
	lastShrink  time.Time     // when the window last shrank
	growth      float64       // growth since growthStart
	growthStart time.Time     // start of the interval of one load time in which growth is bounded
	size        float64       // loads per engine
}

const (
	// initialSize is the initial window, in loads per engine, and maxSize the
	// largest: an engine accepts no more loads at once.
	initialSize = 1
	maxSize     = 4
	// minSize allows three loads per four engines. Too many concurrent loads
	// slow each other down but do not lower the throughput of the store, while a
	// window that is too small leaves it idle: with one load per two engines, an
	// experiment under light load used half of the store's rate for ten seconds,
	// and 5 to 7 requests in 100 were refused.
	minSize = 0.75
	// slowdownLimit is the ratio to the shortest load time up to which the window
	// grows.
	slowdownLimit = 1.4
	// growthStep is the growth per completed load: at four loads a second, the window
	// of a domain with three engines grows by one load in two seconds. Within one
	// load time it grows by maxGrowth at most, as the loads that complete in it
	// started before the growth. Without that bound, a domain of 28 engines had 50
	// loads in progress within a second, four domains together three times what
	// the store serves at full speed, and loads took 0.9 s instead of 0.3 s for
	// ten seconds.
	growthStep = 0.04
	maxGrowth  = 0.15
	// shrinkFactor is the factor by which the window shrinks when loads are too slow,
	// once per load time at most, as the loads that complete meanwhile started
	// before it shrank.
	shrinkFactor = 0.9
	// fastestDecay is the factor by which the shortest load time grows with each
	// load, in case the store has become slower permanently.
	fastestDecay = 1.00005
)

// ObserveLoadTime adjusts the window to the current estimate of the load time. It is called
// after each observed load.
func (w *Window) ObserveLoadTime(load time.Duration, now time.Time) {
	w.init()
	if w.fastest == 0 || load < w.fastest {
		w.fastest = load
	}
	w.fastest = time.Duration(float64(w.fastest) * fastestDecay)
	switch {
	case float64(load) <= slowdownLimit*float64(w.fastest):
		w.grow(load, now)
	case now.Sub(w.lastShrink) >= load:
		w.size = max(minSize, w.size*shrinkFactor)
		w.lastShrink = now
	}
}

func (w *Window) grow(load time.Duration, now time.Time) {
	if now.Sub(w.growthStart) >= load {
		w.growthStart, w.growth = now, 0
	}
	step := min(growthStep, maxGrowth-w.growth)
	w.growth += step
	w.size = min(maxSize, w.size+step)
}

// Limit returns how many loads may be in progress for a number of engines.
func (w *Window) Limit(engines int) int {
	w.init()
	return max(1, int(math.Round(w.size*float64(engines))))
}

func (w *Window) init() {
	if w.size == 0 {
		w.size = initialSize
	}
}
