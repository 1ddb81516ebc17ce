package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/throttler"
)

func ExampleThrottle_Take() {
	var t throttler.Throttle
	now := time.Now()
	fmt.Println(t.Take(2, 1, now))
	fmt.Println(t.Take(2, 1, now.Add(500*time.Millisecond)))
	fmt.Println(t.Take(2, 1, now.Add(600*time.Millisecond)))
	// Output:
	// 500ms
	// 0s
	// 400ms
}

// Guards against more tokens in a window than the limit allows, and against tokens that are
// withheld while there is demand.
func TestTokensKeepToTheRate(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 2, 2.5, 40, 1000} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, seed))
			var th throttler.Throttle
			now := time.Now()
			end := now.Add(20 * time.Second)
			var granted []time.Time
			for fence := uint64(1); now.Before(end); now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Millisecond)))) {
				if th.Take(rate, fence, now) == 0 {
					granted = append(granted, now)
				}
			}
			first, most := 0, 0
			for n, at := range granted {
				for at.Sub(granted[first]) > 4*time.Second {
					first++
				}
				most = max(most, n-first+1)
			}
			if allowed := int(1.5*rate*4) + 5; most > allowed {
				t.Errorf("rate %g, seed %d: %d tokens in 4 s, allowed %d", rate, seed, most, allowed)
			}
			if least := int(0.8 * rate * 20); len(granted) < least {
				t.Errorf("rate %g, seed %d: %d tokens in 20 s, want at least %d", rate, seed, len(granted), least)
			}
		}
	}
}

// Guards against a new leader that grants the tokens of the previous one again.
func TestNewLeaseBeginsWithoutTokens(t *testing.T) {
	var th throttler.Throttle
	now := time.Now()
	th.Take(2, 1, now)
	now = now.Add(time.Minute)
	if wait := th.Take(2, 2, now); wait != 500*time.Millisecond {
		t.Errorf("first token of a new lease after %s, want 500ms", wait)
	}
}
