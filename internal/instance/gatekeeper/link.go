package gatekeeper

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A link is how this instance follows the holder of a failure domain's tenure.
type link struct {
	gatekeeper *Gatekeeper
	domain     string
	kick       chan struct{}

	mu      sync.Mutex
	asked   map[gatherer.Key]time.Time // wants that the holder was told of in a hurry
	former  source                     // that was told before via
	fresh   time.Time                  // when whoever tells last knew the runners as they were
	heard   time.Time                  // when the last word of the holder came
	holder  elector.Tenure
	idle    bool // the last word told of nothing
	members int
	needs   needs
	passed  time.Time     // when the last word of the holder that came through another instance was said
	parting time.Time     // until when former is told as well
	said    time.Time     // when the last word was told
	trust   time.Duration // for which whoever tells may not hear the holder before it is followed itself
	via     source        // that told of the domain last, and is told
}

const (
	// beat is how often the holder is told of work and uses, and tells of them.
	// The loads of a runner change by about a request in that time.
	beat = 150 * time.Millisecond
	// hurryAgain is how long the holder is not told of a want in a hurry again.
	hurryAgain = time.Second
	// redial is the pause after a link that failed, reask the one before an instance
	// that had nothing to tell is asked again, and relook the one before it is looked
	// whether an instance may be asked.
	redial = 200 * time.Millisecond
	reask  = 50 * time.Millisecond
	relook = 20 * time.Millisecond
)

// setHolder takes in who holds the tenure.
func (l *link) setHolder(t elector.Tenure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Fence <= l.holder.Fence {
		return
	}
	if l.heard.IsZero() && t.Holder != "" && t.Holder != l.self() {
		l.heard = time.Now() // it has the time to speak before its tenure is looked after
	}
	l.holder = t
	l.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure", "domain", l.domain, "holder", t.Holder, "fence", t.Fence)
}

// setMembers takes in how many instances there are.
func (l *link) setMembers(members int) {
	before := l.members
	l.members = members
	if max(before, members) <= 2*min(before, members) {
		return // an instance more or less changes little, and there are hundreds
	}
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
		if l.stale() > unfresh {
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

// listen follows the instance that passes the holder's word on, until ctx ends.
func (l *link) listen(ctx context.Context) {
	for ctx.Err() == nil {
		t, ok := l.gatekeeper.teller()
		switch {
		case !ok:
			pause(ctx, redial)
		case !l.passable(t):
			pause(ctx, relook)
		default:
			l.subscribe(ctx, t, func() bool {
				now, ok := l.gatekeeper.teller()
				return ok && now == t
			})
			pause(ctx, reask)
		}
	}
}

// passable reports whether an instance is to be asked to pass on the holder's word.
// It is asked about the own domain first: where it does not answer that, five more
// questions would meet the same silence.
func (l *link) passable(t source) bool {
	own := l.gatekeeper.links[l.gatekeeper.Config.Domain]
	return l == own || l.gatekeeper.choice.hears(t)
}

// listenDirect follows the holder itself as long as nobody passes its word on, until
// ctx ends.
func (l *link) listenDirect(ctx context.Context) {
	for ctx.Err() == nil {
		if holder, ok := l.direct(); ok {
			l.subscribe(ctx, holder, func() bool {
				now, ok := l.direct()
				return ok && now == holder
			})
		}
		pause(ctx, redial)
	}
}

// direct returns the holder if it is to be asked itself: nobody tells this instance,
// or whoever does has not heard of the holder for a while.
func (l *link) direct() (source, bool) {
	_, telling := l.gatekeeper.teller()
	chosen := l.gatekeeper.choice.began()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder.Holder == "" || l.holder.Holder == l.self() {
		return source{}, false
	}
	if telling && time.Since(later(l.passed, chosen)) <= l.trust {
		return source{}, false
	}
	return sourceOf(l.holder), true
}

// passTrust is how long an instance leaves it to whoever tells it to hear a holder
// again, and passSpread how much longer, by chance. A holder that is gone is heard by
// nobody, and its successor soon by all who pass its words on; with everybody at its
// door at once, it took a second to tell each of 195 instances what its runners hold.
const (
	passTrust  = 2 * time.Second
	passSpread = time.Second
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// subscribe takes in what an instance tells of the domain, until it falls silent or
// is not to be followed any more.
func (l *link) subscribe(ctx context.Context, from source, follow func() bool) {
	g := l.gatekeeper
	conversation, err := g.Mesh.Open(ctx, from.address, l.question(from))
	if err != nil {
		g.choice.silent(from, time.Now())
		return // it is tried again, and silence shows in what follows from it
	}
	defer conversation.Close()
	for follow() {
		bounded, cancel := context.WithTimeout(ctx, unheard)
		message, err := conversation.Next(bounded)
		cancel()
		news, ok := message.(relayer.News)
		if err != nil || !ok {
			l.ended(from, err)
			return
		}
		l.heardBy(from, news)
		l.take(news)
	}
}

// ended takes in that an instance tells nothing more.
func (l *link) ended(from source, err error) {
	g := l.gatekeeper
	if is(err, judge.ReasonOwner) || is(err, judge.ReasonStarting) {
		g.choice.refused(from, time.Now()) // its link is sound
		return
	}
	g.choice.silent(from, time.Now())
	g.Mesh.Cut(from.address)
}

// is reports whether an error is a refusal for a reason.
func is(err error, reason judge.Reason) bool {
	var refused *judge.Error
	return errors.As(err, &refused) && refused.Reason == reason
}

// question returns what an instance is asked to tell.
func (l *link) question(from source) relayer.Subscribe {
	g := l.gatekeeper
	s := relayer.Subscribe{Domain: l.domain, Passes: g.holdsAny()}
	if t, ok := g.teller(); ok && t == from && l.domain == g.Config.Domain {
		s.Tables = map[string]uint64{g.operator.name: g.operator.upTo(), g.holders.name: g.holders.upTo()}
	}
	return s
}

// heardBy takes in who told of the domain.
func (l *link) heardBy(from source, n relayer.News) {
	g := l.gatekeeper
	if t, ok := g.teller(); ok && t == from {
		g.choice.heard(from, time.Now())
	}
	if mute(n) {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := g.choice.now(); ok && t == from {
		l.passed = now.Add(-n.Silence)
	}
	if l.via == from {
		return
	}
	if l.via != (source{}) {
		l.former, l.parting = l.via, now.Add(overlap)
	}
	l.via = from
	g.Recorder.Log(recorder.Belief, "msg", "told by", "domain", l.domain, "instance", from.id, "holder", l.holder.Holder)
}

// overlap is how long an instance goes on telling whom it told before: the word of
// whoever passes its needs on to the holder must have come there before this
// instance's own is void, or the holder would give up copies in use.
const overlap = 500 * time.Millisecond

// voice returns whom to tell what is needed.
func (l *link) voice() (source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.via, l.via != (source{}) && time.Since(l.heard) <= unheard
}

// part tells whom this instance told before what it needs, for a while, and then
// that it tells somebody else. Without that the holder would count each use twice,
// for as long as it counts an instance that has died.
func (l *link) part(ctx context.Context) {
	l.mu.Lock()
	former, until := l.former, l.parting
	if former == l.via || time.Now().After(until) {
		l.former = source{}
	}
	l.mu.Unlock()
	mesh := l.gatekeeper.Mesh
	if former == (source{}) || former == l.via {
		return
	}
	if _, linked := mesh.Linked(former.address); !linked {
		return // it is not reached, and would hold up the word to others
	}
	word := relayer.Demand{Domain: l.domain, Parted: true}
	if time.Now().Before(until) {
		word = demandOf(l.domain, l.whole())
	}
	_ = mesh.Tell(ctx, former.address, word) // it forgets this instance after its silence
}

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
