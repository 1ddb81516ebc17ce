package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A controller manages one failure domain. The instance with the domain's lease, its leader,
// sends orders to the domain's runners and publishes which adapters they hold.
type controller struct {
	gatekeeper *Gatekeeper
	domain     string

	mu            sync.Mutex
	elector       elector.Elector
	orderingFence uint64        // fencing token for which the placers were created; 0 for none
	retryAt       time.Duration // earliest time of the next store call, after a failed one
	nextPoll      time.Duration // earliest time of the next poll of the lease row
	callInFlight  bool          // a store call for the lease is in flight
	polling       bool          // the domain appears to have no leader, and the lease row is polled
	runners       map[string]*runnerState
	checksum      uint64                // checksum of the runner descriptions
	aggregator    aggregator.Aggregator // sums up members' demand reports, on the leader or on an instance that relays them to it
	firstReportAt time.Time             // when this instance received the first demand report as leader
	changes       changeLog
	loadWindow    placer.Window         // limits the concurrent loads from the weight store
	prefillShare  admitter.PrefillShare // learned from the gaps in responses
	partition     partitionDetector
	cutOffSince   time.Time    // since when other leaders have reached the store and this one has not
	releasedFence uint64       // fencing token of the lease that was released last
	relayed       relayedState // last update from the leader, while another instance leads

	subscribers int           // members that subscribe to the domain here
	queueWait   time.Duration // expected wait until a further load begins, as of queueWaitAt
	queueWaitAt time.Time
}

// A runnerState is the leader's view of one runner.
type runnerState struct {
	runner          tracker.Runner
	placer          *placer.Placer // nil while this instance sends no orders, and for a plain service
	callInFlight    bool           // an order or a report request is in flight
	reportRequested time.Time      // when the last report was requested
	prefillQueue    admitter.PrefillSchedule
	slots           tracker.RequestSlots // request slots of a plain service
	published       map[placer.Copy]time.Time
	publishedWait   time.Duration // for an adapter slot, as last published
	failures        failureScore
}

// reportInterval limits how often a runner is asked for a report. A report is already some
// hundred milliseconds old on arrival, so more frequent ones add nothing.
const reportInterval = 250 * time.Millisecond

// setRunner adds or replaces the description of a runner.
func (d *controller) setRunner(r tracker.Runner, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.runners[r.ID]
	if ok {
		d.toggleChecksum(c.runner)
	} else {
		c = &runnerState{}
		d.runners[r.ID] = c
	}
	d.toggleChecksum(r)
	c.runner = r
	if changed {
		d.changes.add(event{runner: &r})
	}
}

// runnerDescriptions returns the descriptions of all runners.
func (d *controller) runnerDescriptions() []tracker.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	runners := make([]tracker.Runner, 0, len(d.runners))
	for _, c := range d.runners {
		runners = append(runners, c.runner)
	}
	return runners
}

// removeRunner removes a runner, if it is known.
func (d *controller) removeRunner(id string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, known := d.runners[id]
	if !known {
		return
	}
	d.toggleChecksum(c.runner)
	delete(d.runners, id)
	d.changes.add(event{removal: &relayer.RemovedRunner{Runner: id, Revision: revision}})
}

// mayOrder returns the fencing token of the lease and whether orders may be sent now.
func (d *controller) mayOrder() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elector.MaySendOrders(uptime())
}

// leads reports whether this instance leads the domain.
func (d *controller) leads() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elector.IsLeader(uptime())
}

// sendDue sends the orders and report requests that are due.
func (d *controller) sendDue(ctx context.Context) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	fence, ok := d.elector.MaySendOrders(uptime())
	if !ok {
		d.stopOrdering()
		return
	}
	if d.orderingFence != fence {
		d.startOrdering(fence)
	}
	switch {
	case d.partitioned(now):
		d.stepDown(ctx, "runners are not reached")
		return
	case d.cutOffFromStore(now):
		d.stepDown(ctx, "the store is not reached")
		return
	}
	catalog := d.gatekeeper.Catalog()
	l := d.loadStats(now)
	for _, id := range d.runnersByWaiting() {
		c := d.runners[id]
		if c.placer == nil {
			c.placer = d.newPlacer(catalog, c.runner)
		}
		if c.placer == nil || c.callInFlight || c.runner.Leaving {
			continue
		}
		c.placer.LoadTime, c.placer.ReloadTime = d.gatekeeper.LoadTime(), d.gatekeeper.ReloadTime()
		switch {
		case !c.placer.Known():
			if now.Sub(c.reportRequested) >= reportInterval {
				c.reportRequested = now
				d.requestReport(ctx, c)
			}
		default:
			if o, ok := c.placer.Next(now, l.allows()); ok {
				if !o.Unload && o.Copy.Adapter != "" && !c.placer.HeldBefore(o.Copy) {
					l.fetching++
				}
				d.sendOrder(ctx, c, o)
			}
		}
		d.publishCopies(c)
		d.publishSlotWait(c, now)
	}
}

// startOrdering discards all placer state: another leader may have changed which adapters the
// runners hold since this instance last led.
func (d *controller) startOrdering(fence uint64) {
	d.orderingFence = fence
	for _, c := range d.runners {
		c.placer = nil
		c.published = nil
	}
	d.gatekeeper.Recorder.Log(recorder.View, "msg", "giving orders", "domain", d.domain, "fence", fence, "runners", len(d.runners))
}

// stopOrdering drops the state that is only valid on the leader.
func (d *controller) stopOrdering() {
	if d.orderingFence == 0 {
		return
	}
	d.orderingFence = 0
	d.aggregator.Clear() // members report to the next leader
	d.firstReportAt = time.Time{}
	for _, c := range d.runners {
		c.placer = nil
	}
	d.gatekeeper.Recorder.Log(recorder.View, "msg", "giving no more orders", "domain", d.domain)
}

// newPlacer returns a new placer for a runner's adapter slots, or nil for a plain service.
func (d *controller) newPlacer(catalog *matcher.Catalog, r tracker.Runner) *placer.Placer {
	if catalog == nil {
		return nil
	}
	engine := catalog.Services[r.Service].Engine
	if engine == nil || len(engine.Models) == 0 {
		return nil
	}
	model := engine.Models[xxhash.Sum64String(r.ID)%uint64(len(engine.Models))]
	for _, name := range r.Models {
		if held, ok := engine.Find(name); ok {
			model = held
			break
		}
	}
	slots := engine.AdapterSlots
	if model.AdapterSize > 0 {
		slots = min(slots, (engine.Memory-model.Size)/model.AdapterSize)
	}
	inUse := func(c placer.Copy) bool { return d.aggregator.Uses(keyOf(r.ID, c)) > 0 }
	return &placer.Placer{Copies: d.copyCount, InUse: inUse, Model: model.Name, AdapterSlots: slots, MaxLoads: maxLoadsPerRunner}
}

// requestReport asks a runner which adapters it holds.
func (d *controller) requestReport(ctx context.Context, c *runnerState) {
	c.callInFlight = true
	p, runner := c.placer, c.runner
	go func() {
		report, err := d.gatekeeper.Engine.Report(ctx, runner)
		d.mu.Lock()
		defer d.mu.Unlock()
		c.callInFlight = false
		c.failures.recordReport(err)
		if err != nil {
			d.gatekeeper.Recorder.Log(recorder.View, "msg", "runner report failed", "runner", runner.ID, "err", err)
			return
		}
		applied := p.ApplyReport(report, time.Now())
		d.gatekeeper.Recorder.Log(recorder.View, "msg", "report", "runner", runner.ID, "sequence", report.Sequence,
			"resident", len(report.Resident), "incoming", len(report.Incoming), "models", len(report.Models), "busy", report.Busy, "taken", applied)
	}()
}

// sendOrder sends an order, provided that the lease is still valid when it is sent.
func (d *controller) sendOrder(ctx context.Context, c *runnerState, o placer.Order) {
	c.callInFlight = true
	p, runner, fence := c.placer, c.runner, d.orderingFence
	go func() {
		began := time.Now()
		outcome, err := placer.Refused, error(nil)
		if current, ok := d.mayOrder(); ok && current == fence {
			outcome, err = d.gatekeeper.Engine.Order(ctx, runner, o, d.gatekeeper.Config.ID, fence)
		}
		d.mu.Lock()
		p.Finish(outcome, time.Now())
		c.failures.recordOrder(outcome)
		c.callInFlight = false
		d.mu.Unlock()
		d.gatekeeper.logOrder(runner, o, outcome, fence, time.Since(began), err)
		d.gatekeeper.checkOrdersNow()
	}()
}

// publishCopies publishes which copies a runner has gained or lost since the last call.
func (d *controller) publishCopies(c *runnerState) {
	held := c.placer.Held()
	now := time.Now()
	for copied, at := range held {
		before, ok := c.published[copied]
		if !ok || !before.Equal(at) && (at.After(now) || before.After(now)) { // a load that completes as expected is no change for members
			d.changes.add(event{copyChange: &copyEvent{runner: c.runner.ID, copy: copied, at: at, present: true}})
		}
	}
	for copied := range c.published {
		if _, ok := held[copied]; !ok {
			d.changes.add(event{copyChange: &copyEvent{runner: c.runner.ID, copy: copied}})
		}
	}
	if c.placer.Known() || c.published != nil {
		c.published = held
		d.gatekeeper.Fleet.SetHeld(c.runner.ID, held)
	}
}
