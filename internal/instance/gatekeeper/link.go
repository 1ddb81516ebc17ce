package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A link is how this instance follows the holder of a failure domain's tenure.
type link struct {
	gatekeeper *Gatekeeper
	domain     string
	kick       chan struct{}

	mu      sync.Mutex
	asked   map[needKey]time.Time // wants that the holder was told of in a hurry
	fresh   time.Time             // when the holder last knew the runners as they were
	heard   time.Time
	holder  elector.Tenure
	members int
	needs   needs
}

// needs are what requests need and use at the domain's runners, since the last
// time that the holder was told.
type needs struct {
	missing map[needKey]bool
	there   map[needKey]bool
	used    map[needKey]bool
	wants   map[needKey]int // priority
}

type needKey struct {
	runner string
	copy   placer.Copy
}

const (
	// beat is how often the holder is told of work and uses, and tells of them.
	// The loads of a runner change by about a request in that time.
	beat = 150 * time.Millisecond
	// hurryAgain is how long the holder is not told of a want in a hurry again.
	hurryAgain = time.Second
	// redial is the pause after a link that failed.
	redial = 200 * time.Millisecond
)

// setHolder takes in who holds the tenure.
func (l *link) setHolder(t elector.Tenure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Fence <= l.holder.Fence {
		return
	}
	l.holder = t
	l.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure", "domain", l.domain, "holder", t.Holder, "fence", t.Fence)
}

// setMembers takes in how many instances there are.
func (l *link) setMembers(members int) {
	if members == l.members {
		return
	}
	l.members = members
	l.gatekeeper.Recorder.Log(recorder.Belief, "msg", "members", "domain", l.domain, "count", members)
}

func (l *link) self() string { return l.gatekeeper.Config.ID }

// silence returns how long nothing was heard from the holder.
func (l *link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
}

// stale returns how long ago the holder knew the runners as they were.
func (l *link) stale() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.fresh)
}

// told reports whether the holders of all domains tell this instance what
// changes, so that it need not ask the store itself.
func (g *Gatekeeper) told() bool {
	if g.holdsAny() {
		return false
	}
	for _, l := range g.links {
		if l.stale() > unheard {
			return false
		}
	}
	return true
}

// Members returns how many instances there are, as far as is known.
func (g *Gatekeeper) Members() int {
	most := 0
	for _, l := range g.links {
		l.mu.Lock()
		most = max(most, l.members)
		l.mu.Unlock()
	}
	return most
}

// listenTo follows the holder until ctx ends.
func (l *link) listenTo(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		holder := l.holder
		l.mu.Unlock()
		if holder.Holder != "" && holder.Holder != l.self() {
			l.subscribe(ctx, holder)
		}
		pause(ctx, redial)
	}
}

// subscribe takes in news until the holder falls silent.
func (l *link) subscribe(ctx context.Context, holder elector.Tenure) {
	conversation, err := l.gatekeeper.Mesh.Open(ctx, holder.Address, relayer.Subscribe{Domain: l.domain})
	if err != nil {
		return // it is tried again, and silence shows in what follows from it
	}
	defer conversation.Close()
	for {
		bounded, cancel := context.WithTimeout(ctx, unheard)
		message, err := conversation.Next(bounded)
		cancel()
		news, ok := message.(relayer.News)
		if err != nil || !ok {
			l.gatekeeper.Mesh.Cut(holder.Address)
			return
		}
		l.take(news)
	}
}

// take takes in news of the domain.
func (l *link) take(n relayer.News) {
	now := time.Now()
	l.mu.Lock()
	l.heard = now
	if n.Fresh {
		l.fresh = now
	}
	l.setMembers(n.Members)
	l.mu.Unlock()
	g := l.gatekeeper
	if n.Whole {
		g.dropOthers(l.domain, n.Runners)
	}
	for _, r := range n.Runners {
		g.setRunner(r)
	}
	for _, gone := range n.Gone {
		g.removeNow(gone.Runner, gone.Revision)
	}
	if n.Whole {
		whole := make(map[string]map[placer.Copy]time.Time)
		for _, h := range n.Held {
			if whole[h.Runner] == nil {
				whole[h.Runner] = make(map[placer.Copy]time.Time)
			}
			whole[h.Runner][h.Copy] = now.Add(h.In)
		}
		for runner, held := range whole {
			g.Fleet.Held(runner, held)
		}
	} else {
		for _, h := range n.Held {
			g.Fleet.HeldOne(h.Runner, h.Copy, now.Add(h.In), h.In >= 0)
		}
	}
	g.Fleet.OthersIn(l.domain, n.Loads)
	g.Fleet.Staffed(l.domain, n.Acting)
	g.Fleet.Line(l.domain, n.Line)
	g.desks[l.domain].heardOf(n.Tenure, n.Renewal, n.Age)
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

// speak tells the holder what is needed until ctx ends.
func (l *link) speak(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.kick:
		}
		l.mu.Lock()
		holder := l.holder
		l.mu.Unlock()
		demand := l.demand()
		if l.silence() > unheard {
			l.gatekeeper.Fleet.Staffed(l.domain, false)
		}
		if holder.Holder == l.self() || l.gatekeeper.desks[l.domain].holds() {
			l.gatekeeper.atOwnDesk(l.domain, demand)
			continue
		}
		if holder.Holder == "" || l.silence() > unheard {
			continue
		}
		_ = l.gatekeeper.Mesh.Tell(ctx, holder.Address, demand) // a failed link shows as silence
	}
}

// demand takes out what is to be told.
func (l *link) demand() relayer.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := relayer.Demand{Domain: l.domain, Loads: l.gatekeeper.Fleet.LoadsIn(l.domain)}
	for k := range l.needs.missing {
		d.Missing = append(d.Missing, relayer.Need{Runner: k.runner, Copy: k.copy})
	}
	for k := range l.needs.there {
		d.There = append(d.There, relayer.Need{Runner: k.runner, Copy: k.copy})
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
		if time.Since(at) > hurryAgain {
			delete(l.asked, k)
		}
	}
	return d
}

// atOwnDesk takes in this instance's own needs where it holds the tenure.
func (g *Gatekeeper) atOwnDesk(domain string, demand relayer.Demand) {
	d := g.desks[domain]
	d.demanded(g.Config.ID, demand)
	now := time.Now()
	d.mu.Lock()
	others, members := d.others(g.Config.ID, now)
	line := d.wait()
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
func (g *Gatekeeper) There(runner string, c placer.Copy) {
	if l, ok := g.linkOf(runner); ok {
		l.note(&l.needs.there, needKey{runner, c})
	}
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
func (l *link) hurry() {
	select {
	case l.kick <- struct{}{}:
	default: // it will speak anyway
	}
}

// Demanded implements relayer.Demander.
func (g *Gatekeeper) Demanded(from heartbeater.Instance, demand relayer.Demand) {
	d, ok := g.desks[demand.Domain]
	if !ok {
		return
	}
	d.demanded(from.ID, demand)
	if len(demand.Wants) > 0 || len(demand.Missing) > 0 {
		g.kickLead()
	}
}
