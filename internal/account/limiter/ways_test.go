package limiter_test

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// Limits of a small and of a large account: the smallest has two requests a second.
var (
	smallLimit = limiter.Limit{Rate: 4200, Burst: 4200}
	largeLimit = limiter.Limit{Rate: 300000, Burst: 300000}
)

const meanRequest = 1700 // tokens

// usual is the load of a calm day, as a multiple of the limit.
const usual = 0.55

// A scenario is a load with trouble.
type scenario struct {
	name string
	play func(l *lab)
}

func some(l *lab, n int) []int { return l.rng.Perm(len(l.instances))[:min(n, len(l.instances))] }

func callers(l *lab) load {
	return load{rate: usual, at: some(l, max(3, len(l.instances)/4)), mean: meanRequest}
}

// heavy returns the load of an account that sends eight times its usual.
func (d load) heavy() load {
	d.rate *= 8
	return d
}

var scenarios = []scenario{
	{"calm", func(l *lab) { l.play(30*time.Second, callers(l)) }},
	{"eight times its usual", func(l *lab) {
		d := callers(l)
		l.play(10*time.Second, d)
		l.play(10*time.Second, d.heavy())
		l.play(10*time.Second, d)
	}},
	{"callers move", func(l *lab) {
		for range 10 {
			l.play(3*time.Second, callers(l))
		}
	}},
	{"all at one instance", func(l *lab) {
		l.play(10*time.Second, callers(l))
		l.play(10*time.Second, load{rate: usual, at: some(l, 1), mean: meanRequest})
	}},
	{"all restart at eight times its usual", func(l *lab) {
		d := callers(l)
		l.play(10*time.Second, d)
		l.play(4*time.Second, d.heavy())
		for _, i := range l.instances {
			l.way.restart(i)
		}
		l.play(10*time.Second, d.heavy())
	}},
	{"a third cut off at eight times its usual", func(l *lab) {
		d := callers(l)
		l.play(10*time.Second, d)
		l.cut(8*time.Second, func(i *instance) bool { return i.number%3 == 1 })
		l.play(10*time.Second, d.heavy())
		l.play(5*time.Second, d)
	}},
	{"a third cut off in calm", func(l *lab) {
		d := callers(l)
		l.play(10*time.Second, d)
		l.cut(8*time.Second, func(i *instance) bool { return i.number%3 == 1 })
		l.play(15*time.Second, d)
	}},
	{"a leader cut off", func(l *lab) {
		d := callers(l)
		l.play(10*time.Second, d)
		l.cut(3*time.Second, func(i *instance) bool { return i.number == 1 })
		l.play(15*time.Second, d)
	}},
}

// Compares the ways to keep a quota; go test -v -run TestWays shows the table.
func TestWays(t *testing.T) {
	for _, limit := range []limiter.Limit{smallLimit, largeLimit} {
		for _, n := range []int{3, 9, 69, 300} {
			for _, s := range scenarios {
				for _, w := range []struct {
					name string
					by   func(l *lab) way
				}{{"evenly", newEvenly}, {"by demand", newByDemand}, {"by sum", newBySum}} {
					l := newLab(1, max(n, domains), limit, w.by)
					s.play(l)
					t.Logf("%6.0f tokens/s, %3d instances, %-42s %-10s over %6.0f tokens, served %.3f, %5.2f %% refused below the limit, %6d messages",
						limit.Rate, n, s.name, w.name, l.over(), l.served(), 100*float64(l.refused)/float64(l.asked), l.messages)
				}
			}
		}
	}
}
