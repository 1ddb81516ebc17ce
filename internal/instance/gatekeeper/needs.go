package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
)

// needs is the demand at the domain's runners that is to be reported. Uses and waits are
// reported as a full snapshot, so that the next report makes up for one that was lost; the
// other fields hold what was observed since the last report.
type needs struct {
	short   int // responses with only short pauses
	long    int // responses with a long pause
	missing map[gatherer.Key]bool
	spare   map[gatherer.Key]bool
	there   map[gatherer.Key]found
	uses    map[gatherer.Key]int
	waits   map[gatherer.Key]map[string]waiter // by copy and request ID
}

// A found counts the requests that found a copy loaded on a runner.
type found struct {
	requests int
	sent     time.Time // when the first of them was sent
}

// A waiter is a request that waits for a copy.
type waiter struct {
	inTime   bool
	last     time.Time // when it was last refreshed
	priority int
}

// stillWaits is how long a request counts as waiting after its last refresh. A waiting
// request refreshes every 10 ms.
const stillWaits = 50 * time.Millisecond

// tellSelf applies this instance's own demand if it leads the domain.
func (g *Gatekeeper) tellSelf(domain string, demand relayer.Demand) {
	d := g.controllers[domain]
	d.applyDemand(g.Config.ID, demand)
	now := time.Now()
	d.mu.Lock()
	others, members := d.loadsExcept(g.Config.ID, now), d.instances(now)
	line := d.loadQueueWait(now)
	rooms := d.slotWaits(now)
	d.mu.Unlock()
	g.Fleet.Line(domain, line)
	g.Fleet.Rooms(rooms)
	g.Fleet.OthersIn(domain, others)
	_, acts := d.mayOrder()
	g.Fleet.Staffed(domain, acts)
	l := g.links[domain]
	l.mu.Lock()
	l.heard = now
	l.setMembers(members)
	l.mu.Unlock()
	if demand.Urgent() {
		g.kickLead()
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

// Wait implements forwarder.Placement.
func (g *Gatekeeper) Wait(w forwarder.Waiter) {
	l, ok := g.linkOf(w.Runner)
	if !ok {
		return
	}
	now := time.Now()
	k := keyOf(w.Runner, w.Copy)
	l.mu.Lock()
	if l.needs.waits == nil {
		l.needs.waits = make(map[gatherer.Key]map[string]waiter)
	}
	if l.needs.waits[k] == nil {
		l.needs.waits[k] = make(map[string]waiter)
	}
	l.needs.waits[k][w.Request] = waiter{inTime: w.InTime, last: now, priority: w.Priority}
	fresh := l.newlyAsked(k, now)
	l.mu.Unlock()
	if fresh {
		l.hurry()
	}
}

// Paused implements forwarder.Placement.
func (g *Gatekeeper) Paused(runner string, longest, limit time.Duration) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case admitter.Short(longest, limit):
		l.needs.short++
	case admitter.Long(longest, limit):
		l.needs.long++
	}
}

// Spare implements forwarder.Placement.
func (g *Gatekeeper) Spare(runner string, c placer.Copy) {
	if l, ok := g.linkOf(runner); ok {
		l.markIn(&l.needs.spare, keyOf(runner, c))
	}
}

// newlyAsked reports whether the copy was not requested within hurryAgain, so that the leader
// needs an immediate report.
func (l *link) newlyAsked(k gatherer.Key, now time.Time) bool {
	if now.Sub(l.asked[k]) <= hurryAgain {
		return false
	}
	if l.asked == nil {
		l.asked = make(map[gatherer.Key]time.Time)
	}
	l.asked[k] = now
	return true
}

// There implements forwarder.Placement.
func (g *Gatekeeper) There(runner string, c placer.Copy, sent time.Time) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.needs.find(keyOf(runner, c), found{requests: 1, sent: sent})
}

// find records requests that found a copy.
func (n *needs) find(k gatherer.Key, more found) {
	if n.there == nil {
		n.there = make(map[gatherer.Key]found)
	}
	f := n.there[k]
	if f.requests == 0 || more.sent.Before(f.sent) {
		f.sent = more.sent
	}
	f.requests += more.requests
	n.there[k] = f
}

// Use implements forwarder.Placement. The end of a use is reported at once if other copies
// wait for a slot: the next periodic report would come up to one interval later, a large
// part of the time for which a short run needs its slot.
func (g *Gatekeeper) Use(runner string, c placer.Copy) (done func()) {
	l, ok := g.linkOf(runner)
	if !ok {
		return func() {}
	}
	k := keyOf(runner, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.needs.uses == nil {
		l.needs.uses = make(map[gatherer.Key]int)
	}
	l.needs.uses[k]++
	return func() { l.endUse(k) }
}

func (l *link) endUse(k gatherer.Key) {
	l.mu.Lock()
	l.needs.uses[k]--
	over := l.needs.uses[k] <= 0
	if over {
		delete(l.needs.uses, k)
	}
	l.mu.Unlock()
	if over && l.gatekeeper.Fleet.Tight(k.Runner) {
		l.hurry()
	}
}

func (l *link) markIn(set *map[gatherer.Key]bool, k gatherer.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*set = mark(*set, k)
}

func mark(set map[gatherer.Key]bool, k gatherer.Key) map[gatherer.Key]bool {
	if set == nil {
		set = make(map[gatherer.Key]bool)
	}
	set[k] = true
	return set
}

// Missing implements forwarder.Placement.
func (g *Gatekeeper) Missing(runner string, c placer.Copy) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.markIn(&l.needs.missing, keyOf(runner, c))
	l.hurry()
}

// hurry makes the link send a report at once.
func (l *link) hurry() { signal(l.kick) }
