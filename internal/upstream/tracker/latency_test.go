package tracker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An instance knows only a part of the load before its requests. Guards against an
// estimate that is wrong by the unknown part: too many prompts would be sent to a
// runner at once, and its running requests would stall for too long.
func TestPrefillEstimateWithUnseenLoad(t *testing.T) {
	const base, read = 0.025, 27e-6
	for _, unseen := range []float64{0, 800} {
		rng := rand.New(rand.NewPCG(1, 1))
		p := newLatencyModel()
		for range 3000 {
			known := 300 + rng.ExpFloat64()*1500
			other := 0.0
			if rng.IntN(3) == 0 {
				other = rng.ExpFloat64() * unseen
			}
			p.observeFirstToken(int(known), time.Duration((base+read*(known+other))*float64(time.Second)))
		}
		if p.prefill < 0.85*read || p.prefill > 1.4*read {
			t.Errorf("with %v tokens unseen: read %.1f us a token, want about %.1f", unseen, p.prefill*1e6, read*1e6)
		}
	}
}
