// Package sampler draws random workloads: when each caller sends which request. The
// same seed always gives the same workload.
package sampler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A Call is a request to send.
type Call struct {
	At       time.Duration // relative to the start of the workload
	Adapter  string        // name@version; empty for a plain call
	Deadline time.Duration
	// HomeDomain is the index of the caller's failure domain, modulo their number. It
	// is the same for all calls of an adapter, except for the fraction Workload.Away.
	HomeDomain     int
	IdempotencyKey string // empty if none
	Marker         string // content of the prompt or record, unique to the call
	Once           bool   // must not be executed more than once
	Priority       int
	Stream         bool
	Tokens         int // length of the response
}

// A Shape determines the distribution of calls over time and adapters.
type Shape string

// The workload shapes.
const (
	Cutoff Shape = "cutoff" // rate increases towards a cut-off time, with deadlines shortly after it
	Shift  Shape = "shift"  // a shift change: most calls arrive in one short burst
	Hot    Shape = "hot"    // the set of popular adapters changes repeatedly
	Wave   Shape = "wave"   // periodic bursts, as when all callers call on the hour
	Zipf   Shape = "zipf"   // constant rate, Zipf-distributed popularity
)

// Shapes lists all shapes.
var Shapes = []Shape{Cutoff, Hot, Shift, Wave, Zipf}

// A Workload holds the parameters of a workload.
type Workload struct {
	Adapters int           `yaml:"adapters"` // number of adapters in the group
	Away     float64       `yaml:"away"`     // fraction of the calls sent to a domain other than their adapter's usual one
	Calls    int           `yaml:"calls"`
	Group    string        `yaml:"group"` // name of the adapter group
	Near     float64       `yaml:"near"`  // fraction of the calls with a short deadline and raised priority
	Once     float64       `yaml:"once"`  // fraction of the calls that must not be executed more than once
	Plain    float64       `yaml:"plain"` // fraction of the calls that go to the plain service
	Seed     uint64        `yaml:"seed"`
	Shape    Shape         `yaml:"shape"`
	Skew     float64       `yaml:"skew"` // exponent of the Zipf distribution of adapters, above 1
	Span     time.Duration `yaml:"span"`
	Tokens   int           `yaml:"tokens"` // mean length of a response
	Versions int           `yaml:"versions"`
}

const (
	farDeadline   = 15 * time.Second
	nearDeadline  = 3 * time.Second
	burstFraction = 0.7  // fraction of the calls of Shift that arrive in the burst
	burstSpan     = 0.2  // duration of that burst, as a fraction of the span
	waveCount     = 4    // number of bursts of Wave
	waveSpan      = 0.15 // duration of a burst of Wave, as a fraction of its period
	hotSetShifts  = 5    // number of hot sets of Hot
	maxAwayOffset = 3    // largest offset of a call's domain from the usual one of its adapter
)

// Draw returns the calls in the order of their arrival.
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
