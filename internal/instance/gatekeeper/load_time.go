package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An estimate is the estimated duration of a load. A request only shows whether a load is
// complete, so the duration is not measured directly. It has to be set before use; it is safe
// for concurrent use.
type estimate struct {
	mu           sync.Mutex
	lastLate     time.Time // when a load last took longer than estimated
	lastObserved time.Time // when a load was last observed
	current      time.Duration
}

const (
	// lateMargin is the fraction by which a late load is assumed to have taken longer than
	// observed.
	lateMargin = 0.05
	// shrinkRate is the rate per second at which the estimate decreases right after a late load,
	// and shrinkTime the time until that rate has doubled; it goes on growing with the square
	// of the time, up to maxShrinkRate. The estimate then takes two seconds to fall below the
	// actual duration; all loads that start within one load time from then on are late: one in
	// seven. After a period in which all loads took twice as long, the estimate is correct again
	// within five seconds. When each load that was not late decreased it by a fixed fraction
	// instead, hundreds of loads did so before the first late one was observed: two in five were
	// late, and each cost one of the retries that all instances share.
	shrinkRate    = 0.02
	shrinkTime    = 1500 * time.Millisecond
	maxShrinkRate = 0.25
	// maxStep bounds the time span that one load accounts for.
	maxStep = 500 * time.Millisecond
	// minLoadTime and maxLoadTime bound the estimate against a series of outliers.
	minLoadTime = 10 * time.Millisecond
	maxLoadTime = 3 * time.Second
	// initialLoadTime is the initial estimate for loading an adapter from the weight store, and
	// initialReloadTime for loading one that the runner held before.
	initialLoadTime   = 270 * time.Millisecond
	initialReloadTime = 35 * time.Millisecond
)

func (e *estimate) get() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *estimate) set(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = d
}

// observe records one load. A late load gives a lower bound for its duration, and the estimate
// does not grow far beyond that. When hundreds of loads were late at once, as after a start
// with empty runners, growing by a fraction for each took the estimate to its bound of
// seconds, and callers were refused for ten seconds because of loads that would have taken a
// third of a second.
func (e *estimate) observe(o placer.LoadObservation, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Min > 0 {
		e.lastLate = now
		took := min(o.Max, time.Duration((1+lateMargin)*float64(o.Min)))
		e.current = min(maxLoadTime, max(e.current, took))
	} else {
		e.current = max(minLoadTime, time.Duration((1-e.shrinkFraction(now))*float64(e.current)))
	}
	e.lastObserved = now
}

// shrinkFraction returns the fraction by which a load that is not late decreases the estimate.
func (e *estimate) shrinkFraction(now time.Time) float64 {
	since := float64(now.Sub(e.lastLate)) / float64(shrinkTime)
	rate := min(maxShrinkRate, shrinkRate*(1+since*since))
	return rate * min(maxStep, now.Sub(e.lastObserved)).Seconds()
}

// observeLoad records what the first use of a copy shows of load times.
func (c *controller) observeLoad(o placer.LoadObservation, ok bool) {
	switch {
	case !ok:
	case o.Reload:
		c.gatekeeper.reloadTime.observe(o, time.Now())
	default:
		now := time.Now()
		c.gatekeeper.loadTime.observe(o, now)
		c.loadWindow.ObserveLoadTime(c.gatekeeper.LoadTime(), now)
	}
}

// logInterval is the interval at which the estimates are logged.
const logInterval = 5 * time.Second

// logEstimates logs the estimates, to explain later why a request was delayed or refused.
func (g *Gatekeeper) logEstimates(ctx context.Context) {
	repeater.Every(ctx, logInterval, nil, func() {
		catalog := g.Catalog()
		if catalog == nil {
			return
		}
		for name, service := range catalog.Services {
			if service.Engine == nil {
				continue
			}
			base, prefill := g.Fleet.Latency(name)
			g.Recorder.Log(recorder.View, "msg", "paces", "service", name, "first", base, "token", prefill,
				"load", g.LoadTime(), "return", g.ReloadTime(), "members", g.Members())
		}
		for _, c := range g.controllers {
			c.logLoads()
			c.logPaces()
		}
	})
}

// LoadTime returns the estimated time to load an adapter from the weight store.
func (g *Gatekeeper) LoadTime() time.Duration { return g.loadTime.get() }

// ReloadTime returns the estimated time to load an adapter that the runner held before.
func (g *Gatekeeper) ReloadTime() time.Duration { return g.reloadTime.get() }
