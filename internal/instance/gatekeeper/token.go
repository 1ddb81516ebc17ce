package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// noAnswerWait is how long a limited runner gets no request from this instance after the
// leader of its failure domain has not answered.
const noAnswerWait = 250 * time.Millisecond

// TakeToken implements forwarder.Placement. The leader of the runner's domain grants the
// tokens, for all instances. Unlike a request for capacity, one without an answer is denied:
// no instance can keep the limit by itself.
func (g *Gatekeeper) TakeToken(ctx context.Context, runner string) bool {
	limit := g.Fleet.Limit(runner)
	if !limit.Limited {
		return true
	}
	taken, err := g.askToken(ctx, runner)
	if err != nil {
		g.Fleet.RecordDenial(runner, noAnswerWait, time.Now())
		g.countToken("no_answer")
		return false
	}
	now := time.Now()
	g.observeLimit(runner, taken.Limit.RateLimit(now), sourcePeer)
	if taken.Wait > 0 {
		g.Fleet.RecordDenial(runner, taken.Wait, now)
		g.countToken("denied")
		return false
	}
	g.Fleet.RecordGrant(runner)
	g.countToken("granted")
	return true
}

func (g *Gatekeeper) countToken(result string) {
	g.Metrics.GetOrCreateCounter(`sardinetiller_runner_tokens_total{result="` + result + `"}`).Inc()
}

// askToken asks the leader of the runner's failure domain for a token.
func (g *Gatekeeper) askToken(ctx context.Context, runner string) (relayer.Taken, error) {
	l, found := g.linkOf(runner)
	if !found {
		return relayer.Taken{}, judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", runner)
	}
	if c := g.controllers[l.domain]; c.leads() {
		return c.takeToken(runner)
	}
	leader, _, ok := l.leaderAndSource()
	if !ok {
		return relayer.Taken{}, judge.Refuse(judge.ReasonOwner, "no instance leads %s", l.domain)
	}
	ask := relayer.Take{Domain: l.domain, Limit: relayer.NewRunnerLimit(runner, g.Fleet.Limit(runner), time.Now())}
	conversation, message, err := g.askPeer(ctx, leader.address, ask, askTimeout)
	if err != nil {
		return relayer.Taken{}, err
	}
	defer conversation.Close()
	taken, is := message.(relayer.Taken)
	if !is {
		return relayer.Taken{}, judge.Refuse(judge.ReasonPeer, "%s answers a Take with %T", leader.id, message)
	}
	return taken, nil
}

// takeToken takes a token of a runner, as the leader of its failure domain.
func (c *controller) takeToken(runner string) (relayer.Taken, error) {
	now := time.Now()
	limit := c.gatekeeper.Fleet.Limit(runner)
	taken := relayer.Taken{Limit: relayer.NewRunnerLimit(runner, limit, now)}
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.runners[runner]
	switch {
	case !ok:
		return relayer.Taken{}, judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", runner)
	case limit.Limited:
		taken.Wait = state.throttle.Take(limit.PerSecond, c.elector.Row().Fence, now)
	}
	return taken, nil
}
