package gatekeeper

import (
	"sync"
	"time"

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

// suspicious is how long after news of a crash the store is asked often whether there
// is more: a call that waits for changes may be one that nobody answers.
const suspicious = 20 * time.Second

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
		if !w.Cleared && len(g.quarantine.ledger.Open(w.Digest, time.Now())) >= quarantiner.KeptFrom {
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

// lately reports whether there was news of a crash a moment ago.
func (q *quarantine) lately(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.changed.IsZero() && now.Sub(q.changed) < suspicious
}
