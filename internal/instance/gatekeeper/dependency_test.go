package gatekeeper

import (
	"testing"
	"time"
)

// Calls that were sent during an outage of the store fail one after the other when it is over.
// Guards against recording a second outage because of them: operators read the start and the
// end of an outage in the log, and runners whose rows have expired get a grace time from its end.
func TestFailureOfAnEarlierCallIsIgnored(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var d dependency
	for _, step := range []struct {
		name      string
		up        bool
		sent, now int // seconds
		changed   bool
	}{
		{"a call succeeds", true, 0, 0, false},
		{"one fails", false, 1, 2, true},
		{"one succeeds", true, 5, 6, true},
		{"one that was sent before that fails", false, 4, 7, false},
		{"one that was sent after that fails", false, 7, 8, true},
		{"one that was sent before the outage is answered", true, 0, 9, true},
	} {
		if got := d.observe(step.up, at(step.sent), at(step.now)); got != step.changed {
			t.Errorf("%s: changed %v, want %v", step.name, got, step.changed)
		}
	}
	if back, down := d.status(); down || !back.Equal(at(9)) {
		t.Errorf("back at %s, down %v", back.Sub(start), down)
	}
}
