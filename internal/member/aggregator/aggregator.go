// Package aggregator aggregates what the requests of many instances need and use at
// the runners of a failure domain.
//
// Each instance repeatedly reports its complete state, so the next report makes up
// for a lost one, and an instance that stops reporting is removed after a timeout.
// The sums are updated incrementally: the cost of a report does not depend on the
// number of instances.
package aggregator

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Aggregator holds the last report of each member and the sums over all of them.
// Its exported fields are set before use; it is not safe for concurrent use.
type Aggregator struct {
	OnFreed       func(k Key)                     // called when a report ends the last use of a copy; may be nil
	MemberTimeout time.Duration                   // time since its last report after which a member is removed
	OnWaiting     func(k Key, all placer.Waiting) // called with the sum over all members whenever the waiting requests of one are set or removed; may be nil

	instances    int // sum over the members
	loads        map[string]tracker.Load
	members      map[string]*member
	oldestReport time.Time // no member's last report is older
	uses         map[Key]int
	waiting      map[Key]map[string]placer.Waiting // by member
}

// A member is an instance that reports here, with its last report.
type member struct {
	lastReportAt time.Time
	lastReport   Report
}

// Report replaces the last report of a member.
func (g *Aggregator) Report(from string, w Report, now time.Time) {
	m := g.member(from, now)
	m.lastReportAt = now
	previous := m.lastReport.Uses
	g.replaceReport(from, m, w)
	if g.OnFreed == nil {
		return
	}
	for k := range previous {
		if g.uses[k] == 0 {
			g.OnFreed(k)
		}
	}
}

// AddUse counts a use that a member has begun. The member's next report replaces the
// count and includes this use for as long as it lasts.
func (g *Aggregator) AddUse(by string, k Key, now time.Time) {
	m := g.member(by, now)
	if m.lastReport.Uses == nil {
		m.lastReport.Uses = make(map[Key]int)
	}
	m.lastReport.Uses[k]++
	g.addUses(k, 1)
}

// Remove removes a member.
func (g *Aggregator) Remove(id string) {
	if m, ok := g.members[id]; ok {
		g.replaceReport(id, m, Report{})
		delete(g.members, id)
	}
}

// Clear removes all members.
func (g *Aggregator) Clear() {
	for id := range g.members {
		g.Remove(id)
	}
}

// Expire removes the members that stopped reporting. Without it the uses of a
// crashed instance would occupy their adapter slots for good.
func (g *Aggregator) Expire(now time.Time) {
	if now.Sub(g.oldestReport) <= g.MemberTimeout {
		return
	}
	g.oldestReport = now
	for id, m := range g.members {
		if now.Sub(m.lastReportAt) > g.MemberTimeout {
			g.Remove(id)
		} else if m.lastReportAt.Before(g.oldestReport) {
			g.oldestReport = m.lastReportAt
		}
	}
}

// IsMember reports whether id is a member.
func (g *Aggregator) IsMember(id string) bool {
	_, ok := g.members[id]
	return ok
}

// Instances returns the number of instances that the members report for.
func (g *Aggregator) Instances() int { return g.instances }

// Loads returns the load of each runner from all members but one.
func (g *Aggregator) Loads(except string) map[string]tracker.Load {
	var own map[string]tracker.Load
	if m, ok := g.members[except]; ok {
		own = m.lastReport.Loads
	}
	others := make(map[string]tracker.Load, len(g.loads))
	for runner, load := range g.loads {
		if rest := load.Minus(own[runner]); rest != (tracker.Load{}) {
			others[runner] = rest
		}
	}
	return others
}

// Uses returns how many requests use a copy, which must not be evicted meanwhile.
func (g *Aggregator) Uses(k Key) int { return g.uses[k] }

// Sum returns the sum of the reports of all members.
func (g *Aggregator) Sum() Report {
	w := Report{Instances: g.instances, Loads: g.Loads(""), Uses: make(map[Key]int, len(g.uses)), Waits: make(map[Key]placer.Waiting, len(g.waiting))}
	for k, n := range g.uses {
		w.Uses[k] = n
	}
	for k := range g.waiting {
		w.Waits[k] = g.totalWaiting(k)
	}
	return w
}

func (g *Aggregator) member(id string, now time.Time) *member {
	m, ok := g.members[id]
	if !ok {
		m = &member{lastReportAt: now}
		if g.members == nil {
			g.members = make(map[string]*member)
			g.oldestReport = now
		}
		g.members[id] = m
	}
	return m
}

// replaceReport replaces a member's last report and updates the sums.
func (g *Aggregator) replaceReport(id string, m *member, w Report) {
	previous := m.lastReport
	m.lastReport = w
	g.instances += w.Instances - previous.Instances
	for runner, load := range previous.Loads {
		g.addLoad(runner, tracker.Load{}.Minus(load))
	}
	for runner, load := range w.Loads {
		g.addLoad(runner, load)
	}
	for k, n := range previous.Uses {
		g.addUses(k, -n)
	}
	for k, n := range w.Uses {
		g.addUses(k, n)
	}
	for k := range previous.Waits {
		if _, still := w.Waits[k]; !still {
			g.removeWaiting(id, k)
		}
	}
	for k, waiting := range w.Waits {
		g.setWaiting(id, k, waiting)
	}
}

func (g *Aggregator) addLoad(runner string, change tracker.Load) {
	if g.loads == nil {
		g.loads = make(map[string]tracker.Load)
	}
	sum := g.loads[runner].Plus(change)
	if sum == (tracker.Load{}) {
		delete(g.loads, runner)
		return
	}
	g.loads[runner] = sum
}

func (g *Aggregator) addUses(k Key, n int) {
	if g.uses == nil {
		g.uses = make(map[Key]int)
	}
	g.uses[k] += n
	if g.uses[k] <= 0 {
		delete(g.uses, k)
	}
}

func (g *Aggregator) setWaiting(id string, k Key, waiting placer.Waiting) {
	if g.waiting == nil {
		g.waiting = make(map[Key]map[string]placer.Waiting)
	}
	if g.waiting[k] == nil {
		g.waiting[k] = make(map[string]placer.Waiting)
	}
	g.waiting[k][id] = waiting
	g.notifyWaits(k)
}

func (g *Aggregator) removeWaiting(id string, k Key) {
	delete(g.waiting[k], id)
	if len(g.waiting[k]) == 0 {
		delete(g.waiting, k)
	}
	g.notifyWaits(k)
}

func (g *Aggregator) notifyWaits(k Key) {
	if g.OnWaiting != nil {
		g.OnWaiting(k, g.totalWaiting(k))
	}
}

// totalWaiting returns the sum over all members of the requests that wait for a copy.
func (g *Aggregator) totalWaiting(k Key) placer.Waiting {
	total := placer.Waiting{Priority: placer.Spare}
	for _, waiting := range g.waiting[k] {
		total = total.Plus(waiting)
	}
	return total
}
