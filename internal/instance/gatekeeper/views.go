package gatekeeper

import (
	"time"
)

// setViews initializes the views, and how each is confirmed by other instances.
func (g *Gatekeeper) setViews() {
	g.viewsSet.Do(func() {
		operator, runners := g.Decoder.Tables()
		v := &g.operator
		v.name, v.applyRow = operator, g.applyOperatorRow
		v.othersAsOf = v.confirmedAt.get
		v.maxAge = g.operatorMaxAge
		v = &g.leaders
		v.name, v.applyRow = tableLeaders, g.applyLeaderRow
		v.othersAsOf = func() (time.Time, bool) {
			received, all := g.earliest(func(l *link) time.Time { return l.lastUpdate })
			if confirmed, ok := g.leaders.confirmedAt.get(); ok && confirmed.After(received) {
				return confirmed, true
			}
			return received, all
		}
		v.maxAge = func() time.Duration {
			if g.quarantine.hasRecentReport(time.Now()) {
				return maxAgeLeader
			}
			return maxAgeLeases
		}
		v = &g.runners
		v.name, v.applyRows, v.applyTable = runners, g.applyRunnerRows, g.applyRunnerTable
		v.othersAsOf = func() (time.Time, bool) {
			at, ok := g.earliest(func(l *link) time.Time { return l.freshAt })
			return at.Add(-freshFor), ok && !g.leadsAny()
		}
	})
}

// operatorMaxAge returns the age at which this instance polls the operator's rows.
func (g *Gatekeeper) operatorMaxAge() time.Duration {
	age := maxAgeLeader
	for _, domain := range g.domains() {
		if g.controllers[domain].leads() {
			return min(age, maxAge)
		}
		age += maxAgeStagger
	}
	return maxAge
}

// earliest returns the earliest of the times that of returns for the links; ok is false if one of
// them is zero.
func (g *Gatekeeper) earliest(of func(l *link) time.Time) (earliest time.Time, ok bool) {
	for _, l := range g.links {
		l.mu.Lock()
		at := of(l)
		l.mu.Unlock()
		if at.IsZero() {
			return time.Time{}, false
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// views returns the views of the store's tables.
func (g *Gatekeeper) views() []*view { return []*view{&g.operator, &g.leaders, &g.runners} }
