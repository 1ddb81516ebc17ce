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
	_, line, _ := strings.Cut(out.String(), " ") // the time comes first
	fmt.Print(line)
	// Output: instance=front-1 kind=failed request=q1 reason=load
}

// Callers are refused by the thousand and whoever reads the log stands still.
// The requests must not wait for the log, what is dropped is counted, and
// another kind of line still gets through.
func TestFloodAndStandingReaderHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := metrics.NewSet()
		reader, writer := io.Pipe() // nobody reads
		defer func() { _ = reader.Close() }()
		r := &recorder.Recorder{Instance: "front-1", Metrics: set, Out: writer}
		stop := make(chan struct{})
		go r.Run(stop)
		began := time.Now()
		for range 10000 {
			r.Log(recorder.Failed, "request", "q")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("the log held its writers up for %s", took)
		}
		dropped := set.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="failed"}`).Get()
		if dropped < 9000 {
			t.Errorf("%d lines are counted as dropped of 10000", dropped)
		}
		r.Log(recorder.Lifecycle, "msg", "stopping")
		if n := set.GetOrCreateCounter(`sardinetiller_log_dropped_total{kind="lifecycle"}`).Get(); n != 0 {
			t.Error("a flood of one kind hid another")
		}
		close(stop)
		_ = reader.Close()
	})
}
