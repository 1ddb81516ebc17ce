package gatekeeper

import (
	"time"
)

// setViews initializes the views, and how each is confirmed by other instances.
func (g *Gatekeeper) setViews() {
	g.viewsSet.Do(func() {
		operator, runners := g.Decoder.Tables()
		v := &g.operator
		v.name, v.change = operator, g.operatorRow
		v.others = v.told.get
		v.patience = g.operatorPatience
		v = &g.holders
		v.name, v.change = tableHolders, g.holderRow
		v.others = func() (time.Time, bool) {
			heard, all := g.sinceAll(func(l *link) time.Time { return l.heard })
			if told, ok := g.holders.told.get(); ok && told.After(heard) {
				return told, true
			}
			return heard, all
		}
		v.patience = func() time.Duration {
			if g.quarantine.lately(time.Now()) {
				return patienceHolder
			}
			return patienceTenures
		}
		v = &g.runners
		v.name, v.changes, v.whole = runners, g.someRunners, g.allRunners
		v.others = func() (time.Time, bool) {
			at, ok := g.sinceAll(func(l *link) time.Time { return l.fresh })
			return at.Add(-freshFor), ok && !g.holdsAny()
		}
	})
}

// operatorMaxAge returns the age at which this instance polls the operator's rows.
func (g *Gatekeeper) operatorPatience() time.Duration {
	own := patienceHolder
	for _, domain := range g.domains() {
		if g.controllers[domain].holds() {
			return min(own, patience)
		}
		own += stagger
	}
	return patience
}

// earliest returns the earliest of a time of each link; ok is false if one has none.
func (g *Gatekeeper) sinceAll(of func(l *link) time.Time) (earliest time.Time, ok bool) {
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
func (g *Gatekeeper) views() []*view { return []*view{&g.operator, &g.holders, &g.runners} }
