package limiter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var limiterSeeds = flag.Uint64("limiter.seeds", 100, "how many seeds the random check of quotas plays")

// Guards against quotas that are exceeded, whichever instances fail and wherever callers go.
func TestQuotasAreKept(t *testing.T) {
	for seed := range *limiterSeeds {
		playQuotas(t, seed)
	}
}

func playQuotas(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		limit := smallLimit
		if seed%2 == 0 {
			limit = largeLimit
		}
		l := newLab(seed, 0, limit, newBySum)
		l.grow(4 + l.rng.IntN(120))
		l.trouble(40 * time.Second)
		if over := l.over(); over > 0 {
			t.Errorf("%d instances: %.0f tokens too many in a window", len(l.instances), over)
		}
	})
}

// trouble plays loads of all kinds while instances fail.
func (l *lab) trouble(span time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); {
		d := callers(l)
		d.rate = usual * []float64{0.2, 1, 1, 3, 8}[l.rng.IntN(5)]
		switch l.rng.IntN(5) {
		case 0:
			l.way.restart(l.instances[l.rng.IntN(len(l.instances))])
		case 1:
			third := l.rng.IntN(3)
			l.cut(time.Duration(l.rng.IntN(8000))*time.Millisecond, func(i *instance) bool { return i.number%3 == third })
		case 2:
			for _, i := range l.instances {
				l.way.restart(i)
			}
		}
		l.play(time.Duration(500+l.rng.IntN(5000))*time.Millisecond, d)
	}
}

// Guards against requests that are refused although their account keeps to its quota.
func TestAccountThatKeepsToItsQuotaIsNotRefused(t *testing.T) {
	for _, n := range []int{4, 9, 69, 300} {
		for seed := range uint64(10) {
			l := newLab(seed, 0, largeLimit, newBySum)
			l.grow(n)
			l.play(time.Second, load{at: []int{0}, mean: meanRequest}) // the ledgers begin with nothing left
			for range 8 {
				l.play(3*time.Second, callers(l)) // their callers move
			}
			if part := float64(l.refused) / float64(l.asked); part > 0 {
				t.Errorf("%d instances, seed %d: %.4f of what was asked for was refused", n, seed, part)
			}
		}
	}
}

// Runs of the check of quotas that failed once: what silent instances had saved up was spent
// twice, or several ledgers admitted the same tokens.
func TestQuotasOfSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{58, 106, 176, 750, 818, 1514} {
		playQuotas(t, seed)
	}
}
