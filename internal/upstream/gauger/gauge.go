// Package gauger estimates the pace of a runner from the statements in its responses.
//
// A pace is how long work takes at a runner, in percent of the usual time: at 250 it takes
// 2.5 times as long. It is the product of the runner's own speed, which lasts, and of the load
// that neighbours put on its host, which passes within some hundred milliseconds.
package gauger

import (
	"slices"
	"time"
)

// A Gauge estimates the pace of one incarnation of a runner. The zero value is ready to use; it
// is not safe for concurrent use.
type Gauge struct {
	latest     Statement
	own        Estimate    // from samples
	reported   Estimate    // by another instance, which knows more statements
	reportedAt time.Time   // zero if none was reported
	samples    []Statement // at most one each sampleInterval, oldest first
}

// An Estimate is the pace of a runner over some time, in percent.
type Estimate struct {
	Mean  float64 // with the passing slowness
	Usual float64 // median, which passing slowness does not move
}

// A Statement is a pace that a runner stated.
type Statement struct {
	At      time.Time
	Percent int
}

const (
	// Fresh is how long a statement says something about the present. Observed paces are
	// drawn anew each 600 ms at an unknown phase, so that the probability that a statement
	// still holds decreases linearly to zero over this time.
	Fresh = 600 * time.Millisecond
	// Memory is how long a statement counts. A runner that has stated nothing for longer is
	// treated as one that never did.
	Memory = 30 * time.Second
	// sampleInterval is the least time between two samples. A busy runner makes hundreds of
	// statements during one passing slowness, which would otherwise become the median.
	sampleInterval = Fresh / 2
	// maxSamples bounds the samples. They span 9 s at least, or 15 draws, of which 2 are slow
	// on average.
	maxSamples = 31
	// minSamples is how many samples outweigh a reported estimate. With 15 of 100 draws slow,
	// the median of 11 independent samples is a slow one in 0.3 of 100 cases.
	minSamples = 11
	// maxPercent bounds a pace: work that takes a hundred times as long meets no time limit,
	// and one such value would hide the differences between all others.
	maxPercent = 10_000
)

// Valid reports whether a number can be a pace.
func Valid(percent int) bool { return percent > 0 && percent <= maxPercent }

// Adopt records the estimate of an instance that knows more statements of the runner.
func (g *Gauge) Adopt(e Estimate, at time.Time) {
	if e.Mean > 0 && e.Mean <= maxPercent && e.Usual > 0 && e.Usual <= maxPercent && !at.Before(g.reportedAt) {
		g.reported, g.reportedAt = e, at
	}
}

// Estimate returns the pace over some time; ok is false if no statement counts any more.
func (g *Gauge) Estimate(now time.Time) (e Estimate, ok bool) {
	known := len(g.samples) > 0 && now.Sub(g.samples[len(g.samples)-1].At) <= Memory
	reported := !g.reportedAt.IsZero() && now.Sub(g.reportedAt) <= Memory
	switch {
	case known && (len(g.samples) >= minSamples || !reported):
		return g.own, true
	case reported:
		return g.reported, true
	default:
		return Estimate{}, false
	}
}

// Expected returns the pace that is expected now: the latest statement, moving linearly to the
// mean while the statement ages. ok is false if no statement counts any more.
func (g *Gauge) Expected(now time.Time) (percent float64, ok bool) {
	e, ok := g.Estimate(now)
	if !ok {
		return 0, false
	}
	age := now.Sub(g.latest.At)
	if g.latest.Percent == 0 || age >= Fresh {
		return e.Mean, true
	}
	weight := 1 - float64(max(0, age))/float64(Fresh)
	return weight*float64(g.latest.Percent) + (1-weight)*e.Mean, true
}

// Latest returns the latest statement; its Percent is 0 if there is none.
func (g *Gauge) Latest() Statement { return g.latest }

// Observe records a statement. It ignores one that is not later than the latest, and one that
// is not valid.
func (g *Gauge) Observe(s Statement) {
	if !g.ObserveSlow(s) {
		return
	}
	if n := len(g.samples); n > 0 && s.At.Sub(g.samples[n-1].At) < sampleInterval {
		return
	}
	g.samples = slices.DeleteFunc(g.samples, func(old Statement) bool { return s.At.Sub(old.At) > Memory })
	if len(g.samples) == maxSamples {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
	g.samples = append(g.samples, g.latest)
	g.own = estimate(g.samples)
}

// ObserveSlow records a statement that another instance passed on because it is slower than
// usual, and reports whether it is valid and later than the latest. It is no sample: an instance
// with few statements of its own would take the slow ones that it is sent for the usual pace.
func (g *Gauge) ObserveSlow(s Statement) (recorded bool) {
	if !Valid(s.Percent) || !s.At.After(g.latest.At) {
		return false
	}
	g.latest = s
	return true
}

// estimate returns the mean and the median of the samples. The median of an even number is the
// lower of the two in the middle, as passing slowness only increases a pace.
func estimate(samples []Statement) Estimate {
	var sorted [maxSamples]int
	sum := 0
	for n, s := range samples {
		sorted[n] = s.Percent
		sum += s.Percent
	}
	slices.Sort(sorted[:len(samples)])
	return Estimate{Mean: float64(sum) / float64(len(samples)), Usual: float64(sorted[(len(samples)-1)/2])}
}
