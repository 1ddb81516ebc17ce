package gatekeeper

import (
	"strings"
	"testing"
	"time"
)

// The time of day is set back by seconds while the store turns the holder away.
// Measured by the time of day, its knowledge of the runners looks fresh for as
// long again, and its members send requests to runners that have left. A time
// that keeps the reading of the steady clock is not moved by that.
func TestMomentsDoNotFollowTheTimeOfDay(t *testing.T) {
	var m moment
	if _, ok := m.get(); ok {
		t.Error("a moment that was never set has a time")
	}
	now := time.Now()
	m.set(now)
	got, ok := m.get()
	if !ok || got != now {
		t.Errorf("got %v, want %v with its steady reading", got, now)
	}
	if text := got.String(); !strings.Contains(text, " m=") { // how a time shows its steady reading
		t.Errorf("%s has lost its steady reading", text)
	}
}
