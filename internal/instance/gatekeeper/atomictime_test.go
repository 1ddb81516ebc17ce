package gatekeeper

import (
	"strings"
	"testing"
	"time"
)

// The wall clock is set back by seconds while the store rejects the leader. Measured by it, the
// leader's view of the runners looks fresh for as long again, and its members send requests to
// runners that have left. Guards against an atomicTime that loses the monotonic clock reading.
func TestAtomicTimeKeepsTheMonotonicReading(t *testing.T) {
	var m atomicTime
	if _, ok := m.get(); ok {
		t.Error("an atomicTime that was never set has a time")
	}
	now := time.Now()
	m.set(now)
	got, ok := m.get()
	if !ok || got != now {
		t.Errorf("got %v, want %v with its monotonic reading", got, now)
	}
	if text := got.String(); !strings.Contains(text, " m=") { // how a time shows its monotonic reading
		t.Errorf("%s has lost its monotonic reading", text)
	}
}
