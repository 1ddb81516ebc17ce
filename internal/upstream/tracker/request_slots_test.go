package tracker_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

func TestRequestSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	var slots tracker.RequestSlots
	var waits []time.Duration
	var entries []tracker.Entry
	for range 4 {
		waits = append(waits, slots.Wait(2, 1))
		entries = append(entries, slots.Enter(now))
	}
	want := []time.Duration{0, 0, 50 * time.Millisecond, 100 * time.Millisecond}
	if diff := cmp.Diff(want, waits); diff != "" {
		t.Error(diff)
	}
	for _, e := range entries {
		slots.Leave(e, 2, 1, now.Add(100*time.Millisecond))
	}
	if got := slots.Wait(2, 1); got != 0 {
		t.Errorf("a request waits for %s at an empty runner", got)
	}
}

// Guards against waiting time that counts as run time: the runner would look slower the
// longer requests wait, and more of them would be refused.
func TestQueueTimeIsNotRunTime(t *testing.T) {
	now := time.Unix(1000, 0)
	var slots tracker.RequestSlots
	first := slots.Enter(now)
	for range 100 {
		slots.Leave(slots.Enter(now), 1, 1, now.Add(time.Minute))
	}
	if got := slots.Wait(1, 1); got != 100*time.Millisecond {
		t.Errorf("a request waits for %s", got)
	}
	slots.Leave(first, 1, 1, now.Add(100*time.Millisecond))
}
