package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
)

// pendingDemand is the demand at the domain's runners that is to be reported. Uses and waits are
// reported as a full snapshot, so that the next report makes up for one that was lost; the
// other fields hold what was observed since the last report.
type pendingDemand struct {
	shortGaps int                     // responses with only short gaps
	longGaps  int                     // responses with a long gap
	misses    map[aggregator.Key]bool // copies that requests did not find loaded
	refused   map[aggregator.Key]int  // requests refused without asking the leader
	spare     map[aggregator.Key]bool // further copies requested, for later requests
	hits      map[aggregator.Key]hitCount
	uses      map[aggregator.Key]int
	waits     map[aggregator.Key]map[string]waiter // by copy and request ID
	paces     map[string]gauger.Statement          // latest statement by runner
}

// A hitCount counts the requests that found a copy loaded on a runner.
type hitCount struct {
	requests int
	sent     time.Time // when the first of them was sent
}

// A waiter is a request that waits for a copy.
type waiter struct {
	inTime      int       // requests in time that it counts as
	refreshedAt time.Time // when it was last refreshed
	priority    int
}

// waitMaxAge is how long a request counts as waiting after its last refresh. A waiting
// request refreshes every 10 ms.
const waitMaxAge = 50 * time.Millisecond

// applyOwnDemand applies this instance's own demand if it leads the domain.
func (g *Gatekeeper) applyOwnDemand(domain string, demand relayer.Demand) {
	c := g.controllers[domain]
	c.applyDemand(g.Config.ID, demand)
	now := time.Now()
	g.directory.observe(domain, heartbeater.Instance{ID: g.Config.ID, Domain: g.Config.Domain, Address: g.Config.AdvertisedAddress()}, now)
	g.directory.expire(domain, now)
	c.mu.Lock()
	others, members := c.loadsExcept(g.Config.ID, now), c.instances(now)
	queueWait := c.loadQueueWait(now)
	slotWaits := c.slotWaits(now)
	c.mu.Unlock()
	g.Fleet.SetLoadQueueWait(domain, queueWait)
	g.Fleet.SetAdapterSlotWaits(slotWaits)
	g.Fleet.SetOtherLoads(domain, others)
	_, mayOrder := c.mayOrder()
	g.Fleet.SetLeaderPresent(domain, mayOrder)
	l := g.links[domain]
	l.mu.Lock()
	l.lastUpdate = now
	l.setMembers(members)
	l.mu.Unlock()
	if demand.Urgent() {
		g.checkOrdersNow()
	}
}

// linkOf returns the link to the domain of a runner.
func (g *Gatekeeper) linkOf(runner string) (*link, bool) {
	r, ok := g.Fleet.Get(runner)
	if !ok {
		return nil, false
	}
	l, ok := g.links[r.Domain]
	return l, ok
}

// ReportWaiting implements forwarder.Placement.
func (g *Gatekeeper) ReportWaiting(w forwarder.Waiter) {
	l, ok := g.linkOf(w.Runner)
	if !ok {
		return
	}
	now := time.Now()
	k := keyOf(w.Runner, w.Copy)
	l.mu.Lock()
	if l.pendingDemand.waits == nil {
		l.pendingDemand.waits = make(map[aggregator.Key]map[string]waiter)
	}
	if l.pendingDemand.waits[k] == nil {
		l.pendingDemand.waits[k] = make(map[string]waiter)
	}
	l.pendingDemand.waits[k][w.Request] = waiter{inTime: weightOf(w), refreshedAt: now, priority: w.Priority}
	isNew := l.newlyRequested(k, now)
	l.mu.Unlock()
	if isNew {
		l.reportNow()
	}
}

// weightOf returns how many requests in time a request counts as.
func weightOf(w forwarder.Waiter) int {
	switch {
	case w.Continues:
		return placer.ContinuedWeight
	case w.InTime:
		return 1
	default:
		return 0
	}
}

// ReportGap implements forwarder.Placement.
func (g *Gatekeeper) ReportGap(runner string, longest, limit time.Duration) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case admitter.IsShortGap(longest, limit):
		l.pendingDemand.shortGaps++
	case admitter.IsLongGap(longest, limit):
		l.pendingDemand.longGaps++
	}
}

// RequestSpareCopy implements forwarder.Placement.
func (g *Gatekeeper) RequestSpareCopy(runner string, c placer.Copy) {
	r, known := g.Fleet.Get(runner)
	if l, ok := g.linkOf(runner); known && ok && l.asksForSpareCopies(r) {
		l.addPending(&l.pendingDemand.spare, keyOf(runner, c))
	}
}

// newlyRequested reports whether the copy was not requested within urgentInterval, so that the
// leader needs an immediate report.
func (l *link) newlyRequested(k aggregator.Key, now time.Time) bool {
	if now.Sub(l.urgentAt[k]) <= urgentInterval {
		return false
	}
	if l.urgentAt == nil {
		l.urgentAt = make(map[aggregator.Key]time.Time)
	}
	l.urgentAt[k] = now
	return true
}

// ReportHit implements forwarder.Placement.
func (g *Gatekeeper) ReportHit(runner string, c placer.Copy, sent time.Time) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingDemand.recordHits(keyOf(runner, c), hitCount{requests: 1, sent: sent})
}

// recordHits records requests that found a copy.
func (p *pendingDemand) recordHits(k aggregator.Key, more hitCount) {
	if p.hits == nil {
		p.hits = make(map[aggregator.Key]hitCount)
	}
	hit := p.hits[k]
	if hit.requests == 0 || more.sent.Before(hit.sent) {
		hit.sent = more.sent
	}
	hit.requests += more.requests
	p.hits[k] = hit
}

// ReportRefusal implements forwarder.Placement.
func (g *Gatekeeper) ReportRefusal(runner string, c placer.Copy) {
	r, known := g.Fleet.Get(runner)
	l, ok := g.linkOf(runner)
	if !known || !ok || !g.aheadFor(r.Service) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingDemand.recordRefusals(keyOf(runner, c), 1)
}

// recordRefusals records requests that were refused without asking the leader.
func (p *pendingDemand) recordRefusals(k aggregator.Key, requests int) {
	if p.refused == nil {
		p.refused = make(map[aggregator.Key]int)
	}
	p.refused[k] += requests
}

// AcquireCopy implements forwarder.Placement. The end of a use is reported at once if other copies
// wait for a slot: the next periodic report would come up to one interval later, a large
// part of the time for which a short run occupies its slot.
func (g *Gatekeeper) AcquireCopy(runner string, c placer.Copy) (done func()) {
	l, ok := g.linkOf(runner)
	if !ok {
		return func() {}
	}
	k := keyOf(runner, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingDemand.uses == nil {
		l.pendingDemand.uses = make(map[aggregator.Key]int)
	}
	l.pendingDemand.uses[k]++
	return func() { l.endUse(k) }
}

func (l *link) endUse(k aggregator.Key) {
	l.mu.Lock()
	l.pendingDemand.uses[k]--
	over := l.pendingDemand.uses[k] <= 0
	if over {
		delete(l.pendingDemand.uses, k)
	}
	l.mu.Unlock()
	if over && l.gatekeeper.Fleet.AdapterSlotsFull(k.Runner) {
		l.reportNow()
	}
}

func (l *link) addPending(set *map[aggregator.Key]bool, k aggregator.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*set = mark(*set, k)
}

func mark(set map[aggregator.Key]bool, k aggregator.Key) map[aggregator.Key]bool {
	if set == nil {
		set = make(map[aggregator.Key]bool)
	}
	set[k] = true
	return set
}

// ReportMiss implements forwarder.Placement.
func (g *Gatekeeper) ReportMiss(runner string, c placer.Copy) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.addPending(&l.pendingDemand.misses, keyOf(runner, c))
	l.reportNow()
}

// reportNow makes the link send a report at once.
func (l *link) reportNow() { signal(l.wake) }
