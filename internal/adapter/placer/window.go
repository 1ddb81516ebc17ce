package placer

import (
	"math"
	"time"
)

// A Window decides how many adapters may be on their way from the weight store
// at once for one failure domain. It is not safe for concurrent use; its zero
// value is ready.
//
// The store slows all loads down in proportion when too many are under way over
// the whole deployment, and nobody tells where that begins. So the window opens
// while loads take about as long as the shortest that were seen, and closes when
// they take longer: with loads that wait in line, the first ones are done sooner
// and the last ones not later.
type Window struct {
	best   time.Duration // that a load takes when few are under way
	closed time.Time     // when the window was last made smaller
	opened float64       // by how much it was opened since opens
	opens  time.Time     // when the time of one load began that bounds opened
	size   float64       // loads for each engine
}

const (
	// firstSize is the window before anything was seen, in loads for each
	// engine, and mostSize its largest: an engine takes no more at once.
	firstSize = 1
	mostSize  = 4
	// leastSize keeps three loads going for four engines. Loads that share the
	// store are all slower but not fewer, while a window that is too small leaves
	// it idle: with one load for two engines, a calm day of the Association had
	// half of the store's rate for ten seconds, and 5 to 7 requests in 100 were
	// refused.
	leastSize = 0.75
	// slower is how much longer than the shortest a load may take while the
	// window opens.
	slower = 1.4
	// opening is by how much each load opens the window: a domain of three
	// engines opens by one load in two seconds at four loads a second. In the time
	// of one load it opens by mostOpening at most: what is learned in it is of loads
	// that began before. Without that bound 28 engines of a grown domain had 50
	// under way within a second, four domains together three times what the store
	// serves at full speed, and loads took 0.9 s instead of 0.3 s for ten seconds.
	opening     = 0.04
	mostOpening = 0.15
	// closing is what is left of the window when loads are too slow. It closes
	// once in the time of a load: what is learned meanwhile is of loads that began
	// before.
	closing = 0.9
	// forgetting lets the shortest time grow, in case the store has become
	// slower for good.
	forgetting = 1.00005
)

// Learn takes in how long a load is taken to last after one more was seen.
func (w *Window) Learn(load time.Duration, now time.Time) {
	w.init()
	if w.best == 0 || load < w.best {
		w.best = load
	}
	w.best = time.Duration(float64(w.best) * forgetting)
	switch {
	case float64(load) <= slower*float64(w.best):
		w.open(load, now)
	case now.Sub(w.closed) >= load:
		w.size = max(leastSize, w.size*closing)
		w.closed = now
	}
}

func (w *Window) open(load time.Duration, now time.Time) {
	if now.Sub(w.opens) >= load {
		w.opens, w.opened = now, 0
	}
	step := min(opening, mostOpening-w.opened)
	w.opened += step
	w.size = min(mostSize, w.size+step)
}

// Room returns how many loads may be under way for a number of engines.
func (w *Window) Room(engines int) int {
	w.init()
	return max(1, int(math.Round(w.size*float64(engines))))
}

func (w *Window) init() {
	if w.size == 0 {
		w.size = firstSize
	}
}
