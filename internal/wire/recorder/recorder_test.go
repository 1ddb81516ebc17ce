package recorder_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

func ExampleRecorder_Log() {
	var out strings.Builder
	r := &recorder.Recorder{Instance: "front-1", Metrics: metrics.NewSet(), Out: &out}
	r.Log(recorder.Failed, "request", "q1", "reason", "load")
	stop := make(chan struct{})
	close(stop)
	r.Run(stop)
	_, line, _ := strings.Cut(out.String(), " ") // drop the timestamp
	fmt.Print(line)
	// Output: instance=front-1 kind=failed request=q1 reason=load
}

// Thousands of refusals are logged while the log reader is stalled. Log must not
// block, dropped lines are counted, and lines of another kind are still queued.
func TestLogNeverBlocksOnBurstAndStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := metrics.NewSet()
		reader, writer := io.Pipe() // never read
		defer func() { _ = reader.Close() }()
		r := &recorder.Recorder{Instance: "front-1", Metrics: set, Out: writer}
		stop := make(chan struct{})
		go r.Run(stop)
		start := time.Now()
		for range 10000 {
			r.Log(recorder.Failed, "request", "q")
		}
		if elapsed := time.Since(start); elapsed > 0 {
			t.Errorf("Log blocked for %s", elapsed)
		}
		dropped := set.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="failed"}`).Get()
		if dropped < 9000 {
			t.Errorf("%d of 10000 lines are counted as dropped, want at least 9000", dropped)
		}
		r.Log(recorder.Lifecycle, "msg", "stopping")
		if n := set.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="lifecycle"}`).Get(); n != 0 {
			t.Error("a burst of one kind suppressed a line of another")
		}
		close(stop)
		_ = reader.Close()
	})
}
