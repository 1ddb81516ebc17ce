package gatekeeper

import (
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// take takes in news of the domain.
func (l *link) take(n relayer.News) {
	now := time.Now()
	g := l.gatekeeper
	if n.Ended > 0 {
		l.end(n.Ended)
		return
	}
	l.mu.Lock()
	if n.Fresh {
		l.fresh = now
	}
	if heard := now.Add(-n.Silence); heard.After(l.heard) {
		l.heard = heard
	}
	if n.Loaded {
		l.setMembers(n.Members)
	}
	l.mu.Unlock()
	if n.Tenure.Holder != "" {
		l.setHolder(n.Tenure)
	}
	g.takeTables(n.Tables, now)
	if n.Operator.Newest > 0 {
		g.reached.advance(now.Add(-n.Operator.Age))
	}
	if n.Operator.Newest > 0 && g.operator.hear(n.Operator.Newest, now) {
		g.operator.told.advance(now.Add(-n.Operator.Age))
	}
	l.takeRunners(n)
	if mute(n) {
		return
	}
	l.takeHeld(n, now)
	d := g.controllers[l.domain]
	d.hear(n, now)
	if n.Loaded {
		others := maps.Clone(n.Loads)
		if others == nil {
			others = make(map[string]tracker.Load)
		}
		addLoads(others, d.passedLoads(now))
		g.Fleet.OthersIn(l.domain, others)
	}
	g.Fleet.Staffed(l.domain, n.Acting)
	g.Fleet.Line(l.domain, n.Line)
	g.Fleet.LoadTimes(l.domain, tracker.Times{Load: n.Load, Return: n.Return})
	d.heardOf(n.Tenure, n.Renewal, n.Age)
}

// end takes in that the holder has given the tenure up. It is looked after at once.
func (l *link) end(fence uint64) {
	l.gatekeeper.controllers[l.domain].over(fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder.Fence == fence {
		l.heard = time.Time{}
	}
}

// takeRunners takes in which runners there are.
func (l *link) takeRunners(n relayer.News) {
	g := l.gatekeeper
	if n.Whole && n.Fresh {
		// A holder that has not reached the store lately does not know all that there
		// are. This instance asks the store itself then, and sees who is gone.
		g.dropOthers(l.domain, n.Runners)
	}
	for _, r := range n.Runners {
		g.setRunner(r)
	}
	for _, gone := range n.Gone {
		g.removeNow(gone.Runner, gone.Revision)
	}
}

// takeHeld takes in what the runners hold.
func (l *link) takeHeld(n relayer.News, now time.Time) {
	fleet := l.gatekeeper.Fleet
	if n.Whole {
		whole := make(map[string]map[placer.Copy]time.Time)
		for _, h := range n.Held {
			if whole[h.Runner] == nil {
				whole[h.Runner] = make(map[placer.Copy]time.Time)
			}
			for _, s := range h.Copies {
				whole[h.Runner][h.Copy(s)] = now.Add(s.In)
			}
		}
		for runner, held := range whole {
			fleet.Held(runner, held)
		}
	} else {
		for _, h := range n.Held {
			for _, s := range h.Copies {
				fleet.HeldOne(h.Runner, h.Copy(s), now.Add(s.In), s.In >= 0)
			}
		}
	}
	if len(n.Rooms) > 0 {
		rooms := make(map[string]time.Duration, len(n.Rooms))
		for _, r := range n.Rooms {
			rooms[r.Runner] = r.Wait
		}
		fleet.Rooms(rooms)
	}
}

// dropOthers takes out the runners of a domain that the holder does not know.
func (g *Gatekeeper) dropOthers(domain string, there []tracker.Runner) {
	known := make(map[string]bool, len(there))
	for _, r := range there {
		known[r.ID] = true
	}
	for _, r := range g.Fleet.All() {
		if r.Domain == domain && !known[r.ID] {
			g.removeNow(r.ID, r.Revision)
		}
	}
}
