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
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/throttler"
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
	observedFence uint64        // fencing token with which the runners were last observed before orders may be given
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
	ahead         aheadCopies
	cutOffSince   time.Time    // since when other leaders have reached the store and this one has not
	releasedFence uint64       // fencing token of the lease that was released last
	relayed       relayedState // last update from the leader, while another instance leads

	subscribers int                   // members that subscribe to the domain here
	queueWait   tracker.LoadQueueWait // as of queueWaitAt
	queueWaitAt time.Time
}

// A runnerState is the leader's view of one runner.
type runnerState struct {
	runner          tracker.Runner
	placer          *placer.Placer // nil while this instance sends no orders, and for a plain service
	reported        bool           // the placer has been told what the runner holds
	callInFlight    bool           // an order or a report request is in flight
	reportRequested time.Time      // when the last report was requested
	prefillQueue    admissionQueue
	slots           tracker.RequestSlots // request slots of a plain service
	published       map[placer.Copy]time.Time
	publishedWait   time.Duration // for an adapter slot, as last published
	failures        failureScore
	usualPace       float64            // as last logged; 0 while it is not exported
	throttle        throttler.Throttle // used while the runner limits its request rate
}

// reportInterval limits how often a runner is asked for a report. A report is already some
// hundred milliseconds old on arrival, so more frequent ones add nothing.
const reportInterval = 250 * time.Millisecond

// setRunner adds or replaces the description of a runner.
func (c *controller) setRunner(r tracker.Runner, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.runners[r.ID]
	if ok {
		c.toggleChecksum(state.runner)
	} else {
		state = &runnerState{}
		c.runners[r.ID] = state
	}
	c.toggleChecksum(r)
	state.runner = r
	if changed {
		c.changes.add(event{runner: &r})
	}
}

// runnerDescriptions returns the descriptions of all runners.
func (c *controller) runnerDescriptions() []tracker.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	runners := make([]tracker.Runner, 0, len(c.runners))
	for _, state := range c.runners {
		runners = append(runners, state.runner)
	}
	return runners
}

// removeRunner removes a runner, if it is known.
func (c *controller) removeRunner(id string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, known := c.runners[id]
	if !known {
		return
	}
	c.toggleChecksum(state.runner)
	c.dropPace(state)
	delete(c.runners, id)
	c.changes.add(event{removal: &relayer.RemovedRunner{Runner: id, Revision: revision}})
}

// mayOrder returns the fencing token of the lease and whether orders may be sent now.
func (c *controller) mayOrder() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elector.MaySendOrders(uptime())
}

// leads reports whether this instance leads the domain.
func (c *controller) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elector.IsLeader(uptime())
}

// sendDue sends the orders and report requests that are due.
func (c *controller) sendDue(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	fence, ok := c.elector.MaySendOrders(uptime())
	if !ok {
		c.stopOrdering()
		if c.elector.IsLeader(uptime()) {
			c.observeRunners(ctx, now)
		}
		return
	}
	if c.orderingFence != fence {
		c.startOrdering(fence)
	}
	switch {
	case c.partitioned(now):
		c.stepDown(ctx, "runners are not reached")
		return
	case c.cutOffFromStore(now):
		c.stepDown(ctx, "the store is not reached")
		return
	}
	catalog := c.gatekeeper.Catalog()
	c.loadAhead(now)
	l := c.loadStats(now)
	for _, id := range c.runnersByWaiting() {
		state := c.runners[id]
		if state.placer == nil {
			state.placer, state.reported = c.newPlacer(catalog, state.runner), false
		}
		if state.placer == nil || state.callInFlight {
			continue
		}
		if c.gatekeeper.Fleet.Declines(id, now) {
			c.publishSlotWait(state, now)
			continue
		}
		state.placer.LoadTime, state.placer.ReloadTime = c.gatekeeper.LoadTime(), c.gatekeeper.ReloadTime()
		switch {
		case !state.placer.Known():
			if now.Sub(state.reportRequested) >= reportInterval {
				state.reportRequested = now
				c.requestReport(ctx, state)
			}
		default:
			if o, ok := state.placer.Next(now, c.allows(l)); ok {
				if !o.Unload && o.Copy.Adapter != "" && !state.placer.HeldBefore(o.Copy) {
					l.fetching++
				}
				c.sendOrder(ctx, state, o)
			}
		}
		c.publishCopies(state)
		c.publishSlotWait(state, now)
	}
}

// startOrdering discards all placer state: another leader may have changed which adapters the
// runners hold since this instance last led.
func (c *controller) startOrdering(fence uint64) {
	c.orderingFence = fence
	c.clearAhead()
	for _, state := range c.runners {
		state.placer = nil
		if c.observedFence != fence {
			state.published = nil
		}
	}
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "giving orders", "domain", c.domain, "fence", fence, "runners", len(c.runners))
}

// stopOrdering drops the state that is only valid on the leader.
func (c *controller) stopOrdering() {
	if c.orderingFence == 0 {
		return
	}
	c.orderingFence = 0
	c.clearAhead()
	c.aggregator.Clear() // members report to the next leader
	c.firstReportAt = time.Time{}
	for _, state := range c.runners {
		state.placer = nil
		c.dropPace(state)
	}
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "giving no more orders", "domain", c.domain)
}

// newPlacer returns a new placer for a runner's adapter slots, or nil for a plain service.
func (c *controller) newPlacer(catalog *matcher.Catalog, r tracker.Runner) *placer.Placer {
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
	inUse := func(copied placer.Copy) bool { return c.aggregator.Uses(keyOf(r.ID, copied)) > 0 }
	return &placer.Placer{Copies: c.copyCount, InUse: inUse, MayEvict: c.mayEvict, Model: model.Name, AdapterSlots: slots, MaxLoads: maxLoadsPerRunner}
}

// requestReport asks a runner which adapters it holds.
func (c *controller) requestReport(ctx context.Context, state *runnerState) {
	state.callInFlight = true
	p, runner := state.placer, state.runner
	go func() {
		report, err := c.gatekeeper.Engine.Report(ctx, runner)
		c.mu.Lock()
		defer c.mu.Unlock()
		state.callInFlight = false
		state.failures.recordReport(err)
		if err != nil && judge.As(err).Verdict == judge.NotRun {
			c.gatekeeper.Fleet.Detector.Failed(runner.Service, runner.ID, time.Now())
		}
		if err != nil {
			c.gatekeeper.Recorder.Log(recorder.View, "msg", "runner report failed", "runner", runner.ID, "err", err)
			return
		}
		applied := p.ApplyReport(report, time.Now())
		c.gatekeeper.Recorder.Log(recorder.View, "msg", "report", "runner", runner.ID, "sequence", report.Sequence,
			"resident", len(report.Resident), "incoming", len(report.Incoming), "models", len(report.Models), "busy", report.Busy, "taken", applied)
	}()
}

// sendOrder sends an order, provided that the lease is still valid when it is sent.
func (c *controller) sendOrder(ctx context.Context, state *runnerState, o placer.Order) {
	state.callInFlight = true
	p, runner, fence := state.placer, state.runner, c.orderingFence
	go func() {
		began := time.Now()
		outcome, err := placer.Refused, error(nil)
		if current, ok := c.mayOrder(); ok && current == fence {
			outcome, err = c.gatekeeper.Engine.Order(ctx, runner, o, c.gatekeeper.Config.ID, fence)
		}
		c.mu.Lock()
		p.Finish(outcome, time.Now())
		state.failures.recordOrder(outcome)
		if outcome == placer.Unreached {
			c.gatekeeper.Fleet.Detector.Failed(runner.Service, runner.ID, time.Now())
		}
		state.callInFlight = false
		c.mu.Unlock()
		c.gatekeeper.logOrder(runner, o, outcome, fence, time.Since(began), err)
		c.gatekeeper.checkOrdersNow()
	}()
}

// publishCopies publishes which copies a runner has gained or lost since the last call.
func (c *controller) publishCopies(state *runnerState) {
	state.reported = state.reported || state.placer.Known()
	if state.reported {
		c.publishHeld(state, state.placer.Held(), time.Now())
	}
}

// publishHeld publishes which copies a runner has gained or lost since the last call.
func (c *controller) publishHeld(state *runnerState, held map[placer.Copy]time.Time, now time.Time) {
	for copied, at := range held {
		before, ok := state.published[copied]
		if !ok || !before.Equal(at) && (at.After(now) || before.After(now)) { // a load that completes as expected is no change for members
			c.changes.add(event{copyChange: &copyEvent{runner: state.runner.ID, copy: copied, at: at, present: true}})
		}
	}
	for copied := range state.published {
		if _, ok := held[copied]; !ok {
			c.changes.add(event{copyChange: &copyEvent{runner: state.runner.ID, copy: copied}})
		}
	}
	state.published = held
	c.gatekeeper.Fleet.SetHeld(state.runner.ID, held)
}
