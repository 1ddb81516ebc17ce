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

// An ownWord is a word that this instance has to tell.
type ownWord struct {
	since time.Time
	heard source // who has told it back: it knows
}

// retellFor is how long an instance tells what it saw itself to whoever tells it,
// beyond the first that has it: one that dies may have told nobody.
const retellFor = time.Minute

// ownAmong returns the words of requests of which this instance has seen a crash itself.
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

// tellCrashes tells what this instance saw itself, until ctx ends.
func (g *Gatekeeper) tellCrashes(ctx context.Context) {
	repeater.Every(ctx, beat, g.quarantine.tell, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		g.keepApart()
		for _, to := range g.tellers() {
			if words := g.quarantine.untold(to, time.Now()); len(words) > 0 {
				_ = g.Peers.Tell(ctx, to.address, relayer.Crashes{Words: words}) // told again until it is told back
			}
		}
	})
}

// tellers returns the instances that tell this one of crashes.
func (g *Gatekeeper) tellers() []source {
	if t, ok := g.teller(); ok {
		return []source{t}
	}
	if g.holdsAny() {
		return nil // it is asked itself
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

// untold returns the words of this instance that another one has not told back.
func (q *quarantine) untold(to source, now time.Time) []quarantiner.Word {
	return q.ownWords(now, func(w ownWord) bool { return w.heard != to })
}

// ownWords returns the words of this instance that fit, and forgets those that are old.
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

// begun takes in that an instance begins to tell this one. It may have started again under
// its name, with nothing known, and has to be told until it tells back once more.
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

// toldBack takes in the words of an instance: what it tells it need not be told.
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
