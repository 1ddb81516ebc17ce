package placer

import "time"

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
	best time.Duration // that a load takes when few are under way
	size float64       // loads for each engine
}

const (
	// firstSize is the window before anything was seen, in loads for each
	// engine, and mostSize its largest.
	firstSize = 1
	mostSize  = 4
	// leastSize keeps one load going for two engines.
	leastSize = 0.5
	// slower is how much longer than the shortest a load may take while the
	// window opens.
	slower = 1.25
	// opening is by how much each load opens the window, closing by which part
	// of it each closes it: a domain of three engines opens by one load in four
	// seconds at twenty loads a second.
	opening = 0.02
	closing = 0.95
	// forgetting lets the shortest time grow, in case the store has become
	// slower for good.
	forgetting = 1.00005
)

// Learn takes in how long a load is taken to last after one more was seen.
func (w *Window) Learn(load time.Duration) {
	w.init()
	if w.best == 0 || load < w.best {
		w.best = load
	}
	w.best = time.Duration(float64(w.best) * forgetting)
	if float64(load) > slower*float64(w.best) {
		w.size = max(leastSize, w.size*closing)
		return
	}
	w.size = min(mostSize, w.size+opening)
}

// Room returns how many loads may be under way for a number of engines.
func (w *Window) Room(engines int) int {
	w.init()
	return max(1, int(w.size*float64(engines)))
}

func (w *Window) init() {
	if w.size == 0 {
		w.size = firstSize
	}
}
