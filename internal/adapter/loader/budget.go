package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// A Need is an adapter that requests wait for on a runner.
type Need struct {
	Runner   string
	Adapter  string
	Waiting  int
	Oldest   time.Time // arrival of the longest wait
	Deadline time.Time // nearest one; zero if there is none
}

// A Budget grants loads. Its fields are set before use.
type Budget struct {
	Rate     *rate.Limiter // loads a second
	Together int           // loads at once; a load costs the store more when they run side by side

	failed  map[string]*failure
	running map[string]bool
}

type failure struct {
	backoff *backoff.ExponentialBackOff
	count   int
	until   time.Time
}

// horizon is the time to a deadline below which a need is urgent.
const horizon = 5 * time.Second

// firstBackoff and lastBackoff bound the wait after a failed load.
const (
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 10 * time.Second
)

// Backoff returns until when loads of the adapter are held back.
func (b *Budget) Backoff(adapter string) time.Time {
	if f, ok := b.failed[adapter]; ok {
		return f.until
	}
	return time.Time{}
}

// Failures returns how often loads of the adapter have failed in a row.
func (b *Budget) Failures(adapter string) int {
	if f, ok := b.failed[adapter]; ok {
		return f.count
	}
	return 0
}

// Finish records the end of a granted load.
func (b *Budget) Finish(n Need, ok bool, now time.Time) {
	delete(b.running, key(n))
	if ok {
		delete(b.failed, n.Adapter)
		return
	}
	b.fail(n.Adapter, now)
}

// Grant returns the needs that may be loaded now, those that remove the most
// stall first. Start is asked for each in turn and returns whether the runner
// could begin it; what it declines costs nothing.
func (b *Budget) Grant(needs []Need, now time.Time, start func(Need) bool) {
	for _, n := range b.Order(needs, now) {
		if len(b.running) >= b.Together || b.Rate.TokensAt(now) < 1 {
			return
		}
		if !start(n) {
			continue
		}
		b.Begin(n)
		b.Rate.AllowN(now, 1)
	}
}

// Begin records a load that was granted otherwise.
func (b *Budget) Begin(n Need) {
	b.init()
	b.running[key(n)] = true
}

// Order returns the needs that may be loaded now, those that remove the most
// stall first.
func (b *Budget) Order(needs []Need, now time.Time) []Need {
	b.init()
	ordered := slices.DeleteFunc(slices.Clone(needs), func(n Need) bool {
		return b.running[key(n)] || now.Before(b.Backoff(n.Adapter))
	})
	slices.SortStableFunc(ordered, func(x, y Need) int { return cmp.Compare(Saved(y, now), Saved(x, now)) })
	return ordered
}

// Wait estimates how long a further load waits behind line others.
func (b *Budget) Wait(line int) time.Duration {
	limit := b.Rate.Limit()
	if limit == rate.Inf || limit <= 0 {
		return 0
	}
	return time.Duration(float64(line+len(b.running)) / float64(limit) * float64(time.Second))
}

func (b *Budget) fail(adapter string, now time.Time) {
	f, ok := b.failed[adapter]
	if !ok {
		f = &failure{backoff: backoff.NewExponentialBackOff()}
		f.backoff.InitialInterval = firstBackoff
		f.backoff.MaxInterval = lastBackoff
		f.backoff.RandomizationFactor = 0
		b.failed[adapter] = f
	}
	f.count++
	f.until = now.Add(f.backoff.NextBackOff())
}

func (b *Budget) init() {
	if b.running == nil {
		b.running = make(map[string]bool)
		b.failed = make(map[string]*failure)
	}
}

func key(n Need) string { return n.Runner + "|" + n.Adapter }

// Saved estimates the stall that a load removes: every waiting request, more
// when a deadline nears, and a little for the age of the wait so that no need
// waits for ever.
func Saved(n Need, now time.Time) float64 {
	s := float64(n.Waiting) + now.Sub(n.Oldest).Seconds()
	if !n.Deadline.IsZero() && n.Deadline.Sub(now) < horizon {
		s *= 2
	}
	return s
}
