package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
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
	if n.Loaded {
		l.setMembers(n.Members)
	}
	l.mu.Unlock()
	g := l.gatekeeper
	if n.Operator.Newest > 0 && g.operator.hear(n.Operator.Newest, now) {
		g.operatorTold.advance(now.Add(-n.Operator.Age))
	}
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
	if n.Loaded {
		g.Fleet.OthersIn(l.domain, n.Loads)
	}
	if len(n.Rooms) > 0 {
		rooms := make(map[string]time.Duration, len(n.Rooms))
		for _, r := range n.Rooms {
			rooms[r.Runner] = r.Wait
		}
		g.Fleet.Rooms(rooms)
	}
	g.Fleet.Staffed(l.domain, n.Acting)
	g.Fleet.Line(l.domain, n.Line)
	g.controllers[l.domain].heardOf(n.Tenure, n.Renewal, n.Age)
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
