package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

func ExamplePrefillSchedule_Reserve() {
	var schedule admitter.PrefillSchedule
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	prompt := admitter.Prompt{MaxGap: 200 * time.Millisecond, PrefillTime: 60 * time.Millisecond, Timeout: 350 * time.Millisecond}
	for range 5 {
		fmt.Println(schedule.Reserve(prompt, now))
	}
	// Output:
	// 0s true
	// 60ms true
	// 180ms true
	// 10ms false
	// 10ms false
}

// Many requests for one runner arrive at the same time. Sent together, their prompts would
// be prefilled one after the other and every running request would stall for that long. The
// prefill started within one maximum gap must stay below it, every admitted prompt must be
// on time, and the others must be refused.
func TestReserveBoundsPrefillPerGap(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const prefillTime, maxGap, timeout = 20 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond
	var schedule admitter.PrefillSchedule
	var sent []time.Duration
	refused := 0
	for range 60 {
		wait, ok := schedule.Reserve(admitter.Prompt{MaxGap: maxGap, PrefillTime: prefillTime, Timeout: timeout}, start)
		if !ok {
			refused++
			continue
		}
		if wait+prefillTime > timeout {
			t.Errorf("sent after %s, too late for prefill within %s", wait, timeout)
		}
		sent = append(sent, wait)
	}
	if len(sent) < 20 || refused < 20 {
		t.Errorf("sent %d and refused %d", len(sent), refused)
	}
	for _, from := range sent {
		prefill := time.Duration(0)
		for _, other := range sent {
			if other >= from && other < from+maxGap {
				prefill += prefillTime
			}
		}
		if prefill > maxGap*85/100 {
			t.Errorf("%s of prefill start within %s from %s on", prefill, maxGap, from)
		}
	}
}
