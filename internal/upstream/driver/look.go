package driver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
)

// look brings one runner's tenure up to date and begins what is due: the new
// fencing number, the clearing of earlier parties, a report.
func (d *Driver) look(ctx context.Context, name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Asked under the lock: a tenure begun on an older answer could follow this
	// instance's own surrender, and serve copies that the next owner, which counts
	// it as cleared, evicts.
	fence, acts := d.Tenancy.Acts(name)
	owns := d.Tenancy.Owns(name)
	e := d.runners[name]
	switch {
	case acts && (!e.Keeper.Owned() || e.Keeper.Fence() != fence):
		d.take(e, fence)
	case !owns && e.Keeper.Owned():
		d.abandon(e)
	}
	d.expire(e, now)
	if !e.Keeper.Owned() || e.asking || !e.due(now) {
		return
	}
	e.asking = true
	e.asked = now
	go d.ask(ctx, e)
}

// reportEvery is how often an engine with nothing open is asked for a report.
// It bounds how late a leaving engine is seen, and costs its share of the 9 KB a
// second that an instance may spend on control.
const reportEvery = 2 * time.Second

// due reports whether the engine is to be asked now.
func (e *engine) due(now time.Time) bool {
	return !e.reported || e.Keeper.Unsettled() || now.Sub(e.asked) >= reportEvery
}

// ask does the slow part of look outside the lock.
func (d *Driver) ask(ctx context.Context, e *engine) {
	d.mu.Lock()
	raise := e.fencing && !e.Keeper.Raised()
	fence := e.Keeper.Fence()
	parties := e.Keeper.Uncleared()
	address := e.address()
	d.mu.Unlock()
	if raise {
		d.raise(ctx, e, address, fence)
	}
	for _, party := range parties {
		d.clear(ctx, e, party, fence)
	}
	asked := time.Now()
	report, err := d.Engine.Report(ctx, address)
	d.mu.Lock()
	e.asking = false
	if err != nil {
		d.missed(e)
		d.mu.Unlock()
		return
	}
	if e.silent >= silentReports {
		d.changed(e)
	}
	e.silent = 0
	d.reconcile(e, asked, report)
	d.mu.Unlock()
	d.Pump(ctx, time.Now())
}

// silentReports is how many reports in a row an engine may not give before new
// work goes elsewhere. Without that, an engine that is down looks idle and holds
// what is wanted, and every request would try it first.
const silentReports = 2

// missed counts a report that an engine did not give and asks again soon.
func (d *Driver) missed(e *engine) {
	d.count("sardinetiller_report_failures_total", "report")
	e.silent++
	if e.silent == silentReports {
		d.changed(e)
		d.warn("engine does not answer", e.Name, nil)
	}
	if e.silent < silentReports {
		e.asked = time.Time{}
	}
}

func (d *Driver) clear(ctx context.Context, e *engine, party string, fence uint64) {
	surrender, ok := d.Tenancy.Cleared(ctx, party, e.Name)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Keeper.Fence() == fence { // else the answer is to an earlier tenure's question
		e.Keeper.Clear(party, surrender)
		d.changed(e)
	}
}

func (d *Driver) raise(ctx context.Context, e *engine, address string, fence uint64) {
	if !d.Engine.Raise(ctx, address, fence) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e.Keeper.Raise(fence)
	d.changed(e)
}

func (d *Driver) reconcile(e *engine, asked time.Time, report caller.Report) {
	before := len(e.Keeper.Resident())
	fence, acts := d.Tenancy.Acts(e.Name)
	restarted, err := e.Reconcile(keeper.Report{
		Asked: asked, Held: acts && fence == e.Keeper.Fence(), Engine: report.Engine, Resident: report.Resident, Loading: report.Loading,
	}, report.Leaving)
	if err != nil {
		d.warn("report does not fit the slots", e.Name, err)
	}
	suspects := e.suspects(asked)
	if restarted {
		d.Quarantine.Crashed(report.Engine, suspects)
		_ = level.Warn(d.Logger).Log("msg", "engine restarted empty", "runner", e.Name)
		d.count("sardinetiller_cold_starts_total", "restart")
	}
	if restarted || !e.reported || before != len(e.Keeper.Resident()) || report.Leaving {
		d.changed(e)
	}
	e.reported = true
}

func (d *Driver) take(e *engine, fence uint64) {
	e.Keeper.Take(fence, d.Tenancy.Parties())
	e.reported = false
	d.changed(e)
	_ = level.Info(d.Logger).Log("msg", "took runner", "runner", e.Name, "fence", fence)
}
