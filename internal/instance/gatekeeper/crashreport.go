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

// An ownWord records a crash or a clearance that this instance observed itself.
type ownWord struct {
	since          time.Time
	acknowledgedBy source // source that has published it in turn, and so knows it
}

// retellFor is how long an instance repeats its own crash reports to its sources, even after
// the first source has them: that one may fail before it has published them.
const retellFor = time.Minute

// ownAmong returns the reports about requests of which this instance has seen a crash itself.
func (g *Gatekeeper) ownAmong(reports []quarantiner.Word) []quarantiner.Word {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[quarantiner.Digest]bool)
	for c := range q.own {
		seen[c.Digest] = true
	}
	var own []quarantiner.Word
	for _, w := range reports {
		if seen[w.Digest] {
			own = append(own, w)
		}
	}
	return own
}

// reportCrashes reports the crashes that this instance saw to its sources, until ctx ends.
func (g *Gatekeeper) reportCrashes(ctx context.Context) {
	repeater.Every(ctx, updateInterval, g.quarantine.tell, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		g.keepApart()
		for _, to := range g.crashSources() {
			if reports := g.quarantine.untold(to, time.Now()); len(reports) > 0 {
				_ = g.Peers.Tell(ctx, to.address, relayer.Crashes{Words: reports}) // repeated until the source publishes it in turn
			}
		}
	})
}

// crashSources returns the instances that publish crash reports to this one.
func (g *Gatekeeper) crashSources() []source {
	if t, ok := g.currentSource(); ok {
		return []source{t}
	}
	if g.leadsAny() {
		return nil // others subscribe to it
	}
	var all []source
	for _, l := range g.links {
		if target, ok := l.reportTarget(); ok && !slices.Contains(all, target) {
			all = append(all, target)
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
	return q.ownWords(now, func(w ownWord) bool { return w.acknowledgedBy != to })
}

// ownWords returns this instance's reports that match, and drops those that are too old.
func (q *quarantine) ownWords(now time.Time, match func(ownWord) bool) []quarantiner.Word {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reports []quarantiner.Word
	for c, own := range q.own {
		if now.Sub(own.since) > retellFor {
			delete(q.own, c)
			continue
		}
		if w, ok := q.ledger.Word(c, now); ok && match(own) {
			reports = append(reports, w)
		}
	}
	return reports
}

// begun records that a source starts to publish to this instance. It may have restarted under
// the same name with no state, and is sent the reports until it publishes them once more.
func (q *quarantine) begun(from source) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, own := range q.own {
		if own.acknowledgedBy == from {
			own.acknowledgedBy = source{}
			q.own[c] = own
		}
	}
}

// toldBack records the reports that a source published: they need not be sent to it.
func (q *quarantine) toldBack(from source, reports []quarantiner.Word) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range reports {
		own, ok := q.own[w.Crash()]
		if current, _ := q.ledger.Word(w.Crash(), time.Now()); ok && current.Cleared == w.Cleared {
			own.acknowledgedBy = from
			q.own[w.Crash()] = own
		}
	}
}
