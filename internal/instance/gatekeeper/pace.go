package gatekeeper

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// paceChange is the relative change of a usual pace that is published and logged. It
	// changes a wait by less than a twentieth, while statements in whole percent vary by one.
	paceChange = 0.05
	// slowFactor is how many times its usual pace a runner is at when its statements are
	// published. Observed passing slowness is 2.5 times the usual pace.
	slowFactor = 1.5
	// paceRefresh is how often the pace of each runner is published at least, so that members
	// do not forget it: they count what was published for gauger.Memory.
	paceRefresh = gauger.Memory / 3
)

// publishedPaces are the usual paces that one member was sent, by runner.
type publishedPaces map[string]publishedPace

type publishedPace struct {
	at    time.Time
	usual float64
}

// usesPace reports whether this instance uses what runners state of their pace.
func (g *Gatekeeper) usesPace() bool { return g.Config.Load.Pace != configurer.Off }

// observePace records what a runner stated of its pace in a response, and reports it to the
// leader with the next demand.
func (g *Gatekeeper) observePace(runner tracker.Runner, n tracker.Notice) {
	if !g.usesPace() {
		return
	}
	if n.PaceInvalid {
		g.Metrics.GetOrCreateCounter("sardinetiller_runner_pace_ignored_total").Inc()
	}
	if n.Pace == 0 {
		return
	}
	s := gauger.Statement{At: time.Now(), Percent: n.Pace}
	g.Fleet.ObservePace(runner.ID, s)
	l, found := g.links[runner.Domain]
	if !found {
		return
	}
	if c := g.controllers[runner.Domain]; c.leads() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordPace(runner.ID, s.At)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingDemand.recordPace(runner.ID, s)
}

// recordPace records a statement to be reported.
func (p *pendingDemand) recordPace(runner string, s gauger.Statement) {
	if p.paces == nil {
		p.paces = make(map[string]gauger.Statement)
	}
	if s.At.After(p.paces[runner].At) {
		p.paces[runner] = s
	}
}

// dropOldPaces drops the statements that no longer count. Without a leader, nothing is reported,
// and those of runners that have been removed would accumulate.
func (p *pendingDemand) dropOldPaces(now time.Time) {
	maps.DeleteFunc(p.paces, func(_ string, s gauger.Statement) bool { return now.Sub(s.At) > gauger.Memory })
}

// takePaces returns and clears the statements to be reported.
func (p *pendingDemand) takePaces(now time.Time) []relayer.Pace {
	p.dropOldPaces(now)
	var paces []relayer.Pace
	for runner, s := range p.paces {
		paces = append(paces, relayer.NewPace(runner, s, now))
	}
	p.paces = nil
	return paces
}

// applyPaces applies the statements in a member's report.
func (c *controller) applyPaces(paces []relayer.Pace, now time.Time) {
	if !c.gatekeeper.usesPace() {
		return
	}
	for _, p := range paces {
		if _, known := c.runners[p.Runner]; !known || !gauger.Valid(p.Percent) {
			continue
		}
		c.gatekeeper.Fleet.ObservePace(p.Runner, p.Statement(now))
		c.recordPace(p.Runner, now)
	}
}

// adoptPaces applies what the leader of a domain published of its runners' paces.
func (g *Gatekeeper) adoptPaces(paces []relayer.RunnerPace, now time.Time) {
	if !g.usesPace() {
		return
	}
	for _, p := range paces {
		g.Fleet.AdoptPace(p.Runner, p.Estimate(), now)
		if p.Percent > 0 {
			g.Fleet.ObserveSlowPace(p.Runner, p.Statement(now))
		}
	}
}

// recordPace logs a change of a runner's usual pace, and exports the pace, while this instance
// sends orders as the leader of the domain: stopOrdering then ends the export. An instance may
// lose the lease before it has sent any.
func (c *controller) recordPace(runner string, now time.Time) {
	state, known := c.runners[runner]
	if !known || c.orderingFence == 0 {
		return
	}
	g := c.gatekeeper
	pace, ok := g.Fleet.Pace(runner, now)
	if !ok || !paceChanged(state.usualPace, pace.Usual) {
		return
	}
	if state.usualPace == 0 {
		g.Metrics.GetOrCreateGauge(paceGauge(runner), func() float64 {
			pace, _ := g.Fleet.Pace(runner, time.Now())
			return pace.Usual
		})
	}
	g.Recorder.Log(recorder.View, "msg", "runner pace", "runner", runner, "usual", pace.Usual, "before", state.usualPace, "mean", math.Round(pace.Mean))
	state.usualPace = pace.Usual
}

// dropPace ends the export of a runner's pace.
func (c *controller) dropPace(state *runnerState) {
	if state.usualPace == 0 {
		return
	}
	state.usualPace = 0
	c.gatekeeper.Metrics.UnregisterMetric(paceGauge(state.runner.ID))
}

func paceGauge(runner string) string {
	return fmt.Sprintf("sardinetiller_runner_pace{runner=%q}", runner)
}

func paceChanged(before, usual float64) bool { return math.Abs(usual-before) > paceChange*before }

// slowNow reports whether a runner is slower than usual, by a statement that is still fresh.
func slowNow(p tracker.Pace, now time.Time) bool {
	return float64(p.Latest.Percent) > slowFactor*p.Usual && now.Sub(p.Latest.At) < gauger.Fresh
}

// addPaces adds paces to an update that carries loads or is a snapshot. It adds none without
// leader state: members ignore them there, and would not be sent them again for paceRefresh.
func (c *controller) addPaces(update *relayer.News, published publishedPaces, due bool, now time.Time) {
	if (due || update.Snapshot) && !lacksLeaderState(*update) {
		update.Paces = c.pacesFor(published, update.Snapshot, now)
	}
}

// pacesFor returns what to publish to a member of the runners' paces: usual paces that have
// changed since the member was sent them, and runners that are slow now. all adds the usual
// pace of every runner that has stated one.
func (c *controller) pacesFor(published publishedPaces, all bool, now time.Time) []relayer.RunnerPace {
	if !c.gatekeeper.usesPace() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var paces []relayer.RunnerPace
	for runner := range c.runners {
		pace, ok := c.gatekeeper.Fleet.Pace(runner, now)
		if !ok {
			continue
		}
		before := published[runner]
		slow := slowNow(pace, now)
		if !all && !slow && !paceChanged(before.usual, pace.Usual) && now.Sub(before.at) < paceRefresh {
			continue
		}
		p := relayer.RunnerPace{Runner: runner, Usual: int(math.Round(pace.Usual)), Mean: int(math.Round(pace.Mean))}
		if slow {
			p.Percent, p.Age = pace.Latest.Percent, now.Sub(pace.Latest.At).Round(time.Millisecond)
		}
		paces = append(paces, p)
		published[runner] = publishedPace{at: now, usual: pace.Usual}
	}
	for runner := range published {
		if _, known := c.runners[runner]; !known {
			delete(published, runner)
		}
	}
	return paces
}

// logPaces logs how the usual paces of the runners of each service are distributed, as the
// leader of the domain: how many are in each third of the range between the least and the most.
func (c *controller) logPaces() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orderingFence == 0 {
		return
	}
	services := make(map[string][]tracker.Pace)
	for id, state := range c.runners {
		if pace, ok := c.gatekeeper.Fleet.Pace(id, now); ok {
			services[state.runner.Service] = append(services[state.runner.Service], pace)
		}
	}
	for service, paces := range services {
		least, most, slowed := math.Inf(1), 0.0, 0
		for _, p := range paces {
			least, most = min(least, p.Usual), max(most, p.Usual)
			if slowNow(p, now) {
				slowed++
			}
		}
		var thirds [3]int
		for _, p := range paces {
			third := 0
			if most > least {
				third = min(2, int(3*(p.Usual-least)/(most-least)))
			}
			thirds[third]++
		}
		c.gatekeeper.Recorder.Log(recorder.View, "msg", "pace", "domain", c.domain, "service", service, "runners", len(paces),
			"least", least, "most", most, "fast", thirds[0], "middle", thirds[1], "slow", thirds[2], "slowed", slowed)
	}
}
