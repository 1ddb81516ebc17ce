package driver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
)

// check updates the ownership of one runner and starts the calls that are due: raising
// the fencing token, asking previous owners to release it, requesting a report.
func (d *Driver) check(ctx context.Context, name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Read under the lock: with values read earlier, this instance could acquire the
	// runner again after its own handover. It would then serve copies that the next
	// owner, which has this instance's confirmation of the release, evicts.
	fence, mayAct := d.Ownership.FencingToken(name)
	owns := d.Ownership.Owns(name)
	e := d.runners[name]
	switch {
	case mayAct && (!e.Keeper.Owned() || e.Keeper.Fence() != fence):
		d.acquire(e, fence)
	case !owns && e.Keeper.Owned():
		d.abandonOwnership(e)
	}
	d.refuseExpired(e, now)
	if !e.Keeper.Owned() || e.checking || !e.due(now) {
		return
	}
	e.checking = true
	e.reportRequested = now
	go d.queryEngine(ctx, e)
}

// reportInterval is how often an engine without unconfirmed orders is asked for a
// report. It bounds the delay until a draining engine is noticed; the reports count
// towards the 9 KB a second that an instance may spend on control traffic.
const reportInterval = 2 * time.Second

// due reports whether a report is to be requested now.
func (e *engine) due(now time.Time) bool {
	return !e.reported || e.Keeper.Unsettled() || now.Sub(e.reportRequested) >= reportInterval
}

// queryEngine makes the network calls of check, outside the lock.
func (d *Driver) queryEngine(ctx context.Context, e *engine) {
	d.mu.Lock()
	raise := e.fencing && !e.Keeper.FenceConfirmed()
	fence := e.Keeper.Fence()
	owners := e.Keeper.Uncleared()
	address := e.address()
	d.mu.Unlock()
	if raise {
		d.raiseFence(ctx, e, address, fence)
	}
	for _, owner := range owners {
		d.clear(ctx, e, owner, fence)
	}
	requested := time.Now()
	report, err := d.Engine.Report(ctx, address)
	d.mu.Lock()
	e.checking = false
	if err != nil {
		d.recordMissedReport(e)
		d.mu.Unlock()
		return
	}
	if e.missedReports >= maxMissedReports {
		d.markChanged(e)
	}
	e.missedReports = 0
	d.reconcile(e, requested, report)
	d.mu.Unlock()
	d.Pump(ctx, time.Now())
}

// maxMissedReports is the number of consecutive failed reports after which new
// requests go to other engines. Without it an engine that is down would appear idle
// with the requested adapters resident, and every request would try it first.
const maxMissedReports = 2

// recordMissedReport counts a failed report and has it requested again at the next tick.
func (d *Driver) recordMissedReport(e *engine) {
	d.countReason("sardinetiller_report_failures_total", "report")
	e.missedReports++
	if e.missedReports == maxMissedReports {
		d.markChanged(e)
		d.warn("engine is unresponsive", e.Name, nil)
	}
	if e.missedReports < maxMissedReports {
		e.reportRequested = time.Time{}
	}
}

// clear asks a previous owner to release the runner and records the release.
func (d *Driver) clear(ctx context.Context, e *engine, owner string, fence uint64) {
	handover, ok := d.Ownership.RequestRelease(ctx, owner, e.Name)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Keeper.Fence() == fence { // otherwise the answer belongs to an earlier ownership
		e.Keeper.Clear(owner, handover)
		d.markChanged(e)
	}
}

func (d *Driver) raiseFence(ctx context.Context, e *engine, address string, fence uint64) {
	if !d.Engine.RaiseFence(ctx, address, fence) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e.Keeper.ConfirmFence(fence)
	d.markChanged(e)
}

func (d *Driver) reconcile(e *engine, requested time.Time, report caller.Report) {
	before := len(e.Keeper.Resident())
	fence, mayAct := d.Ownership.FencingToken(e.Name)
	restarted, err := e.Reconcile(keeper.Report{
		RequestedAt: requested, LeaseValid: mayAct && fence == e.Keeper.Fence(), Engine: report.Engine, Resident: report.Resident, Loading: report.Loading,
	}, report.Leaving)
	if err != nil {
		d.warn("report is inconsistent with the slots", e.Name, err)
	}
	suspects := e.suspects(requested)
	if restarted {
		d.Quarantine.Crashed(report.Engine, suspects)
		_ = level.Warn(d.Logger).Log("msg", "engine restarted", "runner", e.Name)
		d.countReason("sardinetiller_cold_starts_total", "restart")
	}
	if restarted || !e.reported || before != len(e.Keeper.Resident()) || report.Leaving {
		d.markChanged(e)
	}
	e.reported = true
}

func (d *Driver) acquire(e *engine, fence uint64) {
	e.Keeper.Acquire(fence, d.Ownership.PreviousOwners())
	e.reported = false
	d.markChanged(e)
	_ = level.Info(d.Logger).Log("msg", "acquired runner", "runner", e.Name, "fence", fence)
}
