package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Quotas are settled along the same paths as other shared state: an instance settles with its
// source, and the leaders of the failure domains settle with each other.

const (
	// settleInterval is how often an instance settles what it has spent. Leaders settle with each
	// other at the first such time at least exchangeInterval after the last: traffic between
	// domains is billed.
	settleInterval   = 150 * time.Millisecond
	exchangeInterval = 250 * time.Millisecond
	// settleTimeout bounds such an exchange. No request waits for it.
	settleTimeout = 400 * time.Millisecond
)

// reporter returns the reporter for this instance's own spending.
func (g *Gatekeeper) reporter(now time.Time) limiter.Reporter {
	started := g.quotas.started
	return limiter.Reporter{Instance: g.Config.ID, Incarnation: started.UnixNano(), Age: now.Sub(started)}
}

// exchange settles with another instance.
func (g *Gatekeeper) exchange(ctx context.Context, with source, m relayer.Settle, timeout time.Duration) (relayer.Settled, error) {
	conversation, message, err := g.askPeer(ctx, with.address, m, timeout)
	if err != nil {
		return relayer.Settled{}, err
	}
	defer conversation.Close()
	settled, ok := message.(relayer.Settled)
	if !ok {
		return relayer.Settled{}, judge.Refuse(judge.ReasonPeer, "%s answers a Settle with %T", with.id, message)
	}
	return settled, nil
}

// settle handles a relayer.Settle.
func (g *Gatekeeper) settle(m relayer.Settle) (relayer.Settled, error) {
	if m.Unsubscribed {
		g.quotas.ledger.Remove(m.Reporter.Instance)
		return relayer.Settled{}, nil
	}
	now := time.Now()
	balances, ok := g.quotas.ledger.Settle(m.Reporter, m.Spent, now)
	since, keeps := g.quotas.ledger.StartedAt()
	if !ok || !keeps {
		return relayer.Settled{}, judge.Refuse(judge.ReasonOwner, "no quotas are settled here")
	}
	return relayer.Settled{Age: now.Sub(since), Balances: balances}, nil
}

// settleQuotas settles this instance's spending periodically until ctx ends.
func (g *Gatekeeper) settleQuotas(ctx context.Context) {
	var exchanged time.Time
	repeater.Every(ctx, settleInterval, nil, func() {
		now := time.Now()
		g.countReturns(now)
		if !g.ensureLedger(now) {
			exchanged = time.Time{}
			g.settleWithSource(ctx, now)
			return
		}
		report := g.quotas.spender.Report(now)
		if balances, ok := g.quotas.ledger.Settle(g.reporter(now), report, now); ok {
			g.applyBalances(balances, now)
		}
		if now.Sub(exchanged) >= exchangeInterval {
			exchanged = now
			g.settleWithLeaders(ctx, now)
		}
	})
}

// ensureLedger starts or stops the ledger that this instance keeps for others, as every leader
// does, and reports whether it keeps one now.
func (g *Gatekeeper) ensureLedger(now time.Time) bool {
	keeps := g.leadsAny() && !g.Stopping()
	_, kept := g.quotas.ledger.StartedAt()
	switch {
	case keeps && !kept:
		g.quotas.ledger.Begin(now)
		g.Recorder.Log(recorder.View, "msg", "quota ledger started")
	case !keeps && kept:
		g.quotas.ledger.End()
		g.Recorder.Log(recorder.View, "msg", "quota ledger stopped")
	}
	return keeps
}

// settleWithSource settles with the source of this instance.
func (g *Gatekeeper) settleWithSource(ctx context.Context, now time.Time) {
	to, ok := g.currentSource()
	if !ok {
		return
	}
	g.unsubscribeFormer(ctx, to, now)
	report := g.quotas.spender.Report(now)
	if len(report) == 0 {
		return
	}
	// Failures need no handling: the spender notices that its balances get old.
	if settled, err := g.exchange(ctx, to, relayer.Settle{Reporter: g.reporter(now), Spent: report}, settleTimeout); err == nil {
		g.applyBalances(settled.Balances, now)
	}
}

// unsubscribeFormer unsubscribes from the ledger with which this instance settled before, which
// would otherwise reserve a share for it.
func (g *Gatekeeper) unsubscribeFormer(ctx context.Context, to source, now time.Time) {
	q := &g.quotas
	q.mu.Lock()
	former := q.source
	q.source = to
	q.mu.Unlock()
	if former == to || former == (source{}) {
		return
	}
	update := relayer.Settle{Reporter: g.reporter(now), Unsubscribed: true}
	go func() {
		if _, err := g.exchange(ctx, former, update, settleTimeout); err != nil {
			g.Recorder.Log(recorder.View, "msg", "quota unsubscribe failed", "instance", former.id, "err", err)
		}
	}()
}

// applyBalances applies balances that were requested at the given time.
func (g *Gatekeeper) applyBalances(balances []limiter.Balance, sentAt time.Time) {
	now := time.Now()
	for _, b := range balances {
		if limit, ok := g.limitOf(b.Account); ok {
			g.quotas.spender.ApplyBalance(b, limit, sentAt, now)
		}
	}
}

// settleWithLeaders reports to the leaders of the other domains what the instances that settle
// here have spent.
func (g *Gatekeeper) settleWithLeaders(ctx context.Context, now time.Time) {
	since, ok := g.quotas.ledger.StartedAt()
	if catalog := g.Catalog(); !ok || catalog == nil || catalog.Accounts == nil {
		return
	}
	update := relayer.Settle{
		Reporter: limiter.Reporter{Instance: g.Config.ID, Incarnation: since.UnixNano(), Domain: g.Config.Domain, Age: now.Sub(since)},
		Spent:    g.quotas.ledger.Report(now),
	}
	for _, to := range g.otherLeaders() {
		go g.settleWithLeader(ctx, to, update)
	}
}

// settleWithLeader settles with the leader of another domain. A failure needs no handling: the next
// report repeats everything, and the other ledger notices the missing ones.
func (g *Gatekeeper) settleWithLeader(ctx context.Context, to source, update relayer.Settle) {
	if settled, err := g.exchange(ctx, to, update, settleTimeout); err == nil {
		g.quotas.ledger.Adopt(settled.Balances, settled.Age, time.Now())
	}
}

// otherLeaders returns the leaders of other domains.
func (g *Gatekeeper) otherLeaders() []source {
	var others []source
	seen := make(map[source]bool)
	for _, l := range g.links {
		l.mu.Lock()
		s := sourceOf(l.leader)
		l.mu.Unlock()
		if s.id == "" || s.id == g.Config.ID || seen[s] {
			continue
		}
		seen[s] = true
		others = append(others, s)
	}
	return others
}
