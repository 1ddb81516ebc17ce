package gatekeeper

import (
	"context"
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
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
	missing map[gatherer.Key]bool
	spare   map[gatherer.Key]bool
	there   map[gatherer.Key]found
	uses    map[gatherer.Key]int
	waits   map[gatherer.Key]map[string]waiter // by request
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

// stillWaits is how long a request counts as waiting that does not say so again;
// it looks every 10 ms.
const stillWaits = 50 * time.Millisecond

// speak tells the holder what is needed until ctx ends.
func (l *link) speak(ctx context.Context) {
	repeater.Every(ctx, beat, l.kick, func() { l.say(ctx) })
}

// say tells the holder what is needed, through the instance that tells this one of
// the domain if there is one.
func (l *link) say(ctx context.Context) {
	g := l.gatekeeper
	if l.silence() > unheard {
		g.Fleet.Staffed(l.domain, false)
	}
	if g.controllers[l.domain].holds() {
		g.tellSelf(l.domain, l.demand())
		return
	}
	l.part(ctx)
	via, ok := l.voice()
	if !ok {
		return
	}
	demand := l.demand()
	if l.saidSo(demand) {
		return
	}
	_ = g.Mesh.Tell(ctx, via.address, demand) // a failed link shows as silence
}

// saidSo reports whether a word may be left out, as neither it nor the last one told
// of anything. An instance has no requests in most failure domains most of the time.
func (l *link) saidSo(demand relayer.Demand) bool {
	empty := demand.Others == 0 && demand.Empty()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if empty && l.idle && now.Sub(l.said) < idleBeat {
		return true
	}
	l.idle, l.said = empty, now
	return false
}

// idleBeat is how often an instance that needs nothing says so: a member that says
// nothing for three seconds counts no more.
const idleBeat = 900 * time.Millisecond

// demand takes out what is to be told: what the requests do now, and what was seen
// since the last word, by this instance and by those whose words it passes on.
func (l *link) demand() relayer.Demand {
	d := demandOf(l.domain, l.whole())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	d.Short, d.Long = l.needs.short, l.needs.long
	for k := range l.needs.missing {
		d.Missing = append(d.Missing, relayer.Need{Runner: k.Runner, Copy: k.Copy})
	}
	for k, f := range l.needs.there {
		d.There = append(d.There, relayer.Need{Runner: k.Runner, Copy: k.Copy, Requests: f.requests, Ago: now.Sub(f.sent)})
	}
	for k := range l.needs.spare {
		d.Spare = append(d.Spare, relayer.Need{Runner: k.Runner, Copy: k.Copy})
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

// demandOf returns the demand that tells a word.
func demandOf(domain string, w gatherer.Word) relayer.Demand {
	d := relayer.Demand{Domain: domain, Others: w.Instances - 1, Loads: w.Loads}
	for k, n := range w.Uses {
		d.Uses = append(d.Uses, relayer.Need{Runner: k.Runner, Copy: k.Copy, Requests: n})
	}
	for k, waiting := range w.Waits {
		d.Waits = append(d.Waits, relayer.Wait{Runner: k.Runner, Copy: k.Copy, Waiting: waiting})
	}
	return d
}

// whole returns what this instance's requests do in the domain, and those of the
// instances whose words it passes on.
func (l *link) whole() gatherer.Word {
	w := l.own()
	g := l.gatekeeper
	if d := g.controllers[l.domain]; g.holdsAny() && !d.holds() {
		w.Add(d.passed(time.Now()))
	}
	return w
}

// own returns what this instance's requests do in the domain.
func (l *link) own() gatherer.Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := gatherer.Word{
		Instances: 1, Loads: l.gatekeeper.Fleet.LoadsIn(l.domain), Uses: maps.Clone(l.needs.uses), Waits: make(map[gatherer.Key]placer.Waiting),
	}
	now := time.Now()
	for k, waiters := range l.needs.waits {
		if waiting := sum(waiters, now); waiting.Requests > 0 {
			w.Waits[k] = waiting
		} else {
			delete(l.needs.waits, k)
		}
	}
	return w
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
		l.note(&l.needs.spare, keyOf(runner, c))
	}
}

// newlyAsked reports whether a copy was not asked for a moment ago, so that the
// holder is to be told at once.
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

// find takes in that requests found a copy.
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

// Use implements forwarder.Placement. The end of a use is told at once where
// others wait for a place: with the next word it would come up to a beat late, a
// good part of the time for which a short run needs its place.
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
	return func() { l.unuse(k) }
}

func (l *link) unuse(k gatherer.Key) {
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

func (l *link) note(set *map[gatherer.Key]bool, k gatherer.Key) {
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
	l.note(&l.needs.missing, keyOf(runner, c))
	l.hurry()
}

// hurry makes the link speak at once.
func (l *link) hurry() { signal(l.kick) }
