package gatekeeper

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/forecaster"
	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// aheadCopies are the copies of a failure domain that are loaded ahead of demand.
type aheadCopies struct {
	forecaster forecaster.Forecaster

	active    bool // some runner takes part, as of the last step
	copies    map[aggregator.Key]*aheadCopy
	requests  map[placer.Copy]forecaster.Requests // as of the last step
	steppedAt time.Time
}

// An aheadCopy is a copy that was requested ahead of demand and not used yet.
type aheadCopy struct {
	loaded      bool      // its load has been counted
	requestedAt time.Time // when it was first requested
}

const (
	// aheadInterval is the interval between steps: an adapter becomes popular within a few
	// arrivals of 35 ms each, and a step takes the time of some hundred of them to decide.
	aheadInterval = 50 * time.Millisecond
	// aheadTimeout is how long a copy stays requested without being loaded. Later, the runner
	// chosen for it may no longer be the one with the least load.
	aheadTimeout = 500 * time.Millisecond
	// aheadWindowFraction is the fraction of the load window up to which copies are loaded ahead
	// of demand. Each occupies the window for a load time; the rest is for copies that requests
	// will wait for meanwhile.
	aheadWindowFraction = 0.75
	// aheadMaxLoad is the fraction of a runner's request slots in use up to which it is given a
	// further copy: a copy at a full runner serves no request.
	aheadMaxLoad = 0.9
	// reloadPreference and emptyPreference are how much more of its request slots a runner may
	// have in use, as a fraction, and still be chosen, as it held the copy before or has an empty
	// adapter slot. A reload saves nine tenths of a load that is billed; an empty slot saves
	// another adapter's load only if that one is requested again.
	reloadPreference = 0.4
	emptyPreference  = 0.2
	// pendingPenalty is the same for each other copy that was requested there and is not used
	// yet: its requests will take request slots there.
	pendingPenalty = 0.25
)

// aheadFor reports whether copies for a service are loaded ahead of demand.
func (g *Gatekeeper) aheadFor(service string) bool {
	switch g.Config.Load.Ahead {
	case configurer.On:
		return true
	case configurer.Auto:
		return g.Fleet.StatesPace(service)
	default:
		return false
	}
}

// asksForSpareCopies reports whether this instance requests spare copies at a runner itself: its
// leader does not load copies ahead of demand, or there is none.
func (l *link) asksForSpareCopies(runner tracker.Runner) bool {
	g := l.gatekeeper
	if !g.aheadFor(runner.Service) {
		return true
	}
	_, _, ok := l.leaderAndSource()
	return !ok && !g.controllers[l.domain].leads()
}

// recordArrival records a request for a copy at a runner.
func (c *controller) recordArrival(state *runnerState, copied placer.Copy, now time.Time) {
	if c.gatekeeper.aheadFor(state.runner.Service) {
		c.ahead.forecaster.Arrive(copied, now)
	}
}

// recordRefusals records requests that members refused without asking: the leader sees no other
// sign of demand beyond what the copies can carry.
func (c *controller) recordRefusals(refused relayer.CopyUse, now time.Time) {
	state, ok := c.runners[refused.Runner]
	if !ok {
		return
	}
	for range min(refused.Requests, maxRefusals) {
		c.recordArrival(state, refused.Copy, now)
	}
}

// maxRefusals bounds the refusals that one report may count for a copy at a runner: a member
// refuses some tens of requests between two reports.
const maxRefusals = 1000

// allows returns which adapters may be fetched, where copies are loaded ahead of demand.
func (c *controller) allows(l loadStats) placer.FetchLimit {
	limit := l.allows()
	if c.ahead.active && limit == placer.FetchAny && float64(l.fetching) >= max(1, aheadWindowFraction*float64(l.limit)) {
		return placer.FetchForWaiting
	}
	return limit
}

// loadAhead requests the copies that are expected to be needed, if a step is due.
func (c *controller) loadAhead(now time.Time) {
	if now.Sub(c.ahead.steppedAt) < aheadInterval {
		return
	}
	c.ahead.steppedAt = now
	capacities := c.aheadCapacities()
	c.ahead.active = len(capacities) > 0
	if !c.ahead.active && len(c.ahead.copies) == 0 {
		return
	}
	c.countCopies(now)
	c.ahead.forecaster.Observe(c.ahead.requests, now)
	c.replaceVersions(now)
	c.trackAhead(capacities, now)
	for _, f := range c.ahead.forecaster.Plan(c.ahead.requests, capacities, now) {
		c.requestAhead(f, now)
	}
}

// aheadCapacities returns the capacities of the runners that take part, by model.
func (c *controller) aheadCapacities() map[string]forecaster.Capacity {
	g := c.gatekeeper
	var capacities map[string]forecaster.Capacity
	for _, state := range c.runners {
		if state.placer == nil || !g.aheadFor(state.runner.Service) {
			continue
		}
		if capacities == nil {
			capacities = make(map[string]forecaster.Capacity)
		}
		capacity := capacities[state.placer.Model]
		capacity.AdapterSlots += state.placer.AdapterSlots
		capacity.LoadTime = g.LoadTime()
		capacity.RequestSlots = max(capacity.RequestSlots, state.runner.Slots)
		capacity.RunTime = g.Fleet.RunTime(state.runner.Service)
		capacity.Runners++
		capacities[state.placer.Model] = capacity
	}
	return capacities
}

// countCopies counts the copies of each adapter and the requests for them.
func (c *controller) countCopies(now time.Time) {
	if c.ahead.requests == nil {
		c.ahead.requests = make(map[placer.Copy]forecaster.Requests)
	}
	requests := c.ahead.requests
	clear(requests)
	for _, state := range c.runners {
		if state.placer == nil || state.failures >= unresponsive {
			continue
		}
		state.placer.EachCopy(now, func(copied placer.Copy, ready bool) {
			r := requests[copied]
			r.Held++
			if ready {
				r.Ready++
			}
			requests[copied] = r
		})
	}
	c.aggregator.EachCopy(func(k aggregator.Key, uses, waiting int) {
		if k.Copy.Adapter == "" {
			return
		}
		r := requests[k.Copy]
		r.Running += uses
		r.Waiting += waiting
		requests[k.Copy] = r
	})
}

// replaceVersions passes the demand for older versions on to the newest ones, so that these are
// loaded before a request waits for them.
func (c *controller) replaceVersions(now time.Time) {
	f := &c.ahead.forecaster
	f.Copies(func(old placer.Copy) {
		newest := old
		if newest.Version = c.gatekeeper.NewestVersion(old.Model, old.Adapter); newest.Version > old.Version {
			f.Succeed(old, newest, now)
		}
	})
}

// trackAhead repeats the requests for copies that are still needed, withdraws the others, and
// counts the copies that were loaded, used, or evicted unused.
func (c *controller) trackAhead(capacities map[string]forecaster.Capacity, now time.Time) {
	for k, requested := range c.ahead.copies {
		state, ok := c.runners[k.Runner]
		switch {
		case ok && state.placer != nil:
			c.trackCopy(k, requested, state, capacities, now)
		case requested.loaded:
			c.endAhead(k, "unused")
		default:
			delete(c.ahead.copies, k)
			c.ahead.forecaster.Withdraw(1)
		}
	}
}

// trackCopy does the same for one copy, at a runner that is given orders.
func (c *controller) trackCopy(k aggregator.Key, requested *aheadCopy, state *runnerState, capacities map[string]forecaster.Capacity, now time.Time) {
	if !requested.loaded && state.placer.Accepted(k.Copy) {
		requested.loaded = true
		state.placer.WithdrawAhead(k.Copy) // a copy that is evicted is not loaded again for it
		c.countAhead("loaded")
	}
	switch {
	case requested.loaded && c.aggregator.Uses(k) > 0:
		c.endAhead(k, "used")
	case state.placer.Holds(k.Copy):
	case requested.loaded:
		c.endAhead(k, "unused")
	case now.Sub(requested.requestedAt) > aheadTimeout || !c.stillNeeded(k.Copy, capacities, now):
		c.withdrawAhead(k, state)
	default:
		state.placer.RequestAhead(k.Copy, c.usesOfOneCopy(k.Copy, now), now)
	}
}

// stillNeeded reports whether all copies that are held or requested are needed.
func (c *controller) stillNeeded(copied placer.Copy, capacities map[string]forecaster.Capacity, now time.Time) bool {
	return c.ahead.forecaster.Needed(copied, capacities[copied.Model], now) >= c.ahead.requests[copied].Held
}

// withdrawAhead withdraws the request for a copy whose load has not begun.
func (c *controller) withdrawAhead(k aggregator.Key, state *runnerState) {
	state.placer.WithdrawAhead(k.Copy)
	c.ahead.forecaster.Withdraw(1)
	delete(c.ahead.copies, k)
	if state.failures >= unresponsive {
		return // countCopies has not counted it
	}
	r := c.ahead.requests[k.Copy]
	r.Held--
	c.ahead.requests[k.Copy] = r
}

// endAhead counts a copy that was used or evicted unused.
func (c *controller) endAhead(k aggregator.Key, result string) {
	delete(c.ahead.copies, k)
	c.countAhead(result)
}

func (c *controller) countAhead(result string) {
	c.gatekeeper.Metrics.GetOrCreateCounter(`sardinetiller_copies_ahead_total{result="` + result + `"}`).Inc()
}

// usesOfOneCopy returns the uses that one copy is expected to have in a second.
func (c *controller) usesOfOneCopy(copied placer.Copy, now time.Time) float64 {
	return c.ahead.forecaster.Rate(copied, now) / float64(max(1, c.ahead.requests[copied].Held))
}

// requestAhead requests the copies of a forecast at the runners that suit them best.
func (c *controller) requestAhead(f forecaster.Forecast, now time.Time) {
	if f.Requested == 0 || f.Copy.Version != c.gatekeeper.NewestVersion(f.Copy.Model, f.Copy.Adapter) {
		c.ahead.forecaster.Withdraw(f.Requested)
		return
	}
	sites := c.aheadSites(f.Copy, now)
	chosen := sites[:min(len(sites), f.Requested)]
	c.ahead.forecaster.Withdraw(f.Requested - len(chosen))
	if len(chosen) == 0 {
		return
	}
	if c.ahead.copies == nil {
		c.ahead.copies = make(map[aggregator.Key]*aheadCopy)
	}
	for _, site := range chosen {
		site.state.placer.RequestAhead(f.Copy, c.usesOfOneCopy(f.Copy, now), now)
		c.ahead.copies[keyOf(site.state.runner.ID, f.Copy)] = &aheadCopy{requestedAt: now}
		c.countAhead("requested")
	}
	r := c.ahead.requests[f.Copy]
	r.Held += len(chosen)
	c.ahead.requests[f.Copy] = r
	c.gatekeeper.Recorder.Log(recorder.Ahead, "msg", "copies requested", "domain", c.domain, "adapter", f.Copy, "rate", oneDecimal(f.Rate), "expected", oneDecimal(f.Expected),
		"needed", f.Needed, "held", f.Held, "requested", len(chosen))
}

// An aheadSite is a runner at which a copy can be loaded ahead of demand.
type aheadSite struct {
	state *runnerState
	cost  float64 // fraction of its request slots in use, with the preferences
}

// aheadSites returns the runners at which a copy can be loaded ahead of demand, best first.
func (c *controller) aheadSites(copied placer.Copy, now time.Time) []aheadSite {
	pending := make(map[string]int, len(c.ahead.copies))
	for k := range c.ahead.copies {
		pending[k.Runner]++
	}
	var sites []aheadSite
	for id, state := range c.runners {
		p := state.placer
		if p == nil || p.Model != copied.Model || p.Wants(copied, now) || state.failures >= unresponsive || !c.gatekeeper.aheadFor(state.runner.Service) || c.gatekeeper.Fleet.Declines(id, now) {
			continue
		}
		used := float64(c.aggregator.Load(id).Running) / float64(max(1, state.runner.Slots))
		if used >= aheadMaxLoad {
			continue
		}
		room := p.AheadRoom(copied, now)
		if room == placer.NoRoom {
			continue
		}
		cost := used*c.gatekeeper.Fleet.PaceFactor(id, now) + pendingPenalty*float64(pending[id])
		switch room {
		case placer.NoRoom, placer.Evictable:
		case placer.Replaces:
			cost -= reloadPreference // requests for the adapter are known to come here
		case placer.Empty:
			cost -= emptyPreference
		}
		if p.HeldBefore(copied) {
			cost -= reloadPreference
		}
		sites = append(sites, aheadSite{state, cost})
	}
	slices.SortFunc(sites, func(a, b aheadSite) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.state.runner.ID, b.state.runner.ID))
	})
	return sites
}

// oneDecimal rounds a number for the log.
func oneDecimal(x float64) float64 { return math.Round(10*x) / 10 }

// mayEvict reports whether a copy may be evicted for one that is loaded ahead of demand, by the
// rates as of the last step: decaying the rates for each call would cost most of a step.
func (c *controller) mayEvict(victim, ahead placer.Copy) bool {
	requests := c.ahead.requests
	return c.ahead.forecaster.MayEvict(victim, requests[victim].Held, ahead, c.ahead.steppedAt)
}

// clearAhead drops what is only valid while this instance sends orders. The demand is kept: it
// is learned by the leader before it may send any.
func (c *controller) clearAhead() {
	clear(c.ahead.copies)
	c.ahead.active = false
	c.ahead.steppedAt = time.Time{}
}
