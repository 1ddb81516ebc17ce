package gatekeeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An estimate is how long something takes that only shows as done or not yet.
type estimate struct{ nanoseconds atomic.Int64 }

const (
	// longer is how much longer a load is taken to be after one that was not
	// done in time, and shorter how much shorter after one that was. One in ten
	// is then tried too early, which costs a retry; trying later costs every
	// request that waits.
	longer  = 1.05
	shorter = 0.995
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

func (e *estimate) scale(factor float64) { e.set(time.Duration(float64(e.get()) * factor)) }

// learn takes in what an arrival tells of the time of loads.
func (d *controller) learn(a placer.Arrival) {
	g := d.gatekeeper
	switch a {
	case placer.NoArrival:
	case placer.ArrivedLoad:
		g.loads.scale(shorter)
	case placer.ArrivedReturn:
		g.returns.scale(shorter)
	case placer.LateLoad:
		g.loads.scale(longer)
	case placer.LateReturn:
		g.returns.scale(longer)
	}
	if a == placer.ArrivedLoad || a == placer.LateLoad {
		d.window.Learn(g.LoadTime())
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
				"load", g.LoadTime(), "return", g.returnTime(), "members", g.Members())
		}
	})
}

// LoadTime returns how long the load of an adapter from the weight store takes.
func (g *Gatekeeper) LoadTime() time.Duration { return g.loads.get() }

// returnTime returns how long the load of an adapter takes that the runner held
// before.
func (g *Gatekeeper) returnTime() time.Duration { return g.returns.get() }
