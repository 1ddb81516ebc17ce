package forecaster

import (
	"math"
	"time"
)

// A load is the load of all adapters, from which follows how long a request runs. The run time
// that an instance measures itself is that of its own requests, a few in a second, and starts
// far below the actual one. Its zero value is ready to use.
type load struct {
	arrivals   rate
	inProgress float64 // smoothed over steadyTime
	at         time.Time
}

// maxRunTime bounds the run time against requests that end late or never.
const maxRunTime = 5 * time.Second

// arrive records a request.
func (l *load) arrive(now time.Time) { l.arrivals.add(1, now) }

// atLeast returns the capacity with a run time of at least the observed one: the mean number of
// requests in progress divided by the mean rate of arrivals (Little's law).
func (l *load) atLeast(capacity Capacity, now time.Time) Capacity {
	l.arrivals.decay(now)
	if l.arrivals.steady > 0 {
		run := time.Duration(l.inProgress / l.arrivals.steady * float64(time.Second))
		capacity.RunTime = max(capacity.RunTime, min(maxRunTime, run))
	}
	return capacity
}

// observe records the requests in progress.
func (l *load) observe(inProgress int, now time.Time) {
	if l.at.IsZero() {
		l.at = now // starts at zero, as the rate of arrivals does
	}
	weight := 1 - math.Exp(-now.Sub(l.at).Seconds()/steadyTime.Seconds())
	l.inProgress += weight * (float64(inProgress) - l.inProgress)
	l.at = now
}
