package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
)

// needs are what is to be told of requests at the domain's runners. Uses and waits
// are told whole, so that an end that is lost on the way is told with the next
// word; the rest is what was seen since the last one.
type needs struct {
	short   int // answers with only short pauses
	long    int // and with a long one
	missing map[needKey]bool
	spare   map[needKey]bool
	there   map[needKey]found
	uses    map[needKey]int
	waits   map[needKey]map[string]waiter // by request
}

// A found says what requests found a copy at a runner.
type found struct {
	requests int
	sent     time.Time // the first of them
}

// A waiter is a request that waits for a copy.
type waiter struct {
	inTime   bool
	last     time.Time // when it said so last
	priority int
}

type needKey struct {
	runner string
	copy   placer.Copy
}

// stillWaits is how long a request counts as waiting that does not say so again;
// it looks every 10 ms.
const stillWaits = 50 * time.Millisecond

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
	d := relayer.Demand{Domain: l.domain, Loads: l.gatekeeper.Fleet.LoadsIn(l.domain), Short: l.needs.short, Long: l.needs.long}
	for k := range l.needs.missing {
		d.Missing = append(d.Missing, relayer.Need{Runner: k.runner, Copy: k.copy})
	}
	now := time.Now()
	for k, f := range l.needs.there {
		d.There = append(d.There, relayer.Need{Runner: k.runner, Copy: k.copy, Requests: f.requests, Ago: now.Sub(f.sent)})
	}
	for k := range l.needs.spare {
		d.Spare = append(d.Spare, relayer.Need{Runner: k.runner, Copy: k.copy})
	}
	for k, n := range l.needs.uses {
		d.Uses = append(d.Uses, relayer.Need{Runner: k.runner, Copy: k.copy, Requests: n})
	}
	for k, waiters := range l.needs.waits {
		if w := sum(waiters, now); w.Requests > 0 {
			d.Waits = append(d.Waits, relayer.Wait{Runner: k.runner, Copy: k.copy, Waiting: w})
		} else {
			delete(l.needs.waits, k)
		}
	}
	l.needs.missing, l.needs.spare, l.needs.there = nil, nil, nil
	l.needs.short, l.needs.long = 0, 0
	for k, at := range l.asked {
		if now.Sub(at) > hurryAgain {
			delete(l.asked, k)
		}
	}
	return d
}

// sum drops the requests that wait no more and sums up the others.
func sum(waiters map[string]waiter, now time.Time) placer.Waiting {
	w := placer.Waiting{Priority: placer.Spare}
	for request, one := range waiters {
		if now.Sub(one.last) > stillWaits {
			delete(waiters, request)
			continue
		}
		w.Requests++
		w.Priority = min(w.Priority, one.priority)
		if one.inTime {
			w.InTime++
		}
	}
	return w
}

// tellSelf takes in this instance's own needs where it holds the tenure.
func (g *Gatekeeper) tellSelf(domain string, demand relayer.Demand) {
	d := g.controllers[domain]
	d.demanded(g.Config.ID, demand)
	now := time.Now()
	d.mu.Lock()
	others, members := d.others(g.Config.ID, now)
	line := d.wait(now)
	rooms := d.rooms(now)
	d.mu.Unlock()
	g.Fleet.Line(domain, line)
	g.Fleet.Rooms(rooms)
	g.Fleet.OthersIn(domain, others)
	_, acts := d.acts()
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

// linkOf returns the link of the domain that a runner is in.
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
	k := needKey{w.Runner, w.Copy}
	l.mu.Lock()
	if l.needs.waits == nil {
		l.needs.waits = make(map[needKey]map[string]waiter)
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
func (g *Gatekeeper) Paused(runner string, longest, most time.Duration) {
	l, ok := g.linkOf(runner)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case admitter.Short(longest, most):
		l.needs.short++
	case admitter.Long(longest, most):
		l.needs.long++
	}
}

// Spare implements forwarder.Placement.
func (g *Gatekeeper) Spare(runner string, c placer.Copy) {
	if l, ok := g.linkOf(runner); ok {
		l.note(&l.needs.spare, needKey{runner, c})
	}
}

// newlyAsked reports whether a copy was not asked for a moment ago, so that the
// holder is to be told at once.
func (l *link) newlyAsked(k needKey, now time.Time) bool {
	if now.Sub(l.asked[k]) <= hurryAgain {
		return false
	}
	if l.asked == nil {
		l.asked = make(map[needKey]time.Time)
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

// Use implements forwarder.Placement. The end of a use is told at once where
// others wait for a place: with the next word it would come up to a beat late, a
// good part of the time for which a short run needs its place.
func (g *Gatekeeper) Use(runner string, c placer.Copy) (done func()) {
	l, ok := g.linkOf(runner)
	if !ok {
		return func() {}
	}
	k := needKey{runner, c}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.needs.uses == nil {
		l.needs.uses = make(map[needKey]int)
	}
	l.needs.uses[k]++
	return func() { l.unuse(k) }
}

func (l *link) unuse(k needKey) {
	l.mu.Lock()
	l.needs.uses[k]--
	over := l.needs.uses[k] <= 0
	if over {
		delete(l.needs.uses, k)
	}
	l.mu.Unlock()
	if over && l.gatekeeper.Fleet.Tight(k.runner) {
		l.hurry()
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
	if demand.Urgent() {
		g.kickLead()
	}
}
