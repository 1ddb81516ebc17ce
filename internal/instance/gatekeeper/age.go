package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// version returns the version of the configuration in force, 0 if there is none.
func (g *Gatekeeper) version() uint64 {
	if c := g.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// registerAgeGauges exports how old each view is and why. The metric names sort to the top of
// the metrics page: a monitor may keep only the first few kilobytes of a page.
func (g *Gatekeeper) registerAgeGauges() {
	if g.Metrics == nil {
		return
	}
	g.Metrics.GetOrCreateGauge("sardinetiller_belief_config_version", func() float64 { return float64(g.version()) })
	for _, v := range g.views() {
		gauge := func(metric string, value func(s viewState) float64) {
			g.Metrics.GetOrCreateGauge(fmt.Sprintf("sardinetiller_belief_%s{table=%q}", metric, v.name), func() float64 {
				return value(v.state(time.Now()))
			})
		}
		gauge("age_seconds", func(s viewState) float64 { return s.Age.Seconds() })
		gauge("failed_calls", func(s viewState) float64 { return float64(s.Failed) })
		gauge("waits_seconds", func(s viewState) float64 { return s.Waits.Seconds() })
	}
}

// registerReachGauges exports how many runners are known, and to how many of them the last
// connection failed.
func (g *Gatekeeper) registerReachGauges() {
	if g.Metrics == nil {
		return
	}
	g.Metrics.GetOrCreateGauge("sardinetiller_runners_known", func() float64 { return float64(len(g.Fleet.All())) })
	g.Metrics.GetOrCreateGauge("sardinetiller_runners_unreached", func() float64 { return float64(g.Fleet.Unreached()) })
}

// registerUpdateGauges exports how long ago the leader of each failure domain last sent an
// update, and whether its updates are relayed by another instance.
func (g *Gatekeeper) registerUpdateGauges() {
	if g.Metrics == nil {
		return
	}
	for domain, l := range g.links {
		label := fmt.Sprintf("{domain=%q}", domain)
		g.Metrics.GetOrCreateGauge("sardinetiller_told_age_seconds"+label, func() float64 { return l.sinceUpdate().Seconds() })
		g.Metrics.GetOrCreateGauge("sardinetiller_told_passed"+label, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.source.id == l.leader.Leader {
				return 0
			}
			return 1
		})
	}
}

// logAges logs the ages of the views. They show why an instance served an older configuration
// than another one.
func (g *Gatekeeper) logAges(ctx context.Context) {
	repeater.Every(ctx, logInterval, nil, func() {
		now := time.Now()
		for _, v := range g.views() {
			s := v.state(now)
			g.Recorder.Log(recorder.Config, "msg", "age", "table", v.name, "version", g.version(), "after", s.After, "age", s.Age,
				"waits", s.Waits, "failed", s.Failed, "err", s.Err)
		}
	})
}

// A staleAlarm logs when a view becomes older than the staleness check should allow, and when
// it is current again.
type staleAlarm struct {
	gatekeeper *Gatekeeper
	view       *view
	stale      bool
}

// staleFactor is how many times its maximum age a view may be old before that is logged: the
// answer to the first staleness check normally arrives well before.
const staleFactor = 2

func (a *staleAlarm) check(now time.Time) {
	s := a.view.state(now)
	old := s.Age > staleFactor*a.view.maxAge()
	if old == a.stale {
		return
	}
	a.stale = old
	msg := "current again"
	if old {
		msg = "may be old"
	}
	g := a.gatekeeper
	g.Recorder.Log(recorder.Config, "msg", msg, "table", a.view.name, "version", g.version(), "age", s.Age, "waits", s.Waits, "failed", s.Failed, "err", s.Err)
}
