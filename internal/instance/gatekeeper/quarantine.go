package gatekeeper

import (
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Crash reports, on requests that crashed runners, spread in three ways, each of which covers
// for failures of the others:
//
//   - A member sends its own observations to its source, with each report until the source
//     publishes them back.
//   - Every source publishes all it knows, its own observations and what it received. Each
//     crash is sent once per connection, since a known crash is not published again.
//   - The store keeps the crashes of requests with two or more of them. They survive a restart
//     of all instances, and reach instances that receive no updates.
//
// There is no coordinator: each instance derives its own verdicts from the same set.

// A quarantine is what one instance knows of requests that crash runners, and which of its
// observations it has yet to report.
type quarantine struct {
	ledger    quarantiner.Ledger
	soundness quarantiner.Soundness // of parts of prompts, as this instance has seen it
	clearedTo int                   // sequence number of the ledger up to which clearSound has seen it

	mu           sync.Mutex
	lastReport   time.Time                        // when a new crash report was last recorded
	ownReports   map[quarantiner.Crash]ownReport  // crashes and clearances observed by this instance
	logged       map[quarantiner.Digest]bool      // requests in quarantine, as last logged
	trials       map[quarantiner.Digest]time.Time // last trials of parts of prompts
	rows         map[quarantiner.Crash]crashRow   // rows in the store, and how they are to change
	wakeWriter   chan struct{}                    // wakes the loop that writes rows
	wakeReporter chan struct{}                    // wakes the loop that reports crashes
}

func (q *quarantine) init() {
	q.wakeWriter = make(chan struct{}, 1)
	q.wakeReporter = make(chan struct{}, 1)
}

// frequentPollTime is how long after a new crash report the store is polled frequently: a watch
// may be a call that is never answered.
const frequentPollTime = 20 * time.Second

// Suspects implements forwarder.Quarantine.
func (g *Gatekeeper) Suspects() bool { return !g.quarantine.ledger.Empty() }

// Quarantined implements forwarder.Quarantine.
func (g *Gatekeeper) Quarantined(d quarantiner.Digest) (left time.Duration, quarantined bool) {
	return g.quarantine.ledger.Quarantined(d, time.Now())
}

// ReportCompleted implements forwarder.Quarantine.
func (g *Gatekeeper) ReportCompleted(d quarantiner.Digest) {
	g.clear(d)
}

// trialInterval is the interval between trials of a quarantined part of a prompt.
const trialInterval = 5 * time.Second

// Trial implements forwarder.Quarantine. Of all instances only the first holder of the part tries it,
// one request at a time.
func (g *Gatekeeper) Trial(quarantined quarantiner.Digest, parts []quarantiner.Digest) bool {
	if !g.streams.isFirstHolder(resumer.KeyOf("", "", string(quarantined)), g.Config.ID) {
		return false
	}
	now := time.Now()
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.trials[quarantined]) < trialInterval {
		return false
	}
	if !q.ledger.Discriminates(quarantined, parts) {
		return false
	}
	if q.trials == nil {
		q.trials = make(map[quarantiner.Digest]time.Time)
	}
	q.trials[quarantined] = now
	g.Recorder.Log(recorder.Suspect, "msg", "trial of a quarantined part", "digest", quarantined)
	return true
}

// ReportSound implements forwarder.Quarantine.
func (g *Gatekeeper) ReportSound(parts []quarantiner.Digest) {
	g.quarantine.soundness.Observe(parts, time.Now())
	for _, d := range parts {
		g.clear(d)
	}
}

// clearSound clears the parts of prompts that this instance has seen to be sound: another one has
// reported since the last call that runners crashed under them.
func (g *Gatekeeper) clearSound() {
	q, now := &g.quarantine, time.Now()
	reports, next := q.ledger.Since(q.clearedTo, now)
	q.clearedTo = next
	for _, r := range reports {
		if !r.Cleared && r.Digest.IsPart() && q.soundness.Sound(r.Digest, now.Add(-r.Age)) {
			g.clear(r.Digest)
		}
	}
}

// QuarantinesParts implements forwarder.Quarantine.
func (g *Gatekeeper) QuarantinesParts() bool { return g.quarantine.ledger.QuarantinesParts() }

// clear clears a request or a part of a prompt of its crashes so far.
func (g *Gatekeeper) clear(d quarantiner.Digest) {
	reports := g.quarantine.ledger.Clear(d, time.Now())
	if len(reports) == 0 {
		return
	}
	g.Metrics.GetOrCreateCounter("sardinetiller_cleared_total").Inc()
	g.Recorder.Log(recorder.Suspect, "msg", "request cleared", "digest", d, "crashes", len(reports))
	g.recordOwn(reports)
}

// suspect records that a runner crashed during the given runs: their requests are suspected, and the parts of
// their prompts that are not known to be sound. Those that were sent after another instance saw it
// crash are not suspected: the runner was down.
func (g *Gatekeeper) suspect(runner string, runs []brokenRun) {
	now := time.Now()
	crashedAt, known := g.quarantine.ledger.CrashedAt(runner)
	known = known && now.Sub(crashedAt) < crashRetention
	var reports []quarantiner.CrashReport
	for _, run := range runs {
		if known && run.sent.After(crashedAt) {
			g.Recorder.Log(recorder.Suspect, "msg", "sent to a crashed runner; not suspected", "digest", run.digest, "runner", runner, "late", run.sent.Sub(crashedAt))
			continue
		}
		report := quarantiner.CrashReport{Digest: run.digest, Runner: runner, Age: now.Sub(run.sent.Add(run.ran)), RunTime: run.ran}
		reports = append(reports, report)
		for _, part := range run.parts {
			if !g.quarantine.soundness.Sound(part, now) {
				report.Digest = part
				reports = append(reports, report)
			}
		}
	}
	added := g.quarantine.ledger.Apply(reports, now)
	for _, r := range added {
		g.Metrics.GetOrCreateCounter("sardinetiller_suspected_total").Inc()
		g.logCrash(r, "self")
	}
	g.recordOwn(added)
}

// recordOwn records this instance's own observations, which it has to report.
func (g *Gatekeeper) recordOwn(reports []quarantiner.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	q := &g.quarantine
	q.mu.Lock()
	q.lastReport = now
	if q.ownReports == nil {
		q.ownReports = make(map[quarantiner.Crash]ownReport)
	}
	for _, r := range reports {
		q.ownReports[r.Crash()] = ownReport{since: now}
	}
	q.mu.Unlock()
	g.logVerdicts()
	g.storeCrashes(reports)
	signal(g.quarantine.wakeReporter)
}

// applyCrashReports applies crash reports of other instances or of the store.
func (g *Gatekeeper) applyCrashReports(reports []quarantiner.CrashReport, from string) {
	if len(reports) == 0 {
		return
	}
	added := g.quarantine.ledger.Apply(reports, time.Now())
	if len(added) == 0 {
		return
	}
	for _, r := range added {
		if !r.Cleared && len(g.quarantine.ledger.Uncleared(r.Digest, time.Now())) >= quarantiner.MinPersistedCrashes {
			g.logCrash(r, from) // other crashes are logged only where they were observed, as most requests that run during a crash did not cause it
		}
	}
	q := &g.quarantine
	q.mu.Lock()
	q.lastReport = time.Now()
	q.mu.Unlock()
	g.logVerdicts()
	if from != fromStore {
		g.storeCrashes(g.filterObserved(added))
	}
}

// hasRecentReport reports whether there was a new crash report within frequentPollTime.
func (q *quarantine) hasRecentReport(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.lastReport.IsZero() && now.Sub(q.lastReport) < frequentPollTime
}
