package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Where this instance learned of a runner's statement.
const (
	sourcePeer     = "peer"
	sourceResponse = "response"
)

// ObserveNotice records what a runner stated about itself in a response, and tells the leader
// of its failure domain, which publishes it.
func (g *Gatekeeper) ObserveNotice(runner tracker.Runner, n tracker.Notice) {
	g.observePace(runner, n)
	g.observeRejections(runner, n.Rejections)
	g.observeRest(runner.ID, n.RestUntil)
	leaves := n.Leaving && g.observeLeaving(runner.ID, sourceResponse)
	if limitChanged := g.observeLimit(runner.ID, n.Limit, sourceResponse); limitChanged || leaves {
		go g.tellLeader(runner)
	}
}

// observeLeaving records that a runner stated that it is leaving, and publishes it to the
// subscribers of its failure domain. It reports whether that is new.
func (g *Gatekeeper) observeLeaving(runner, source string) (changed bool) {
	if !g.Fleet.ObserveLeaving(runner) {
		return false
	}
	g.Recorder.Log(recorder.View, "msg", "runner leaving", "runner", runner, "source", source)
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_runners_leaving_total{source=%q}`, source)).Inc()
	g.publishStatements(runner)
	return true
}

// publishStatements publishes what a runner has stated to the subscribers of its failure domain.
func (g *Gatekeeper) publishStatements(runner string) {
	l, found := g.linkOf(runner)
	if !found {
		return
	}
	c := g.controllers[l.domain]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes.add(event{stated: runner})
}

// observeRejections records whether the runners of a service are brittle. All of them say so in
// all their responses, so it is not published.
func (g *Gatekeeper) observeRejections(runner tracker.Runner, limit tracker.RateLimit) {
	if !g.Fleet.ObserveRejections(runner.Service, limit) {
		return
	}
	g.Recorder.Log(recorder.View, "msg", "runners brittle", "service", runner.Service, "runner", runner.ID, "brittle", limit.Limited, "rejections", limit.PerSecond)
	g.Metrics.GetOrCreateCounter("sardinetiller_brittle_statements_total").Inc()
}

// observeRest records until when a runner wants no request from this instance.
func (g *Gatekeeper) observeRest(runner string, until time.Time) {
	if until.IsZero() || !g.Fleet.ObserveRest(runner, until) {
		return
	}
	g.Recorder.Log(recorder.View, "msg", "runner rests", "runner", runner, "for", time.Until(until))
	g.Metrics.GetOrCreateCounter("sardinetiller_runner_rests_total").Inc()
}

// observeLimit records a statement of a runner about its request rate, and publishes a limit
// to the subscribers of the runner's failure domain. It reports whether the limit has changed.
//
// The end of a limit is not published: a delayed update could end one that the runner has
// stated again meanwhile. Each instance learns of it with the next token.
func (g *Gatekeeper) observeLimit(runner string, limit tracker.RateLimit, source string) (changed bool) {
	if !g.Fleet.ObserveLimit(runner, limit) {
		return false
	}
	g.Recorder.Log(recorder.View, "msg", "runner limit", "runner", runner, "limited", limit.Limited, "rate", limit.PerSecond, "source", source)
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_runner_limits_total{source=%q}`, source)).Inc()
	if limit.Limited {
		g.publishStatements(runner)
	}
	return true
}

const (
	// noticeTimeout bounds one attempt to tell a leader of a statement, and noticeAttempts how
	// often it is tried. After an outage that is longer, the leader learns of a limit when it is
	// asked for a token.
	noticeTimeout  = 500 * time.Millisecond
	noticeAttempts = 4
)

// tellLeader tells the leader of the runner's failure domain what the runner has stated.
func (g *Gatekeeper) tellLeader(runner tracker.Runner) {
	l, found := g.links[runner.Domain]
	if !found {
		return
	}
	var err error
	for range noticeAttempts {
		if g.Stopping() || g.controllers[runner.Domain].leads() {
			return
		}
		if err = l.sendNotice(runner.ID); err == nil {
			return
		}
		time.Sleep(noticeTimeout)
	}
	g.Recorder.Log(recorder.View, "msg", "the leader is not told of a runner's statement", "runner", runner.ID, "err", err)
}

// sendNotice sends the current statements of a runner to the leader.
func (l *link) sendNotice(runner string) error {
	leader, _, ok := l.leaderAndSource()
	if !ok {
		return judge.Refuse(judge.ReasonOwner, "no instance leads %s", l.domain)
	}
	g := l.gatekeeper
	notice := relayer.Notice{
		Domain: l.domain, Limit: relayer.NewRunnerLimit(runner, g.Fleet.Limit(runner), time.Now()), Leaving: g.Fleet.LeavingStated(runner),
	}
	conversation, _, err := g.askPeer(context.Background(), leader.address, notice, noticeTimeout)
	if err != nil {
		return err
	}
	conversation.Close()
	return nil
}

// applyNotice applies a peer's notice, as the leader of the domain.
func (g *Gatekeeper) applyNotice(n relayer.Notice) {
	if n.Leaving {
		g.observeLeaving(n.Limit.Runner, sourcePeer)
	}
	g.observeLimit(n.Limit.Runner, n.Limit.RateLimit(time.Now()), sourcePeer)
}
