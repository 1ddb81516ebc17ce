package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// count returns how many requests are in quarantine.
func (q *quarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.logged)
}

func (g *Gatekeeper) logCrash(r quarantiner.CrashReport, from string) {
	g.Recorder.Log(recorder.Suspect, "msg", "request suspected", "digest", r.Digest, "runner", r.Runner, "ran", r.RunTime, "age", r.Age, "from", from,
		"crashes", len(g.quarantine.ledger.Uncleared(r.Digest, time.Now())))
}

// logVerdicts logs and counts the requests that have entered or left quarantine.
func (g *Gatekeeper) logVerdicts() {
	now := time.Now()
	cases := g.quarantine.ledger.Cases()
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	quarantined := make(map[quarantiner.Digest]bool)
	for _, c := range cases {
		if !now.Before(c.Until) {
			continue
		}
		quarantined[c.Digest] = true
		if !q.logged[c.Digest] {
			g.Metrics.GetOrCreateCounter("sardinetiller_quarantined_total").Inc()
			g.Recorder.Log(recorder.Suspect, "msg", "request quarantined", "digest", c.Digest, "crashes", c.Crashes, "for", c.Until.Sub(now))
		}
	}
	for d := range q.logged {
		if !quarantined[d] {
			g.Metrics.GetOrCreateCounter("sardinetiller_quarantine_ended_total").Inc()
			g.Recorder.Log(recorder.Suspect, "msg", "quarantine ended", "digest", d)
		}
	}
	q.logged = quarantined
}

// maxListed bounds how many requests in quarantine are logged.
const maxListed = 8

// watchQuarantine logs the requests in quarantine and expires old crashes, until ctx ends.
func (g *Gatekeeper) watchQuarantine(ctx context.Context) {
	g.Metrics.GetOrCreateGauge("sardinetiller_quarantine_requests", func() float64 { return float64(g.quarantine.count()) })
	repeater.Every(ctx, logInterval, nil, func() {
		if g.quarantine.ledger.Empty() {
			return
		}
		now := time.Now()
		g.deleteCrashRows(g.quarantine.ledger.Expire(now))
		g.logVerdicts()
		listed := 0
		for _, c := range g.quarantine.ledger.Cases() {
			if now.Before(c.Until) && listed < maxListed {
				listed++
				g.Recorder.Log(recorder.Suspect, "msg", "in quarantine", "digest", c.Digest, "crashes", c.Crashes, "for", c.Until.Sub(now))
			}
		}
	})
}
