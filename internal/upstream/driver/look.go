package driver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
)

// look updates the ownership of one runner and starts the calls that are due: raising
// the fencing token, asking previous owners to release it, requesting a report.
func (d *Driver) look(ctx context.Context, name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Read under the lock: ownership that starts from an older value could follow
	// this instance's own surrender. It would then serve copies that the next owner,
	// which has this instance's confirmation of the release, evicts.
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

// reportEvery is how often an engine without unconfirmed orders is asked for a
// report. It bounds the delay until a draining engine is noticed; the reports count
// towards the 9 KB a second that an instance may spend on control traffic.
const reportEvery = 2 * time.Second

// due reports whether a report is to be requested now.
func (e *engine) due(now time.Time) bool {
	return !e.reported || e.Keeper.Unsettled() || now.Sub(e.asked) >= reportEvery
}

// ask makes the network calls of look, outside the lock.
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

// silentReports is the number of consecutive failed reports after which new
// requests go to other engines. Without it an engine that is down would appear idle
// with the requested adapters resident, and every request would try it first.
const silentReports = 2

// missed counts a failed report and has it requested again at the next tick.
func (d *Driver) missed(e *engine) {
	d.count("sardinetiller_report_failures_total", "report")
	e.silent++
	if e.silent == silentReports {
		d.changed(e)
		d.warn("engine is unresponsive", e.Name, nil)
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
	if e.Keeper.Fence() == fence { // otherwise the answer belongs to an earlier ownership
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
		d.warn("report is inconsistent with the slots", e.Name, err)
	}
	suspects := e.suspects(asked)
	if restarted {
		d.Quarantine.Crashed(report.Engine, suspects)
		_ = level.Warn(d.Logger).Log("msg", "engine restarted", "runner", e.Name)
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
	_ = level.Info(d.Logger).Log("msg", "acquired runner", "runner", e.Name, "fence", fence)
}
