package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

func ExampleTimeline_Reserve() {
	var t admitter.Timeline
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	visit := admitter.Visit{Crowd: 100 * time.Millisecond, Read: 60 * time.Millisecond, Within: 300 * time.Millisecond}
	for range 6 {
		fmt.Println(t.Reserve(visit, now))
	}
	// Output:
	// 0s true
	// 20ms true
	// 80ms true
	// 140ms true
	// 200ms true
	// 60ms false
}

// Many callers come to one runner in the same instant. Sent together, their
// prompts are read one after the other and every run on the runner pauses for
// as long. Held back, no more than the bound is read at once, the last ones that
// are admitted are still on time, and the others are told at once.
func TestReserveKeepsWhatIsReadAtOnceBelowTheBound(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const read, crowd, within = 30 * time.Millisecond, 150 * time.Millisecond, 450 * time.Millisecond
	var line admitter.Timeline
	type sent struct{ at, done time.Duration }
	var admitted []sent
	refused := 0
	for range 40 {
		before := line.Backlog(start)
		wait, ok := line.Reserve(admitter.Visit{Crowd: crowd, Read: read, Within: within}, start)
		if !ok {
			refused++
			continue
		}
		admitted = append(admitted, sent{at: wait, done: before + read})
	}
	if len(admitted) != 15 || refused != 25 {
		t.Errorf("admitted %d and refused %d, want 15 and 25", len(admitted), refused)
	}
	for _, s := range admitted {
		if s.done > within {
			t.Errorf("read only after %s", s.done)
		}
		unread := time.Duration(0)
		for _, other := range admitted {
			if other.at <= s.at && other.done > s.at {
				unread += read
			}
		}
		if unread > crowd {
			t.Errorf("%s are to be read at once after %s", unread, s.at)
		}
	}
}
