// Package walker tests every pair of state and event of a state chart.
package walker

import (
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

// Walk fails the test if a transition does not lead to the state in the chart,
// or if a state accepts an event for which it has no transition.
func Walk(t *testing.T, chart *interpreter.Chart) {
	t.Helper()
	events := make(map[string]bool)
	for _, s := range chart.States {
		for event := range s.On {
			events[event] = true
		}
	}
	for _, s := range chart.States {
		for event := range events {
			m := &interpreter.Machine{Chart: chart, State: s.Name}
			want, allowed := s.On[event]
			if !allowed {
				want = s.Name
			}
			if err := m.Fire(event); (err == nil) != allowed || m.State != want {
				t.Errorf("%s in %s: state %s, %v, want %s", event, s.Name, m.State, err, want)
			}
		}
	}
}
