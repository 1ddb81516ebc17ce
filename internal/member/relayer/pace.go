package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
)

// A Pace is the latest statement of a runner about its pace that the sender of a Demand has
// received since its last one.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Percent int
	Age     time.Duration // since it was stated
}

// A RunnerPace is what the leader knows of a runner's pace.
type RunnerPace struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Usual   int           // median of its statements, in percent
	Mean    int           // mean of its statements, in percent
	Percent int           // latest statement of a runner that is slower than usual; 0 for any other
	Age     time.Duration // since that was stated
}

// NewPace describes a statement of a runner.
func NewPace(runner string, s gauger.Statement, now time.Time) Pace {
	return Pace{Runner: runner, Percent: s.Percent, Age: now.Sub(s.At).Round(time.Millisecond)}
}

// Statement returns the statement that p describes. An age below zero, which no sender has
// measured, counts as zero: a statement from the future would supersede all later ones.
func (p Pace) Statement(now time.Time) gauger.Statement {
	return gauger.Statement{At: now.Add(-max(0, p.Age)), Percent: p.Percent}
}

// Estimate returns the estimate that p describes.
func (p RunnerPace) Estimate() gauger.Estimate {
	return gauger.Estimate{Mean: float64(p.Mean), Usual: float64(p.Usual)}
}

// Statement returns the statement that p describes; its Percent is 0 if there is none.
func (p RunnerPace) Statement(now time.Time) gauger.Statement {
	return Pace{Percent: p.Percent, Age: p.Age}.Statement(now)
}
