package heartbeater_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
)

var (
	start = time.Unix(1000, 0)
	a     = heartbeater.Instance{ID: "a", Incarnation: "a-1", Domain: "d", Address: "127.0.0.1:1"}
)

func newMonitor() *heartbeater.Monitor {
	return &heartbeater.Monitor{SuspectAfter: 3 * time.Second, GoneAfter: 10 * time.Second}
}

func TestHealth(t *testing.T) {
	leaving := a
	leaving.Leaving = true
	for _, tc := range []struct {
		name  string
		feed  func(m *heartbeater.Monitor)
		after time.Duration
		want  heartbeater.Health
	}{
		{"no heartbeat", func(*heartbeater.Monitor) {}, 0, heartbeater.Unknown},
		{"listed only", func(m *heartbeater.Monitor) { m.ObserveList([]heartbeater.Instance{a}, start) }, 0, heartbeater.Unknown},
		{"heartbeat", func(m *heartbeater.Monitor) { m.ObserveHeartbeat(a, start) }, time.Second, heartbeater.Live},
		{"heartbeats missing", func(m *heartbeater.Monitor) { m.ObserveHeartbeat(a, start) }, 4 * time.Second, heartbeater.Suspect},
		{"leaving", func(m *heartbeater.Monitor) { m.ObserveHeartbeat(leaving, start) }, 0, heartbeater.Leaving},
		{"list lags behind leaving", func(m *heartbeater.Monitor) {
			m.ObserveHeartbeat(leaving, start)
			m.ObserveList([]heartbeater.Instance{a}, start)
			m.ObserveHeartbeat(a, start)
		}, 0, heartbeater.Leaving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMonitor()
			tc.feed(m)
			got := m.Health("a-1", start.Add(tc.after))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A partitioned process sends no heartbeats to its peers, yet it may still send
// requests and orders. Only its absence from the list for long enough shows that it has
// terminated; as long as no list was read, nothing shows it.
func TestTerminatedNeedsListAndMissingHeartbeats(t *testing.T) {
	m := newMonitor()
	m.ObserveHeartbeat(a, start)
	if m.Terminated("a-1", start.Add(time.Hour)) {
		t.Error("terminated before any list was read")
	}
	m.ObserveList(nil, start.Add(time.Hour))
	if m.Terminated("a-1", start.Add(time.Hour+time.Second)) {
		t.Error("terminated as soon as the list lacks it")
	}
	m.ObserveList(nil, start.Add(time.Hour+11*time.Second))
	if !m.Terminated("a-1", start.Add(time.Hour+11*time.Second)) {
		t.Error("not terminated though off the list and without heartbeats for the time limit")
	}
	m.ObserveHeartbeat(a, start.Add(2*time.Hour))
	if m.Terminated("a-1", start.Add(2*time.Hour)) {
		t.Error("terminated although it sent a heartbeat again")
	}
}
