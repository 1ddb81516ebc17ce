package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

// The share must follow the engine. On an engine that prefills a bounded chunk between two
// tokens, gaps never grow long and no prompt may be delayed. On an engine that prefills
// everything that is queued, callers see long gaps once the share exceeds about one half,
// and only few responses may have one.
func TestShareConvergesToPrefillThatEngineTolerates(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, tc := range []struct {
		name               string
		gap                func(rng *rand.Rand, share float64) time.Duration
		minShare, maxShare float64
		long               float64 // fraction of the responses that may have a gap above the maximum
	}{
		{"bounded chunk", func(rng *rand.Rand, _ float64) time.Duration {
			return time.Duration(rng.Float64() * 0.6 * float64(limit))
		}, 2, 2, 0},
		{"whole queue", func(rng *rand.Rand, share float64) time.Duration {
			return time.Duration(rng.Float64() * share * 1.5 * float64(limit))
		}, 0.5, 0.8, 0.02},
		{"whole queue, slow engines", func(rng *rand.Rand, share float64) time.Duration {
			return time.Duration(rng.Float64() * share * 2.5 * float64(limit))
		}, 0.3, 0.5, 0.02},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var s admitter.PrefillShare
			sum, late := 0.0, 0
			const responses = 2000
			for n := range 2 * responses {
				gap := tc.gap(rng, s.Value())
				switch {
				case admitter.IsShortGap(gap, limit):
					s.Record(1, 0)
				case admitter.IsLongGap(gap, limit):
					s.Record(0, 1)
				}
				if n >= responses {
					sum += s.Value()
					if gap > limit {
						late++
					}
				}
			}
			if mean := sum / responses; mean < tc.minShare || mean > tc.maxShare {
				t.Errorf("share %.2f, want %.2f to %.2f", mean, tc.minShare, tc.maxShare)
			}
			if fraction := float64(late) / responses; fraction > tc.long {
				t.Errorf("%.3f of the responses had a gap above the maximum", fraction)
			}
		})
	}
}
