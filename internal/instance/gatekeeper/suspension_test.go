package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a suspension that is not noticed, and against times of a host that ran all the while that count as before one.
func TestSuspensionMeter(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stands time.Duration // how long the runtime's clock stands still
		later  time.Duration // from then to the time that is asked about
		want   bool
	}{
		{"the host runs", 0, -time.Second, false},
		{"clocks differ by a little", 20 * time.Millisecond, -time.Second, false},
		{"before a suspension", time.Second, -time.Millisecond, true},
		{"after it was noticed", time.Second, time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, stood := time.Now(), time.Duration(0)
				m := suspensionMeter{uptime: func() time.Duration { return time.Since(began) + stood }}
				_ = m.since(began)
				time.Sleep(2 * time.Second)
				stood = tc.stands
				_ = m.since(began)
				asked := time.Now().Add(tc.later)
				time.Sleep(3 * time.Second)
				if got := m.since(asked); got != tc.want {
					t.Errorf("suspended since: %t, want %t", got, tc.want)
				}
			})
		})
	}
}
