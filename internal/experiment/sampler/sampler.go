// Package sampler draws workloads: which caller asks what, when. The same seed
// draws the same workload.
package sampler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A Call is one request that a caller will send.
type Call struct {
	At             time.Duration // since the start
	Adapter        string        // name@version; empty for a plain call
	Deadline       time.Duration
	HomeDomain     int    // failure domain of the caller, as a number; the caller's desk does not move
	IdempotencyKey string // idempotency key; empty if none
	Marker         string // what the caller says; no two calls share one
	Once           bool
	Priority       int
	Stream         bool
	Tokens         int
}

// A Shape is how the arrivals spread over the time and the adapters.
type Shape string

// The shapes.
const (
	Cutoff Shape = "cutoff" // denser towards a cut-off, with deadlines at it
	Shift  Shape = "shift"  // a shift change: most callers in a short burst
	Hot    Shape = "hot"    // the hot set changes again and again
	Wave   Shape = "wave"   // every caller on the hour, again and again
	Zipf   Shape = "zipf"   // steady, skewed
)

// Shapes lists the shapes.
var Shapes = []Shape{Cutoff, Hot, Shift, Wave, Zipf}

// A Workload describes what is drawn.
type Workload struct {
	Adapters int           `yaml:"adapters"` // that there are
	Away     float64       `yaml:"away"`     // part of the calls that come to another domain than most for their adapter
	Calls    int           `yaml:"calls"`
	Group    string        `yaml:"group"` // name of the adapter group
	Near     float64       `yaml:"near"`  // part of the calls with a near deadline
	Once     float64       `yaml:"once"`  // part that must not run twice
	Plain    float64       `yaml:"plain"` // part that goes to the plain service
	Seed     uint64        `yaml:"seed"`
	Shape    Shape         `yaml:"shape"`
	Skew     float64       `yaml:"skew"` // exponent of the popularity, above 1
	Span     time.Duration `yaml:"span"`
	Tokens   int           `yaml:"tokens"` // mean length of an answer
	Versions int           `yaml:"versions"`
}

const (
	farDeadline   = 15 * time.Second
	nearDeadline  = 3 * time.Second
	burstFraction = 0.7 // of a shift change's calls that come in the burst
	burstSpan     = 0.2 // of the time that the burst takes
	waveCount     = 4   // in the time
	waveSpan      = 0.15
	hotSetShifts  = 5 // of the hot set in the time
	maxAwayOffset = 3 // further ones that a call may come to
)

// Draw returns the calls in order of arrival.
func (w *Workload) Draw() ([]Call, error) {
	if err := w.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(w.Seed, 0))
	zipf := rand.NewZipf(random, w.Skew, 1, uint64(w.Adapters-1))
	order := random.Perm(w.Adapters)
	calls := make([]Call, w.Calls)
	for i := range calls {
		calls[i] = w.call(i, random, zipf, order)
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return int(a.At - b.At) })
	return calls, nil
}

func (w *Workload) call(i int, random *rand.Rand, zipf *rand.Zipf, order []int) Call {
	at := w.arrival(random)
	c := Call{
		At: at, Deadline: farDeadline, Marker: fmt.Sprintf("s%d-c%d", w.Seed, i),
		Stream: random.IntN(2) == 0, Tokens: 1 + random.IntN(2*w.Tokens),
	}
	rank := int(zipf.Uint64())
	if w.Shape == Hot {
		rank += int(at*hotSetShifts/w.Span) * w.Adapters / hotSetShifts
	}
	adapter := order[rank%w.Adapters]
	c.HomeDomain = adapter
	if random.Float64() < w.Away {
		c.HomeDomain += 1 + random.IntN(maxAwayOffset)
	}
	if random.Float64() >= w.Plain {
		c.Adapter = fmt.Sprintf("%s-%d@%d", w.Group, adapter, 1+adapter%max(1, w.Versions))
	}
	if random.Float64() < w.Near {
		c.Deadline = nearDeadline
		c.Priority = 1
	}
	if random.Float64() < w.Once {
		c.Once = true
		c.IdempotencyKey = c.Marker
	}
	if w.Shape == Cutoff {
		c.Deadline = max(nearDeadline, w.Span-at+nearDeadline)
	}
	return c
}

func (w *Workload) arrival(random *rand.Rand) time.Duration {
	u := random.Float64()
	switch w.Shape {
	case Shift:
		if random.Float64() < burstFraction {
			u = (1-burstSpan)/2 + u*burstSpan
		}
	case Wave:
		wave := math.Floor(u * waveCount)
		u = (wave + random.Float64()*waveSpan) / waveCount
	case Cutoff:
		u = math.Sqrt(u)
	case Hot, Zipf:
	}
	return time.Duration(u * float64(w.Span))
}

func (w *Workload) check() error {
	if !slices.Contains(Shapes, w.Shape) {
		return fmt.Errorf("shape: %q is unknown; write one of %v", w.Shape, Shapes)
	}
	if w.Adapters < 2 || w.Calls < 1 || w.Span <= 0 || w.Tokens < 1 {
		return fmt.Errorf("adapters, calls, span and tokens must be set: adapters at least 2, the others above 0")
	}
	if w.Skew <= 1 {
		return fmt.Errorf("skew: %v is too small; write a number above 1", w.Skew)
	}
	return nil
}
