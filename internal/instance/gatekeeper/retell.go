package gatekeeper

import (
	"context"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// An ownWord is a crash report about a request whose answer this instance saw break off.
type ownWord struct {
	since time.Time
	heard source // source that has published it in turn, and so knows it
}

// retellFor is how long an instance repeats its own crash reports to its sources, even after
// the first source has them: that one may fail before it has published them.
const retellFor = time.Minute

// ownAmong returns the reports about requests of which this instance has seen a crash itself.
func (g *Gatekeeper) ownAmong(words []quarantiner.Word) []quarantiner.Word {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[quarantiner.Digest]bool)
	for c := range q.own {
		seen[c.Digest] = true
	}
	var own []quarantiner.Word
	for _, w := range words {
		if seen[w.Digest] {
			own = append(own, w)
		}
	}
	return own
}

// reportCrashes reports the crashes that this instance saw to its sources, until ctx ends.
func (g *Gatekeeper) tellCrashes(ctx context.Context) {
	repeater.Every(ctx, beat, g.quarantine.tell, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		g.keepApart()
		for _, to := range g.tellers() {
			if words := g.quarantine.untold(to, time.Now()); len(words) > 0 {
				_ = g.Peers.Tell(ctx, to.address, relayer.Crashes{Words: words}) // repeated until the source publishes it in turn
			}
		}
	})
}

// crashSources returns the instances that publish crash reports to this one.
func (g *Gatekeeper) tellers() []source {
	if t, ok := g.teller(); ok {
		return []source{t}
	}
	if g.holdsAny() {
		return nil // others subscribe to it
	}
	var all []source
	for _, l := range g.links {
		if via, ok := l.voice(); ok && !slices.Contains(all, via) {
			all = append(all, via)
		}
	}
	return all
}

// HeardCrashes implements relayer.Suspecter.
func (g *Gatekeeper) HeardCrashes(from heartbeater.Instance, c relayer.Crashes) {
	g.hearWords(c.Words, from.ID)
}

// untold returns this instance's reports that a source has not published in turn.
func (q *quarantine) untold(to source, now time.Time) []quarantiner.Word {
	return q.ownWords(now, func(w ownWord) bool { return w.heard != to })
}

// ownWords returns this instance's reports that match, and drops those that are too old.
func (q *quarantine) ownWords(now time.Time, fits func(ownWord) bool) []quarantiner.Word {
	q.mu.Lock()
	defer q.mu.Unlock()
	var words []quarantiner.Word
	for c, own := range q.own {
		if now.Sub(own.since) > retellFor {
			delete(q.own, c)
			continue
		}
		if w, ok := q.ledger.Word(c, now); ok && fits(own) {
			words = append(words, w)
		}
	}
	return words
}

// begun records that a source starts to publish to this instance. It may have restarted under
// the same name with no state, and is sent the reports until it publishes them once more.
func (q *quarantine) begun(from source) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, own := range q.own {
		if own.heard == from {
			own.heard = source{}
			q.own[c] = own
		}
	}
}

// toldBack records the reports that a source published: they need not be sent to it.
func (q *quarantine) toldBack(from source, words []quarantiner.Word) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range words {
		own, ok := q.own[w.Crash()]
		if current, _ := q.ledger.Word(w.Crash(), time.Now()); ok && current.Cleared == w.Cleared {
			own.heard = from
			q.own[w.Crash()] = own
		}
	}
}
