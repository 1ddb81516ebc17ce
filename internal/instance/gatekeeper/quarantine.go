package gatekeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// What instances know of requests that crash runners goes three ways, each of which
// serves when another fails:
//
//   - A member tells its teller what it saw itself, in each word until it hears it back.
//   - Whoever tells others tells them everything that it knows, its own and what it was
//     told. A crash is told once each way, as what is known already is no news.
//   - The store keeps the crashes of a request with two or more of them. So they outlast
//     a restart of all instances, and reach those that no instance tells.
//
// Nobody counts for the others: each comes to its own verdicts from the same set.

// A quarantine is what one instance knows of requests that crash runners, and whom it
// has still to tell.
type quarantine struct {
	ledger quarantiner.Ledger

	mu      sync.Mutex
	changed time.Time                      // when there was news last
	own     map[quarantiner.Crash]ownWord  // crashes and clearances that were seen here
	held    map[quarantiner.Digest]bool    // as logged
	rows    map[quarantiner.Crash]rowState // of the store
	write   chan struct{}                  // wakes whoever writes rows
	tell    chan struct{}                  // wakes whoever tells
}

func (q *quarantine) init() {
	q.write = make(chan struct{}, 1)
	q.tell = make(chan struct{}, 1)
}

// An ownWord is a word that this instance has to tell.
type ownWord struct {
	since time.Time
	heard source // who has told it back: it knows
}

// suspicious is how long after news of a crash the store is asked often whether there
// is more: a call that waits for changes may be one that nobody answers.
const suspicious = 20 * time.Second

// retellFor is how long an instance tells what it saw itself to whoever tells it,
// beyond the first that has it: one that dies may have told nobody.
const retellFor = time.Minute

// Suspects implements forwarder.Quarantine.
func (g *Gatekeeper) Suspects() bool { return !g.quarantine.ledger.Empty() }

// Held implements forwarder.Quarantine.
func (g *Gatekeeper) Held(d quarantiner.Digest) (left time.Duration, held bool) {
	return g.quarantine.ledger.Held(d, time.Now())
}

// Whole implements forwarder.Quarantine.
func (g *Gatekeeper) Whole(d quarantiner.Digest) {
	words := g.quarantine.ledger.Clear(d, time.Now())
	if len(words) == 0 {
		return
	}
	g.Metrics.GetOrCreateCounter("sardinetiller_cleared_total").Inc()
	g.Recorder.Log(recorder.Suspect, "msg", "request cleared", "digest", d, "crashes", len(words))
	g.seen(words)
}

// suspect takes in that a runner crashed while it ran some requests, for how long each.
func (g *Gatekeeper) suspect(runner string, requests map[quarantiner.Digest]time.Duration) {
	words := make([]quarantiner.Word, 0, len(requests))
	for d, ran := range requests {
		words = append(words, quarantiner.Word{Digest: d, Runner: runner, Ran: ran})
	}
	news := g.quarantine.ledger.Take(words, time.Now())
	for _, w := range news {
		g.Metrics.GetOrCreateCounter("sardinetiller_suspected_total").Inc()
		g.logCrash(w, "self")
	}
	g.seen(news)
}

// seen takes in what this instance saw itself, which it has to tell.
func (g *Gatekeeper) seen(words []quarantiner.Word) {
	if len(words) == 0 {
		return
	}
	now := time.Now()
	q := &g.quarantine
	q.mu.Lock()
	q.changed = now
	if q.own == nil {
		q.own = make(map[quarantiner.Crash]ownWord)
	}
	for _, w := range words {
		q.own[w.Crash()] = ownWord{since: now}
	}
	q.mu.Unlock()
	g.verdicts()
	g.keepCrashes(words)
	signal(g.quarantine.tell)
}

// hearWords takes in what others tell.
func (g *Gatekeeper) hearWords(words []quarantiner.Word, from string) {
	if len(words) == 0 {
		return
	}
	news := g.quarantine.ledger.Take(words, time.Now())
	if len(news) == 0 {
		return
	}
	for _, w := range news {
		if !w.Cleared && len(g.quarantine.ledger.Open(w.Digest, time.Now())) >= keptFrom {
			g.logCrash(w, from) // the rest is logged by who saw it: there is much beside each culprit
		}
	}
	q := &g.quarantine
	q.mu.Lock()
	q.changed = time.Now()
	q.mu.Unlock()
	g.verdicts()
	if from != fromStore {
		g.keepCrashes(g.ownAmong(news))
	}
}

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
				_ = g.Mesh.Tell(ctx, to.address, relayer.Crashes{Words: words}) // told again until it is told back
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

// lately reports whether there was news of a crash a moment ago.
func (q *quarantine) lately(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.changed.IsZero() && now.Sub(q.changed) < suspicious
}

// count returns how many requests are in quarantine.
func (q *quarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.held)
}

func (g *Gatekeeper) logCrash(w quarantiner.Word, from string) {
	g.Recorder.Log(recorder.Suspect, "msg", "request suspected", "digest", w.Digest, "runner", w.Runner, "ran", w.Ran, "age", w.Age, "from", from,
		"crashes", len(g.quarantine.ledger.Open(w.Digest, time.Now())))
}

// verdicts logs and counts the requests that have come into quarantine or out of it.
func (g *Gatekeeper) verdicts() {
	now := time.Now()
	cases := g.quarantine.ledger.Cases()
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	held := make(map[quarantiner.Digest]bool)
	for _, c := range cases {
		if !now.Before(c.Until) {
			continue
		}
		held[c.Digest] = true
		if !q.held[c.Digest] {
			g.Metrics.GetOrCreateCounter("sardinetiller_quarantined_total").Inc()
			g.Recorder.Log(recorder.Suspect, "msg", "request quarantined", "digest", c.Digest, "crashes", c.Crashes, "for", c.Until.Sub(now))
		}
	}
	for d := range q.held {
		if !held[d] {
			g.Metrics.GetOrCreateCounter("sardinetiller_quarantine_ended_total").Inc()
			g.Recorder.Log(recorder.Suspect, "msg", "quarantine ended", "digest", d)
		}
	}
	q.held = held
}

// mostListed bounds the requests in quarantine that are listed in the log.
const mostListed = 8

// watchQuarantine lists the requests in quarantine in the log, and forgets old crashes,
// until ctx ends.
func (g *Gatekeeper) watchQuarantine(ctx context.Context) {
	g.Metrics.GetOrCreateGauge("sardinetiller_quarantine_requests", func() float64 { return float64(g.quarantine.count()) })
	repeater.Every(ctx, paceEvery, nil, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		now := time.Now()
		g.dropCrashes(g.quarantine.ledger.Expire(now))
		g.verdicts()
		listed := 0
		for _, c := range g.quarantine.ledger.Cases() {
			if now.Before(c.Until) && listed < mostListed {
				listed++
				g.Recorder.Log(recorder.Suspect, "msg", "in quarantine", "digest", c.Digest, "crashes", c.Crashes, "for", c.Until.Sub(now))
			}
		}
	})
}
