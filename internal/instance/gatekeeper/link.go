package gatekeeper

import (
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A link is how this instance follows the holder of a failure domain's tenure.
type link struct {
	gatekeeper *Gatekeeper
	domain     string
	kick       chan struct{}

	mu       sync.Mutex
	asked    map[gatherer.Key]time.Time // wants that the holder was told of in a hurry
	diverged divergence
	former   source    // that was told before via
	fresh    time.Time // when whoever tells last knew the runners as they were, and this instance knew the same
	heard    time.Time // when the last word of the holder came
	holder   elector.Tenure
	idle     bool // the last word told of nothing
	needs    needs
	passed   time.Time     // when the last word of the holder that came through another instance was said
	parting  time.Time     // until when former is told as well
	said     time.Time     // when the last word was told
	trust    time.Duration // for which whoever tells may not hear the holder before it is followed itself
	via      source        // that told of the domain last, and is told
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

// orderer returns the holder, which orders in the domain, and who tells this instance of it; ok
// is false if the holder is not to be asked, as nothing is heard of it.
func (l *link) orderer() (holder, via source, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sourceOf(l.holder), l.via, l.holder.Holder != "" && time.Since(l.heard) <= unheard
}

// setMembers takes in how many instances there are.
func (l *link) setMembers(members int) {
	g := l.gatekeeper
	before := g.headcount.told()
	g.headcount.tell(members, time.Now())
	after := g.headcount.told()
	if max(before, after) > 2*min(before, after) { // an instance more or less of hundreds changes little
		g.Recorder.Log(recorder.Belief, "msg", "members", "count", after)
	}
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
func (g *Gatekeeper) Members() int { return g.headcount.get() }
