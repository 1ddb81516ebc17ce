package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An estimate is how long a load takes that only shows as done or not yet. Its
// zero value has to be set before use; it is safe for concurrent use.
type estimate struct {
	mu      sync.Mutex
	late    time.Time // when a load was last late
	learnt  time.Time // when one was last taken in
	current time.Duration
}

const (
	// above is the part by which a load that was late is taken to have lasted
	// longer than was seen.
	above = 0.05
	// shrink is how much shorter the estimate becomes in a second right after a
	// late load, and shrinkTime after how long it is twice that; it goes on growing
	// with the square of the time, up to mostShrink. The estimate then takes two
	// seconds to come down to where loads are late, which is found out by all that
	// began within one load's time: one in seven; after a time in which all loads
	// were twice as slow it is right again within five. When each load in time made it
	// shorter by a part, hundreds did before the first late one showed: two in
	// five were late, and each cost one of the retries that all instances share.
	shrink     = 0.02
	shrinkTime = 1500 * time.Millisecond
	mostShrink = 0.25
	// oneStep bounds the time that one load stands for.
	oneStep = 500 * time.Millisecond
	// leastLoad and mostLoad bound what is learned, against a run of odd cases.
	leastLoad = 10 * time.Millisecond
	mostLoad  = 3 * time.Second
	// firstLoad is how long the load of an adapter from the weight store is
	// assumed to take before one was observed, and firstReturn that of one which
	// the runner held before.
	firstLoad   = 270 * time.Millisecond
	firstReturn = 35 * time.Millisecond
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

// learn takes in one load. A late one says how long it took at least, and the
// estimate does not grow far beyond that: when hundreds of loads are late at
// once, as after a start with empty runners, growing by a part for each took it
// to its bound of seconds, and callers were refused for ten seconds for loads
// that would have taken a third of one.
func (e *estimate) learn(a placer.Arrival, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Least > 0 {
		e.late = now
		took := min(a.Most, time.Duration((1+above)*float64(a.Least)))
		e.current = min(mostLoad, max(e.current, took))
	} else {
		e.current = max(leastLoad, time.Duration((1-e.step(now))*float64(e.current)))
	}
	e.learnt = now
}

// step returns the part by which a load that was in time makes the estimate
// shorter.
func (e *estimate) step(now time.Time) float64 {
	since := float64(now.Sub(e.late)) / float64(shrinkTime)
	rate := min(mostShrink, shrink*(1+since*since))
	return rate * min(oneStep, now.Sub(e.learnt)).Seconds()
}

// learn takes in what the first use of a copy tells of the time of loads.
func (d *controller) learn(a placer.Arrival, ok bool) {
	switch {
	case !ok:
	case a.Return:
		d.gatekeeper.returns.learn(a, time.Now())
	default:
		now := time.Now()
		d.gatekeeper.loads.learn(a, now)
		d.window.Learn(d.gatekeeper.LoadTime(), now)
	}
}

// paceEvery is how often the learned times are logged.
const paceEvery = 5 * time.Second

// tellPaces logs what was learned, for whoever asks later why a request was held
// back or refused.
func (g *Gatekeeper) tellPaces(ctx context.Context) {
	repeater.Every(ctx, paceEvery, nil, func() {
		catalog := g.Catalog()
		if catalog == nil {
			return
		}
		for name, service := range catalog.Services {
			if service.Engine == nil {
				continue
			}
			base, read := g.Fleet.Paces(name)
			g.Recorder.Log(recorder.Belief, "msg", "paces", "service", name, "first", base, "token", read,
				"load", g.LoadTime(), "return", g.ReturnTime(), "members", g.Members())
		}
		for _, d := range g.controllers {
			d.tellLoads()
		}
	})
}

// LoadTime returns how long the load of an adapter from the weight store takes.
func (g *Gatekeeper) LoadTime() time.Duration { return g.loads.get() }

// ReturnTime returns how long the load of an adapter takes that the runner held
// before.
func (g *Gatekeeper) ReturnTime() time.Duration { return g.returns.get() }
