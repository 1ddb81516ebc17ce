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
	prompt := admitter.Prompt{Pause: 200 * time.Millisecond, Read: 60 * time.Millisecond, Within: 350 * time.Millisecond}
	for range 5 {
		fmt.Println(t.Reserve(prompt, now))
	}
	// Output:
	// 0s true
	// 60ms true
	// 180ms true
	// 10ms false
	// 10ms false
}

// Many callers come to one runner in the same instant. Sent together, their
// prompts are read one after the other and every run on the runner pauses for
// as long. Held back, what is read within one pause stays below it, those that
// are admitted are on time, and the others are told at once.
func TestReserveBoundsPrefillPerGap(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const read, pause, within = 20 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond
	var timeline admitter.Timeline
	var sent []time.Duration
	refused := 0
	for range 60 {
		wait, ok := timeline.Reserve(admitter.Prompt{Pause: pause, Read: read, Within: within}, start)
		if !ok {
			refused++
			continue
		}
		if wait+read > within {
			t.Errorf("sent after %s, too late to be read within %s", wait, within)
		}
		sent = append(sent, wait)
	}
	if len(sent) < 20 || refused < 20 {
		t.Errorf("sent %d and refused %d", len(sent), refused)
	}
	for _, from := range sent {
		reading := time.Duration(0)
		for _, other := range sent {
			if other >= from && other < from+pause {
				reading += read
			}
		}
		if reading > pause*85/100 {
			t.Errorf("%s of reading begin within %s from %s on", reading, pause, from)
		}
	}
}
