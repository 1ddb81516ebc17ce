package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// A Need is an adapter to load on a runner, and the requests that wait for it.
type Need struct {
	Runner   string
	Adapter  string
	Waiting  int
	Oldest   time.Time // arrival of the request that has waited longest
	Deadline time.Time // earliest of the requests; zero if there is none
}

// A Budget limits the loads of an instance by rate and concurrency. Its exported
// fields are set before use.
type Budget struct {
	Rate          *rate.Limiter // loads a second
	MaxConcurrent int           // concurrent loads; they slow each other down at the weight store

	failed     map[string]*failure
	inProgress map[string]bool
}

type failure struct {
	backoff *backoff.ExponentialBackOff
	count   int
	until   time.Time
}

// urgentWithin is the time to a deadline below which the value of a need doubles.
const urgentWithin = 5 * time.Second

// initialBackoff and maxBackoff bound the exponential backoff after failed loads.
const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Backoff returns the time before which the adapter is not loaded again.
func (b *Budget) Backoff(adapter string) time.Time {
	if f, ok := b.failed[adapter]; ok {
		return f.until
	}
	return time.Time{}
}

// Failures returns the number of consecutive failed loads of the adapter.
func (b *Budget) Failures(adapter string) int {
	if f, ok := b.failed[adapter]; ok {
		return f.count
	}
	return 0
}

// Finish records the end of a granted load.
func (b *Budget) Finish(n Need, ok bool, now time.Time) {
	delete(b.inProgress, key(n))
	if ok {
		delete(b.failed, n.Adapter)
		return
	}
	b.fail(n.Adapter, now)
}

// Grant starts the loads that the budget allows now, those that remove the most
// stall first. It calls start for each in turn, which returns whether the runner
// could begin the load; a load that was not begun is not charged.
func (b *Budget) Grant(needs []Need, now time.Time, start func(Need) bool) {
	for _, n := range b.Order(needs, now) {
		if len(b.inProgress) >= b.MaxConcurrent || b.Rate.TokensAt(now) < 1 {
			return
		}
		if !start(n) {
			continue
		}
		b.Begin(n)
		b.Rate.AllowN(now, 1)
	}
}

// Begin records a load as in progress, also one that was granted by other means.
func (b *Budget) Begin(n Need) {
	b.init()
	b.inProgress[key(n)] = true
}

// Order returns the needs that are neither being loaded nor in backoff, those that
// remove the most stall first.
func (b *Budget) Order(needs []Need, now time.Time) []Need {
	b.init()
	ordered := slices.DeleteFunc(slices.Clone(needs), func(n Need) bool {
		return b.inProgress[key(n)] || now.Before(b.Backoff(n.Adapter))
	})
	slices.SortStableFunc(ordered, func(x, y Need) int { return cmp.Compare(StallRemoved(y, now), StallRemoved(x, now)) })
	return ordered
}

// Wait estimates how long a further load waits behind a queue of the given length
// and the loads in progress.
func (b *Budget) Wait(queued int) time.Duration {
	limit := b.Rate.Limit()
	if limit == rate.Inf || limit <= 0 {
		return 0
	}
	return time.Duration(float64(queued+len(b.inProgress)) / float64(limit) * float64(time.Second))
}

func (b *Budget) fail(adapter string, now time.Time) {
	f, ok := b.failed[adapter]
	if !ok {
		f = &failure{backoff: backoff.NewExponentialBackOff()}
		f.backoff.InitialInterval = initialBackoff
		f.backoff.MaxInterval = maxBackoff
		f.backoff.RandomizationFactor = 0
		b.failed[adapter] = f
	}
	f.count++
	f.until = now.Add(f.backoff.NextBackOff())
}

func (b *Budget) init() {
	if b.inProgress == nil {
		b.inProgress = make(map[string]bool)
		b.failed = make(map[string]*failure)
	}
}

func key(n Need) string { return n.Runner + "|" + n.Adapter }

// StallRemoved estimates the stall that a load removes: the number of waiting requests
// plus the seconds of the longest wait, so that no need is starved, doubled when a
// deadline is near.
func StallRemoved(n Need, now time.Time) float64 {
	s := float64(n.Waiting) + now.Sub(n.Oldest).Seconds()
	if !n.Deadline.IsZero() && n.Deadline.Sub(now) < urgentWithin {
		s *= 2
	}
	return s
}
