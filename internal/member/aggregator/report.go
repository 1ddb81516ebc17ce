package aggregator

import (
	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Key identifies a copy at a runner.
type Key struct {
	Runner string
	Copy   placer.Copy
}

// A Report is a report of what the requests of one or several instances need and use
// at the runners of a failure domain. It is complete: an entry that it lacks has
// ended.
type Report struct {
	Instances int                     // that it covers
	Loads     map[string]tracker.Load // by runner
	Uses      map[Key]int             // number of requests that use a copy, which must not be evicted
	Waits     map[Key]placer.Waiting  // requests that wait for a copy
}

// Add adds another report to this one.
func (r *Report) Add(other Report) {
	r.Instances += other.Instances
	if r.Loads == nil {
		r.Loads = make(map[string]tracker.Load, len(other.Loads))
	}
	for runner, load := range other.Loads {
		r.Loads[runner] = r.Loads[runner].Plus(load)
	}
	if r.Uses == nil {
		r.Uses = make(map[Key]int, len(other.Uses))
	}
	for k, n := range other.Uses {
		r.Uses[k] += n
	}
	if r.Waits == nil {
		r.Waits = make(map[Key]placer.Waiting, len(other.Waits))
	}
	for k, waiting := range other.Waits {
		if sum, ok := r.Waits[k]; ok {
			waiting = sum.Plus(waiting)
		}
		r.Waits[k] = waiting
	}
}
