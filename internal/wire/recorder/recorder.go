// Package recorder writes the decision log, one line for each decision. It is
// rate limited by kind of line and never blocks the code that logs.
package recorder

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// A Kind is the category of a log line. Each has its own rate limit, so that a
// burst of one kind does not suppress another.
type Kind string

// The kinds.
const (
	Admission Kind = "admission" // a prompt that was refused or displaced in the queue of a runner
	Ahead     Kind = "ahead"     // copies of an adapter that are requested ahead of demand
	Completed Kind = "answered"  // a request that received its complete response
	View      Kind = "belief"    // a change in this process's view of the system
	Detour    Kind = "detour"    // a request that is sent to a peer, as this instance reaches no runner
	Config    Kind = "config"    // a configuration version that was put in force
	Foreign   Kind = "foreign"   // a row of another writer that is skipped; a table may hold thousands
	Failed    Kind = "failed"    // a request that did not receive a complete response
	Lifecycle Kind = "lifecycle" // start, stop, reload, a dependency lost or restored
	Order     Kind = "order"     // an order to a runner
	Panic     Kind = "panic"     // a fault of this program that ended one request
	Resumed   Kind = "resumed"   // a stream that its caller takes up
	Retry     Kind = "retry"     // a request that is retried
	Suspect   Kind = "suspect"   // a request that may crash runners
)

// rateLimits limits the lines per second of each kind. At about 250 bytes a line
// their sum stays below 125 KB/s, while up to 100 failures a second are logged.
var rateLimits = map[Kind]float64{
	Admission: 30, Ahead: 20, Completed: 20, View: 50, Config: 20, Detour: 20, Failed: 100, Foreign: 5, Lifecycle: 50, Order: 100, Panic: 5, Resumed: 50, Retry: 50, Suspect: 50,
}

// queueSize is how many lines are buffered while the log reader is slow.
const queueSize = 1024

// A Recorder writes log lines. Its fields are set before use; Log may be called
// before Run and is safe for concurrent use.
type Recorder struct {
	Instance string
	Metrics  *metrics.Set
	Out      io.Writer

	once    sync.Once
	lines   chan []any
	mu      sync.Mutex
	buckets map[Kind]*bucket
}

// A bucket is the token bucket of one kind.
type bucket struct {
	tokens   float64
	refilled time.Time
	dropped  *metrics.Counter
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.lines = make(chan []any, queueSize)
		r.buckets = make(map[Kind]*bucket)
		for kind, rate := range rateLimits {
			r.buckets[kind] = &bucket{
				tokens:  rate,
				dropped: r.Metrics.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="` + string(kind) + `"}`),
			}
		}
	})
}

// Log queues a line. If the rate limit or the queue is exhausted, it drops the
// line and counts it.
func (r *Recorder) Log(kind Kind, fields ...any) {
	r.init()
	now := time.Now()
	if !r.allow(kind, now) {
		return
	}
	line := append([]any{"ts", now.UTC().Format("2006-01-02T15:04:05.000Z"), "instance", r.Instance, "kind", string(kind)}, fields...)
	select {
	case r.lines <- line:
	default:
		r.buckets[kind].dropped.Inc()
	}
}

func (r *Recorder) allow(kind Kind, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[kind]
	b.tokens = min(rateLimits[kind], b.tokens+rateLimits[kind]*max(0, now.Sub(b.refilled).Seconds()))
	b.refilled = now
	if b.tokens < 1 {
		b.dropped.Inc()
		return false
	}
	b.tokens--
	return true
}

// Run writes lines until stop is closed, then flushes the queue.
func (r *Recorder) Run(stop <-chan struct{}) {
	r.init()
	logger := log.NewLogfmtLogger(r.Out)
	for {
		select {
		case line := <-r.lines:
			_ = logger.Log(line...) // there is nowhere else to report a failed write
		case <-stop:
			for len(r.lines) > 0 {
				_ = logger.Log(<-r.lines...)
			}
			return
		}
	}
}
