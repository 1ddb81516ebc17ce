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

// An Aggregator holds the last report of each member and the sums over all of them.
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
func (a *Aggregator) Report(from string, r Report, now time.Time) {
	m := a.member(from, now)
	m.lastReportAt = now
	previous := m.lastReport.Uses
	a.replaceReport(from, m, r)
	if a.OnFreed == nil {
		return
	}
	for k := range previous {
		if a.uses[k] == 0 {
			a.OnFreed(k)
		}
	}
}

// AddUse counts a use that a member has begun. The member's next report replaces the
// count and includes this use for as long as it lasts.
func (a *Aggregator) AddUse(by string, k Key, now time.Time) {
	m := a.member(by, now)
	if m.lastReport.Uses == nil {
		m.lastReport.Uses = make(map[Key]int)
	}
	m.lastReport.Uses[k]++
	a.addUses(k, 1)
}

// Remove removes a member.
func (a *Aggregator) Remove(id string) {
	if m, ok := a.members[id]; ok {
		a.replaceReport(id, m, Report{})
		delete(a.members, id)
	}
}

// Clear removes all members.
func (a *Aggregator) Clear() {
	for id := range a.members {
		a.Remove(id)
	}
}

// Expire removes the members that stopped reporting. Without it the uses of a
// crashed instance would occupy their adapter slots for good.
func (a *Aggregator) Expire(now time.Time) {
	if now.Sub(a.oldestReport) <= a.MemberTimeout {
		return
	}
	a.oldestReport = now
	for id, m := range a.members {
		if now.Sub(m.lastReportAt) > a.MemberTimeout {
			a.Remove(id)
		} else if m.lastReportAt.Before(a.oldestReport) {
			a.oldestReport = m.lastReportAt
		}
	}
}

// IsMember reports whether id is a member.
func (a *Aggregator) IsMember(id string) bool {
	_, ok := a.members[id]
	return ok
}

// Instances returns the number of instances that the members report for.
func (a *Aggregator) Instances() int { return a.instances }

// Loads returns the load of each runner from all members but one.
func (a *Aggregator) Loads(except string) map[string]tracker.Load {
	var own map[string]tracker.Load
	if m, ok := a.members[except]; ok {
		own = m.lastReport.Loads
	}
	others := make(map[string]tracker.Load, len(a.loads))
	for runner, load := range a.loads {
		if rest := load.Minus(own[runner]); rest != (tracker.Load{}) {
			others[runner] = rest
		}
	}
	return others
}

// LoadExcept returns the load of one runner from all members but one.
func (a *Aggregator) LoadExcept(except, runner string) tracker.Load {
	load := a.loads[runner]
	if m, ok := a.members[except]; ok {
		load = load.Minus(m.lastReport.Loads[runner])
	}
	return load
}

// Uses returns how many requests use a copy, which must not be evicted meanwhile.
func (a *Aggregator) Uses(k Key) int { return a.uses[k] }

// Sum returns the sum of the reports of all members.
func (a *Aggregator) Sum() Report {
	sum := Report{Instances: a.instances, Loads: a.Loads(""), Uses: make(map[Key]int, len(a.uses)), Waits: make(map[Key]placer.Waiting, len(a.waiting))}
	for k, n := range a.uses {
		sum.Uses[k] = n
	}
	for k := range a.waiting {
		sum.Waits[k] = a.totalWaiting(k)
	}
	return sum
}

func (a *Aggregator) member(id string, now time.Time) *member {
	m, ok := a.members[id]
	if !ok {
		m = &member{lastReportAt: now}
		if a.members == nil {
			a.members = make(map[string]*member)
			a.oldestReport = now
		}
		a.members[id] = m
	}
	return m
}

// replaceReport replaces a member's last report and updates the sums.
func (a *Aggregator) replaceReport(id string, m *member, r Report) {
	previous := m.lastReport
	m.lastReport = r
	a.instances += r.Instances - previous.Instances
	for runner, load := range previous.Loads {
		a.addLoad(runner, tracker.Load{}.Minus(load))
	}
	for runner, load := range r.Loads {
		a.addLoad(runner, load)
	}
	for k, n := range previous.Uses {
		a.addUses(k, -n)
	}
	for k, n := range r.Uses {
		a.addUses(k, n)
	}
	for k := range previous.Waits {
		if _, still := r.Waits[k]; !still {
			a.removeWaiting(id, k)
		}
	}
	for k, waiting := range r.Waits {
		a.setWaiting(id, k, waiting)
	}
}

func (a *Aggregator) addLoad(runner string, change tracker.Load) {
	if a.loads == nil {
		a.loads = make(map[string]tracker.Load)
	}
	sum := a.loads[runner].Plus(change)
	if sum == (tracker.Load{}) {
		delete(a.loads, runner)
		return
	}
	a.loads[runner] = sum
}

func (a *Aggregator) addUses(k Key, n int) {
	if a.uses == nil {
		a.uses = make(map[Key]int)
	}
	a.uses[k] += n
	if a.uses[k] <= 0 {
		delete(a.uses, k)
	}
}

func (a *Aggregator) setWaiting(id string, k Key, waiting placer.Waiting) {
	if a.waiting == nil {
		a.waiting = make(map[Key]map[string]placer.Waiting)
	}
	if a.waiting[k] == nil {
		a.waiting[k] = make(map[string]placer.Waiting)
	}
	a.waiting[k][id] = waiting
	a.notifyWaits(k)
}

func (a *Aggregator) removeWaiting(id string, k Key) {
	delete(a.waiting[k], id)
	if len(a.waiting[k]) == 0 {
		delete(a.waiting, k)
	}
	a.notifyWaits(k)
}

func (a *Aggregator) notifyWaits(k Key) {
	if a.OnWaiting != nil {
		a.OnWaiting(k, a.totalWaiting(k))
	}
}

// totalWaiting returns the sum over all members of the requests that wait for a copy.
func (a *Aggregator) totalWaiting(k Key) placer.Waiting {
	total := placer.Waiting{Priority: placer.Spare}
	for _, waiting := range a.waiting[k] {
		total = total.Plus(waiting)
	}
	return total
}
