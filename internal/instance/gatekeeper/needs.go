package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// needs are what requests need and use at the domain's runners, since the last
// time that the holder was told.
type needs struct {
	missing map[needKey]bool
	there   map[needKey]found
	used    map[needKey]bool
	wants   map[needKey]int // priority
}

// A found says what requests found a copy at a runner.
type found struct {
	requests int
	sent     time.Time // the first of them
}

type needKey struct {
	runner string
	copy   placer.Copy
}

// speak tells the holder what is needed until ctx ends.
func (l *link) speak(ctx context.Context) {
	repeater.Every(ctx, beat, l.kick, func() { l.say(ctx) })
}

// say tells the holder what is needed.
func (l *link) say(ctx context.Context) {
	l.mu.Lock()
	holder := l.holder
	l.mu.Unlock()
	demand := l.demand()
	if l.silence() > unheard {
		l.gatekeeper.Fleet.Staffed(l.domain, false)
	}
	if l.gatekeeper.controllers[l.domain].holds() {
		l.gatekeeper.tellSelf(l.domain, demand)
		return
	}
	if holder.Holder == "" || l.silence() > unheard {
		return
	}
	_ = l.gatekeeper.Mesh.Tell(ctx, holder.Address, demand) // a failed link shows as silence
}

// demand takes out what is to be told.
func (l *link) demand() relayer.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := relayer.Demand{Domain: l.domain, Loads: l.gatekeeper.Fleet.LoadsIn(l.domain)}
	for k := range l.needs.missing {
		d.Missing = append(d.Missing, relayer.Need{Runner: k.runner, Copy: k.copy})
	}
	now := time.Now()
	for k, f := range l.needs.there {
		d.There = append(d.There, relayer.Need{Runner: k.runner, Copy: k.copy, Requests: f.requests, Ago: now.Sub(f.sent)})
		delete(l.needs.used, k)
	}
	for k := range l.needs.used {
		d.Used = append(d.Used, relayer.Need{Runner: k.runner, Copy: k.copy})
	}
	for k, priority := range l.needs.wants {
		d.Wants = append(d.Wants, relayer.Need{Runner: k.runner, Copy: k.copy, Priority: priority})
	}
	l.needs = needs{}
	for k, at := range l.asked {
		if now.Sub(at) > hurryAgain {
			delete(l.asked, k)
		}
	}
	return d
}

// tellSelf takes in this instance's own needs where it holds the tenure.
func (g *Gatekeeper) tellSelf(domain string, demand relayer.Demand) {
	d := g.controllers[domain]
	d.demanded(g.Config.ID, demand)
	now := time.Now()
	d.mu.Lock()
	others, members := d.others(g.Config.ID, now)
	line := d.wait(now)
	d.mu.Unlock()
	g.Fleet.Line(domain, line)
	g.Fleet.OthersIn(domain, others)
	_, acts := d.acts()
	g.Fleet.Staffed(domain, acts)
	l := g.links[domain]
	l.mu.Lock()
	l.heard = now
	l.setMembers(members)
	l.mu.Unlock()
	if len(demand.Wants) > 0 || len(demand.Missing) > 0 {
		g.kickLead()
	}
}

// linkOf returns the link of the domain that a runner is in.
func (g *Gatekeeper) linkOf(runner string) (*link, bool) {
	r, ok := g.Fleet.Get(runner)
	if !ok {
		return nil, false
	}
	l, ok := g.links[r.Domain]
	return l, ok
}

// Want implements forwarder.Placement.
func (g *Gatekeeper) Want(runner string, c placer.Copy, priority int) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	if l.needs.wants == nil {
		l.needs.wants = make(map[needKey]int)
	}
	k := needKey{runner, c}
	if before, known := l.needs.wants[k]; !known || priority < before {
		l.needs.wants[k] = priority
	}
	now := time.Now()
	fresh := now.Sub(l.asked[k]) > hurryAgain
	if fresh {
		if l.asked == nil {
			l.asked = make(map[needKey]time.Time)
		}
		l.asked[k] = now
	}
	l.mu.Unlock()
	if fresh {
		l.hurry()
	}
}

// There implements forwarder.Placement.
func (g *Gatekeeper) There(runner string, c placer.Copy, sent time.Time) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.needs.there == nil {
		l.needs.there = make(map[needKey]found)
	}
	k := needKey{runner, c}
	f := l.needs.there[k]
	if f.requests == 0 || sent.Before(f.sent) {
		f.sent = sent
	}
	f.requests++
	l.needs.there[k] = f
}

// Used implements forwarder.Placement.
func (g *Gatekeeper) Used(runner string, c placer.Copy) {
	if l, ok := g.linkOf(runner); ok {
		l.note(&l.needs.used, needKey{runner, c})
	}
}

func (l *link) note(set *map[needKey]bool, k needKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if *set == nil {
		*set = make(map[needKey]bool)
	}
	(*set)[k] = true
}

// Missing implements forwarder.Placement.
func (g *Gatekeeper) Missing(runner string, c placer.Copy) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.note(&l.needs.missing, needKey{runner, c})
	l.hurry()
}

// hurry makes the link speak at once.
func (l *link) hurry() { signal(l.kick) }

// Demanded implements relayer.Demander.
func (g *Gatekeeper) Demanded(from heartbeater.Instance, demand relayer.Demand) {
	d, ok := g.controllers[demand.Domain]
	if !ok {
		return
	}
	d.demanded(from.ID, demand)
	if len(demand.Wants) > 0 || len(demand.Missing) > 0 {
		g.kickLead()
	}
}
