package gatekeeper

import (
	"fmt"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// ObserveNotice records what a runner stated about itself in a response.
func (g *Gatekeeper) ObserveNotice(runner tracker.Runner, n tracker.Notice) {
	g.observeLimit(runner.ID, n.Limit, "response")
}

// observeLimit records a statement of a runner about its request rate. source names where
// this instance learned of it.
func (g *Gatekeeper) observeLimit(runner string, limit tracker.RateLimit, source string) {
	if !g.Fleet.ObserveLimit(runner, limit) {
		return
	}
	g.Recorder.Log(recorder.View, "msg", "runner limit", "runner", runner, "limited", limit.Limited, "rate", limit.PerSecond, "source", source)
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_runner_limits_total{source=%q}`, source)).Inc()
}
