package gatekeeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An estimate is how long a load takes that only shows as done or not yet.
type estimate struct {
	nanoseconds atomic.Int64
	inTime      atomic.Int64 // loads in a row that were in time
}

const (
	// longer bounds by how much one late load makes the estimate longer. Each
	// load in a row that was in time makes it shorter by one more times shorter.
	// About one load in ten is then tried too early, which costs one of the
	// retries that all instances share; trying later costs every request that
	// waits. Twenty loads undo a start at which all of them were slow; at a fixed
	// step of 0.4 % they took half a minute on the Association's calm day, and as
	// the window of loads opens with the estimate, half of the weight store's rate
	// lay idle meanwhile.
	longer  = 1.1
	shorter = 0.002
	// mostInTime bounds the steps, should no load ever be late.
	mostInTime = 25
	// late is the part of the estimate by which a load that was late is taken to
	// have ended after the last request that came in vain, if nobody came sooner.
	late = 4
	// leastLoad and mostLoad bound what is learned, against a run of odd cases.
	leastLoad = 10 * time.Millisecond
	mostLoad  = 3 * time.Second
	// firstLoad is how long the load of an adapter from the weight store is
	// assumed to take before one was observed, and firstReturn that of one which
	// the runner held before.
	firstLoad   = 270 * time.Millisecond
	firstReturn = 35 * time.Millisecond
)

func (e *estimate) get() time.Duration { return time.Duration(e.nanoseconds.Load()) }

func (e *estimate) set(d time.Duration) {
	e.nanoseconds.Store(int64(min(mostLoad, max(leastLoad, d))))
}

// learn takes in one load. A late one says how long it took at least, and the
// estimate does not grow far beyond that: when hundreds of loads are late at
// once, as after a start with empty runners, growing by a part for each took it
// to its bound of seconds, and callers were refused for ten seconds for loads
// that would have taken a third of one.
func (e *estimate) learn(a placer.Arrival) {
	now := e.get()
	took := min(a.Most, a.Least+now/late)
	switch {
	case a.Least == 0:
		e.set(time.Duration((1 - shorter*float64(min(mostInTime, e.inTime.Add(1)))) * float64(now)))
	case took > now:
		e.inTime.Store(0)
		e.set(min(took, time.Duration(longer*float64(now))))
	default:
		e.inTime.Store(0)
	}
}

// learn takes in what the first use of a copy tells of the time of loads.
func (d *controller) learn(a placer.Arrival, ok bool) {
	switch {
	case !ok:
	case a.Return:
		d.gatekeeper.returns.learn(a)
	default:
		d.gatekeeper.loads.learn(a)
		d.window.Learn(d.gatekeeper.LoadTime(), time.Now())
	}
}

// paceEvery is how often the learned times are logged.
const paceEvery = 5 * time.Second

// tellPaces logs what was learned, for whoever asks later why a request was held
// back or refused.
func (g *Gatekeeper) tellPaces(ctx context.Context) {
	every(ctx, paceEvery, func() {
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

// tellLoads logs how the loads of the domain stand, if this instance orders them.
func (d *controller) tellLoads() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acting == 0 {
		return
	}
	engines, fetching := d.sum(func(p *placer.Placer) int { return p.Fetching(now) })
	_, waiting := d.sum((*placer.Placer).Waiting)
	d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "loads", "domain", d.domain, "engines", engines, "room", d.window.Room(engines),
		"fetching", fetching, "waiting", waiting)
}

// LoadTime returns how long the load of an adapter from the weight store takes.
func (g *Gatekeeper) LoadTime() time.Duration { return g.loads.get() }

// ReturnTime returns how long the load of an adapter takes that the runner held
// before.
func (g *Gatekeeper) ReturnTime() time.Duration { return g.returns.get() }
