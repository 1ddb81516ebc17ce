package forecaster

import (
	"math"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// An adapter is the demand for one adapter version.
type adapter struct {
	copy           placer.Copy
	rate           rate
	index          int       // in Forecaster.order
	lastArrival    time.Time // the last request arrived or waited
	interval       int64     // number of the burstInterval of the last arrival
	intervals      int       // intervals with arrivals, in a series without a pause of seriesPause
	counted        int       // waiting requests that were counted as arrivals
	inProgress     int       // requests that use a copy or wait for one, as of the last step
	waiting        int       // those that wait for one
	planned        int       // copies needed or held, as of the last plan
	highest        int       // copies needed at most within holdTime
	highestAt      time.Time // when highest was needed
	successorUntil time.Time // until when it needs a copy, as the successor of a version that had requests
}

const (
	// burstInterval, seriesPause and lastingIntervals tell demand that lasts from a burst of one
	// caller: requests arrive in this many intervals, with no pause between them. An adapter
	// with 28 requests a second reaches it in 150 to 250 ms; requests that one caller sends at
	// once never do.
	burstInterval    = 50 * time.Millisecond
	seriesPause      = 500 * time.Millisecond
	lastingIntervals = 3
	// maxTrend bounds by what fraction of the rate the trend changes it until the copies have
	// loaded. Over few arrivals the trend is mostly noise.
	maxTrend = 0.1
	// maxRelative bounds the expected requests relative to those of the steady state at the
	// current rate: the ones in progress beyond that came in a burst, and a copy that is loaded
	// now does not serve them.
	maxRelative = 2
	// minRunTime bounds the run time against an estimate that was not measured yet.
	minRunTime = 50 * time.Millisecond
	// holdTime is for how long the need does not fall, so that the noise of few arrivals does not
	// withdraw copies that are requested again in the next step.
	holdTime = 500 * time.Millisecond
	// successorTime is for how long after the last request for a version its successor is loaded
	// although no request waits for it.
	successorTime = 3 * time.Second
)

// arrive records n requests.
func (a *adapter) arrive(n int, now time.Time) {
	if now.Sub(a.lastArrival) > seriesPause {
		a.intervals = 0
	}
	interval := now.UnixNano() / int64(burstInterval)
	if a.intervals == 0 || interval != a.interval {
		a.intervals = min(lastingIntervals, a.intervals+1)
	}
	a.interval, a.lastArrival = interval, now
	a.rate.add(n, now)
}

// expected returns the requests expected to be in progress when a copy that is requested now
// can be used.
func (a *adapter) expected(capacity Capacity, now time.Time) float64 {
	horizon := (capacity.LoadTime + planDelay).Seconds()
	run := max(minRunTime, capacity.RunTime).Seconds()
	arrivals := a.rateAt(horizon, now)
	remaining := math.Exp(-horizon / run)
	expected := float64(a.inProgress)*remaining + arrivals*run*(1-remaining)
	return min(expected, maxRelative*arrivals*run)
}

// lasts reports whether requests have been arriving for some time.
func (a *adapter) lasts(now time.Time) bool {
	return a.intervals >= lastingIntervals && now.Sub(a.lastArrival) <= seriesPause
}

// needed returns how many copies are needed.
func (a *adapter) needed(capacity Capacity, now time.Time) int {
	n := int(math.Ceil(a.expected(capacity, now)/capacity.carry() - slack))
	if !a.lasts(now) {
		n = min(n, 1)
	}
	if n > 0 && now.Sub(a.highestAt) <= holdTime {
		n = max(n, a.highest) // a first copy is loaded only while a request waits for it
	}
	if a.waiting > 0 || now.Before(a.successorUntil) {
		n = max(n, 1)
	}
	return min(max(0, n), capacity.maxCopies())
}

// plan returns how many copies are needed, and keeps the highest need.
func (a *adapter) plan(capacity Capacity, held int, now time.Time) int {
	n := a.needed(capacity, now)
	if n >= a.highest || now.Sub(a.highestAt) > holdTime {
		a.highest, a.highestAt = n, now
	}
	a.planned = max(n, held)
	return n
}

// rateAt returns the expected rate of arrivals per second up to a horizon in seconds.
func (a *adapter) rateAt(horizon float64, now time.Time) float64 {
	a.rate.decay(now)
	level := a.rate.level()
	limit := maxTrend * level
	return level + min(limit, max(-limit, a.rate.trend()*horizon))
}
