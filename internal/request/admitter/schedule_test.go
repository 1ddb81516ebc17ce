package admitter_test

import (
	"fmt"
	"math/rand/v2"
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

// Callers take streams up, or state that they do, as fast as a runner could prefill all of them, or twice as fast, and as many new
// requests come. Guards against refusing the streams by the time limit of new requests, and against starving these.
func TestExtendedPromptsLeaveTimeForNewOnes(t *testing.T) {
	const (
		prefill, span      = 20 * time.Millisecond, 10 * time.Second
		timeout, extension = 450 * time.Millisecond, 1300 * time.Millisecond
		full               = float64(span / prefill)
	)
	for _, tc := range []struct {
		name               string
		taken, fresh       float64 // offered, as a fraction of what the runner can prefill
		minTakenUp, minNew float64 // admitted, the same
	}{
		{"few streams in a burst of new requests", 0.1, 2, 0.09, 0.7},
		{"as many as the runner serves", 1, 1, 0.4, 0.3},
		{"twice as many", 2, 1, 0.4, 0.2},
		{"only streams that are taken up", 1.5, 0, 0.9, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			var schedule admitter.PrefillSchedule
			takenUp, fresh := 0., 0.
			offer := func(p admitter.Prompt, at, most time.Duration) float64 {
				wait, ok := schedule.Reserve(p, start.Add(at))
				if !ok {
					return 0
				}
				if wait+prefill > most {
					t.Fatalf("admitted to be prefilled after %s, want at most %s", wait+prefill, most)
				}
				return 1
			}
			rng := rand.New(rand.NewPCG(1, 1))
			perStep := float64(time.Millisecond) / float64(prefill)
			for at := time.Duration(0); at < span; at += time.Millisecond {
				if rng.Float64() < tc.taken*perStep {
					takenUp += offer(admitter.Prompt{PrefillTime: prefill, Timeout: timeout, Extension: extension}, at, timeout+extension)
				}
				if rng.Float64() < tc.fresh*perStep {
					fresh += offer(admitter.Prompt{PrefillTime: prefill, Timeout: timeout}, at, timeout)
				}
			}
			if takenUp < tc.minTakenUp*full || fresh < tc.minNew*full {
				t.Errorf("admitted %.2f of the runner's time of streams that are taken up, and %.2f of new requests", takenUp/full, fresh/full)
			}
		})
	}
}
