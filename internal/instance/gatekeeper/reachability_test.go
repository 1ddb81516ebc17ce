package gatekeeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against taking a pause between two calls for an outage, and the reverse.
func TestReachabilityBeginsAfterTheLastInterruption(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type span struct{ from, to float64 }
	for _, tc := range []struct {
		name  string
		seen  []span
		now   float64
		since float64 // -1: not reached
	}{
		{"never", nil, 1, -1},
		{"without an interruption", []span{{1, 1}, {2, 2}, {3.5, 3.5}}, 4, 1},
		{"after an interruption", []span{{1, 1}, {2, 2}, {4.5, 4.5}, {5, 5}}, 6, 4.5},
		{"not recently", []span{{1, 1}, {2, 2}}, 5, -1},
		{"another instance has reached it for longer", []span{{3, 3}, {1, 3.1}}, 4, 1},
		{"late report", []span{{3, 3}, {2, 2}}, 4, 2},
		{"late report of a span before the interruption", []span{{1, 2}, {5, 5}, {1, 2.5}}, 6, 5},
	} {
		var r reachability
		for _, s := range tc.seen {
			r.observe(at(s.from), at(s.to))
		}
		got := -1.0
		if r.current(at(tc.now)) {
			got = r.first.Sub(start).Seconds()
		}
		if diff := cmp.Diff(tc.since, got); diff != "" {
			t.Error(tc.name, diff)
		}
	}
}
