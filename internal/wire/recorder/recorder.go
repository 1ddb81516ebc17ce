// Package recorder writes the log of decisions: one line for each, bounded in
// volume, and never in the way of the work that it tells of.
package recorder

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// A Kind is what a line tells of. Each has a bound of its own, so that a flood
// of one kind does not hide another.
type Kind string

// The kinds.
const (
	Answered  Kind = "answered"  // a request that got its whole answer
	Belief    Kind = "belief"    // a change of what the process believes
	Config    Kind = "config"    // a version of the configuration in force
	Failed    Kind = "failed"    // a request that did not
	Lifecycle Kind = "lifecycle" // start, stop, reload, a dependency lost or back
	Order     Kind = "order"     // an order to a runner
	Retry     Kind = "retry"     // a request that is sent again
	Suspect   Kind = "suspect"   // a request that may crash runners
)

// rates bound the lines a second of each kind. Their sum at about 250 bytes a
// line stays below 100 KB/s, and the failures of a bad second are all there.
var rates = map[Kind]float64{
	Answered: 20, Belief: 50, Config: 20, Failed: 100, Lifecycle: 50, Order: 100, Retry: 50, Suspect: 50,
}

// queue is how many lines may wait for a slow reader of the log.
const queue = 1024

// A Recorder writes lines. Its fields are set before Run; Log may be called
// before and from anywhere.
type Recorder struct {
	Instance string
	Metrics  *metrics.Set
	Out      io.Writer

	once    sync.Once
	lines   chan []any
	mu      sync.Mutex
	budgets map[Kind]*budget
}

type budget struct {
	left    float64
	last    time.Time
	dropped *metrics.Counter
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.lines = make(chan []any, queue)
		r.budgets = make(map[Kind]*budget)
		for kind, rate := range rates {
			r.budgets[kind] = &budget{
				left:    rate,
				dropped: r.Metrics.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="` + string(kind) + `"}`),
			}
		}
	})
}

// Log queues a line, or drops and counts it.
func (r *Recorder) Log(kind Kind, fields ...any) {
	r.init()
	now := time.Now()
	if !r.take(kind, now) {
		return
	}
	line := append([]any{"ts", now.UTC().Format("2006-01-02T15:04:05.000Z"), "instance", r.Instance, "kind", string(kind)}, fields...)
	select {
	case r.lines <- line:
	default:
		r.budgets[kind].dropped.Inc()
	}
}

func (r *Recorder) take(kind Kind, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[kind]
	b.left = min(rates[kind], b.left+rates[kind]*max(0, now.Sub(b.last).Seconds()))
	b.last = now
	if b.left < 1 {
		b.dropped.Inc()
		return false
	}
	b.left--
	return true
}

// Run writes lines until stop is closed, then those that wait.
func (r *Recorder) Run(stop <-chan struct{}) {
	r.init()
	logger := log.NewLogfmtLogger(r.Out)
	for {
		select {
		case line := <-r.lines:
			_ = logger.Log(line...) // a log that cannot be written has nowhere to say so
		case <-stop:
			for len(r.lines) > 0 {
				_ = logger.Log(<-r.lines...)
			}
			return
		}
	}
}
