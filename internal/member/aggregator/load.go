package aggregator

import "github.com/sardinetiller/sardinetiller/internal/upstream/tracker"

// Load returns the load that all members together put on a runner.
func (a *Aggregator) Load(runner string) tracker.Load { return a.loads[runner] }
