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

// An ownReport records a crash or a clearance that this instance observed itself.
type ownReport struct {
	since          time.Time
	acknowledgedBy source // source that has published it back
}

// reportRepeatTime is how long an instance repeats its own crash reports to its sources, even after
// the first source has them: that one may fail before it has published them.
const reportRepeatTime = time.Minute

// filterObserved returns the reports about requests of which this instance has seen a crash itself.
func (g *Gatekeeper) filterObserved(reports []quarantiner.CrashReport) []quarantiner.CrashReport {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[quarantiner.Digest]bool)
	for c := range q.ownReports {
		seen[c.Digest] = true
	}
	var own []quarantiner.CrashReport
	for _, r := range reports {
		if seen[r.Digest] {
			own = append(own, r)
		}
	}
	return own
}

// reportCrashes reports the crashes that this instance saw to its sources, until ctx ends.
func (g *Gatekeeper) reportCrashes(ctx context.Context) {
	repeater.Every(ctx, updateInterval, g.quarantine.wakeReporter, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		g.clearSound()
		g.storeOwnCrashes()
		for _, to := range g.crashSources() {
			if reports := g.quarantine.unacknowledged(to, time.Now()); len(reports) > 0 {
				_ = g.Peers.Send(ctx, to.address, relayer.Crashes{Reports: reports}) // repeated until the source publishes them back
			}
		}
	})
}

// crashSources returns the instances that publish crash reports to this one.
func (g *Gatekeeper) crashSources() []source {
	if src, ok := g.currentSource(); ok {
		return []source{src}
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

// HandleCrashReports implements relayer.CrashHandler.
func (g *Gatekeeper) HandleCrashReports(from heartbeater.Instance, c relayer.Crashes) {
	g.applyCrashReports(c.Reports, from.ID)
}

// unacknowledged returns this instance's reports that a source has not published back.
func (q *quarantine) unacknowledged(to source, now time.Time) []quarantiner.CrashReport {
	return q.ownReportsWhere(now, func(r ownReport) bool { return r.acknowledgedBy != to })
}

// ownReportsWhere returns this instance's reports that match, and drops those that are too old.
func (q *quarantine) ownReportsWhere(now time.Time, match func(ownReport) bool) []quarantiner.CrashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reports []quarantiner.CrashReport
	for c, own := range q.ownReports {
		if now.Sub(own.since) > reportRepeatTime {
			delete(q.ownReports, c)
			continue
		}
		if r, ok := q.ledger.Report(c, now); ok && match(own) {
			reports = append(reports, r)
		}
	}
	return reports
}

// sourceStarted records that a source starts to publish to this instance. It may have restarted
// under the same name with no state, and is sent the reports until it publishes them once more.
func (q *quarantine) sourceStarted(from source) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, own := range q.ownReports {
		if own.acknowledgedBy == from {
			own.acknowledgedBy = source{}
			q.ownReports[c] = own
		}
	}
}

// acknowledge records the reports that a source published: they need not be sent to it.
func (q *quarantine) acknowledge(from source, reports []quarantiner.CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range reports {
		own, ok := q.ownReports[r.Crash()]
		if current, _ := q.ledger.Report(r.Crash(), time.Now()); ok && current.Cleared == r.Cleared {
			own.acknowledgedBy = from
			q.ownReports[r.Crash()] = own
		}
	}
}
