package forecaster

import (
	"math"
	"time"
)

// A rate is a doubly exponentially smoothed arrival rate with its trend (Brown's method), in
// continuous time. Its zero value is a rate of zero.
type rate struct {
	at     time.Time // up to which it has decayed
	once   float64   // smoothed once, per second
	twice  float64   // smoothed twice, per second
	steady float64   // smoothed once over steadyTime, per second
}

const (
	// rateTime is the time constant of the smoothed rate. Within it, 7 requests for the most
	// popular adapter arrive in one of three failure domains (28 a second), which is enough to
	// tell it from one that is requested twice; the set of popular adapters may change every
	// second.
	rateTime = 250 * time.Millisecond
	// steadyTime is the time constant of the rate by which a copy is kept: about half of the
	// longest time for which an adapter stays popular.
	steadyTime = 4 * time.Second
)

// add records n arrivals.
func (r *rate) add(n int, now time.Time) {
	r.decay(now)
	r.once += float64(n) / rateTime.Seconds()
	r.steady += float64(n) / steadyTime.Seconds()
}

// decay advances the rate to now.
func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	r.at = now
	if r.once == 0 && r.twice == 0 && r.steady == 0 {
		return
	}
	x := elapsed.Seconds() / rateTime.Seconds()
	fade := math.Exp(-x)
	r.once, r.twice = r.once*fade, (r.twice+r.once*x)*fade
	r.steady *= math.Exp(-elapsed.Seconds() / steadyTime.Seconds())
}

// level returns the current rate per second, without the lag of the smoothing.
func (r *rate) level() float64 { return max(0, 2*r.once-r.twice) }

// merge adds the arrivals of another rate.
func (r *rate) merge(other rate, now time.Time) {
	r.decay(now)
	other.decay(now)
	r.once += other.once
	r.twice += other.twice
	r.steady += other.steady
}

// trend returns by how much the rate grows in a second.
func (r *rate) trend() float64 { return (r.once - r.twice) / rateTime.Seconds() }
