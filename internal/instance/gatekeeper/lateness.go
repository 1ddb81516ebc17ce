package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// loggedLateness is the lateness from which it is logged. Callers wait for some hundred milliseconds.
const loggedLateness = 100 * time.Millisecond

// A latenessMeter measures how late a periodic function runs. It does so where the process waits for the
// processor, or stood still.
type latenessMeter struct {
	period time.Duration
	last   time.Time // zero before the first run
}

// observe records a run and returns how late it is.
func (m *latenessMeter) observe(now time.Time) time.Duration {
	last := m.last
	m.last = now
	if last.IsZero() {
		return 0
	}
	return max(0, now.Sub(last)-m.period)
}

// recordLateness counts and logs how late the timers of this process are.
func (g *Gatekeeper) recordLateness(late time.Duration) {
	g.Metrics.GetOrCreateHistogram("sardinetiller_timer_lateness_seconds").Update(late.Seconds())
	if late >= loggedLateness {
		g.Recorder.Log(recorder.Lifecycle, "msg", "timers are late", "late", late)
	}
}
