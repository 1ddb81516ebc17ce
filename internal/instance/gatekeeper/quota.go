package gatekeeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Quotas are settled like everything else that instances share: with the instance that
// tells this one what changes, and between the holders of the failure domains.

const (
	// settleEvery is how often an instance settles what it has spent, and exchangeEvery how
	// often holders settle with each other; bytes between domains are paid for.
	settleEvery   = 150 * time.Millisecond
	exchangeEvery = 250 * time.Millisecond
	// settleTimeout bounds such a word. No request waits for it.
	settleTimeout = 400 * time.Millisecond
	// unheardPatience is how long a request waits for somebody who knows its quota, and
	// unheardLook how often it asks. A caller that is sent away comes back later than that.
	unheardPatience = 400 * time.Millisecond
	unheardLook     = 25 * time.Millisecond
	// tokensPatience is how long a request waits for tokens that come in that time. It is
	// what a caller would be told to stay away for at least.
	tokensPatience = 250 * time.Millisecond
	// firstPart is the part of the tolerance that ledgers have between them which know
	// nothing of the past; the rest is for cuts.
	firstPart = 0.7
	// namedAccounts bounds the accounts that have a counter of their own.
	namedAccounts = 100
)

// quotas are what this instance knows of the quotas of accounts.
type quotas struct {
	spender limiter.Spender
	ledger  limiter.Ledger
	born    time.Time

	mu      sync.Mutex
	source  source          // that settles for this instance
	counted map[string]bool // accounts that have a counter
}

func (q *quotas) init(g *Gatekeeper) {
	q.born = time.Now()
	q.counted = make(map[string]bool)
	q.spender.Instances = g.Members
	q.ledger.Limits = g.limitOf
	q.ledger.Window = g.Config.Bounds.Quota
	q.ledger.First = g.firstTokens
}

// limitOf returns the quota of an account as the configuration in force has it.
func (g *Gatekeeper) limitOf(account string) (limiter.Limit, bool) {
	catalog := g.Catalog()
	if catalog == nil || catalog.Accounts == nil {
		return limiter.Limit{}, false
	}
	a, ok := catalog.Accounts.Named(account)
	if !ok {
		return limiter.Limit{}, false
	}
	return a.Limit, true
}

// firstTokens returns what a ledger has of a quota that knows nothing of its use yet: its
// part of the tolerance. Without it a small account has nothing for seconds after a
// restart of all.
func (g *Gatekeeper) firstTokens(l limiter.Limit) float64 {
	b := g.Config.Bounds
	tolerance := b.Over*(l.Rate*b.Quota.Seconds()+l.Burst) + b.Spare
	return firstPart * tolerance / float64(len(g.domains()))
}

// Admit counts a request against the quota of its account, or refuses it.
func (g *Gatekeeper) Admit(ctx context.Context, r limiter.Request) *judge.Error {
	if !r.Limit.Bounds() {
		return nil
	}
	decision, by := g.decide(ctx, r)
	if over, is := decision.(limiter.Over); is && over.Soon <= tokensPatience {
		pause(ctx, over.Soon)
		decision, by = g.decide(ctx, r)
	}
	switch d := decision.(type) {
	case limiter.Over:
		g.countRefusal(r.Account)
		return judge.Refuse(judge.ReasonQuota, "account %s asks for %d tokens and has %d left, as %s knew %s ago",
			r.Account, r.Tokens, d.Left, by, d.Age.Round(time.Millisecond)).After(d.Wait)
	case limiter.Unheard:
		return judge.Refuse(judge.ReasonStarting, "what is left of the quota of account %s is not known here", r.Account).After(d.Wait)
	default:
		return nil
	}
}

// Return gives the tokens of a request back that has not run.
func (g *Gatekeeper) Return(r limiter.Request) {
	if r.Limit.Bounds() {
		g.quotas.spender.Return(r.Account, r.Tokens, time.Now())
	}
}

// countRefusal counts a request beyond its account's quota.
func (g *Gatekeeper) countRefusal(account string) {
	q := &g.quotas
	q.mu.Lock()
	if !q.counted[account] {
		if len(q.counted) >= namedAccounts {
			account = "other"
		}
		q.counted[account] = true
	}
	q.mu.Unlock()
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_quota_refusals_total{account=%q}`, account)).Inc()
}

// decide decides on a request; by says who did.
func (g *Gatekeeper) decide(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	d = g.quotas.spender.Spend(r, time.Now())
	if _, asks := d.(limiter.Ask); asks {
		return g.askUntilHeard(ctx, r)
	}
	return d, g.Config.ID
}

// askUntilHeard asks again where nothing is known of the quota yet. After a restart of all
// somebody leads again within that time.
func (g *Gatekeeper) askUntilHeard(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	for end := time.Now().Add(unheardPatience); ; pause(ctx, unheardLook) {
		d, by = g.askLedger(ctx, r)
		if _, unheard := d.(limiter.Unheard); !unheard || ctx.Err() != nil || !time.Now().Before(end) {
			return d, by
		}
	}
}

// askLedger has whoever settles for this instance decide on a request, or decides alone if
// nobody answers; by says who decided.
func (g *Gatekeeper) askLedger(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	s := &g.quotas.spender
	asked := time.Now()
	want := []limiter.Spent{s.Want(r)}
	if balances, ok := g.quotas.ledger.Settle(g.party(asked), want, asked); ok {
		return g.decided(r, balances, asked), g.Config.ID
	}
	if to, ok := g.teller(); ok {
		settled, err := g.exchange(ctx, to, relayer.Settle{Party: g.party(asked), Spent: want}, askTimeout)
		if err == nil {
			return g.decided(r, settled.Balances, asked), to.id
		}
	}
	return s.SpendAlone(r, time.Now()), g.Config.ID
}

// decided returns what follows from a ledger's answer. One that does not know of the quota
// has an older configuration.
func (g *Gatekeeper) decided(r limiter.Request, balances []limiter.Balance, asked time.Time) limiter.Decision {
	now := time.Now()
	if len(balances) != 1 {
		return g.quotas.spender.SpendAlone(r, now)
	}
	return g.quotas.spender.Answered(r, balances[0], asked, now)
}

// party returns this instance as it settles what it spends itself.
func (g *Gatekeeper) party(now time.Time) limiter.Party {
	born := g.quotas.born
	return limiter.Party{Instance: g.Config.ID, Born: born.UnixNano(), Age: now.Sub(born)}
}

// exchange settles with another instance.
func (g *Gatekeeper) exchange(ctx context.Context, with source, m relayer.Settle, timeout time.Duration) (relayer.Settled, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conversation, err := g.Peers.Open(ctx, with.address, m)
	if err != nil {
		return relayer.Settled{}, err
	}
	defer conversation.Close()
	message, err := conversation.Next(ctx)
	if err != nil {
		return relayer.Settled{}, err
	}
	settled, ok := message.(relayer.Settled)
	if !ok {
		return relayer.Settled{}, judge.Refuse(judge.ReasonPeer, "%s answers a Settle with %T", with.id, message)
	}
	return settled, nil
}

// settle answers a Settle.
func (g *Gatekeeper) settle(m relayer.Settle) (relayer.Settled, error) {
	if m.Parted {
		g.quotas.ledger.Part(m.Party.Instance)
		return relayer.Settled{}, nil
	}
	now := time.Now()
	balances, ok := g.quotas.ledger.Settle(m.Party, m.Spent, now)
	since, keeps := g.quotas.ledger.Began()
	if !ok || !keeps {
		return relayer.Settled{}, judge.Refuse(judge.ReasonOwner, "no quotas are settled here")
	}
	return relayer.Settled{Age: now.Sub(since), Balances: balances}, nil
}

// settleQuotas settles what is spent, until ctx ends.
func (g *Gatekeeper) settleQuotas(ctx context.Context) {
	var exchanged time.Time
	repeater.Every(ctx, settleEvery, nil, func() {
		now := time.Now()
		if !g.keepsLedger(now) {
			exchanged = time.Time{}
			g.settleOwn(ctx, now)
			return
		}
		report := g.quotas.spender.Report(now)
		if balances, ok := g.quotas.ledger.Settle(g.party(now), report, now); ok {
			g.settled(balances, now)
		}
		if now.Sub(exchanged) >= exchangeEvery {
			exchanged = now
			g.settleWithHolders(ctx, now)
		}
	})
}

// keepsLedger reports whether this instance settles for others, as those do that hold a
// tenure.
func (g *Gatekeeper) keepsLedger(now time.Time) bool {
	keeps := g.holdsAny() && !g.Leaving()
	_, kept := g.quotas.ledger.Began()
	switch {
	case keeps && !kept:
		g.quotas.ledger.Begin(now)
		g.Recorder.Log(recorder.Belief, "msg", "settles quotas")
	case !keeps && kept:
		g.quotas.ledger.End()
		g.Recorder.Log(recorder.Belief, "msg", "settles no quotas")
	}
	return keeps
}

// settleOwn settles with whoever tells this instance what changes.
func (g *Gatekeeper) settleOwn(ctx context.Context, now time.Time) {
	to, ok := g.teller()
	if !ok {
		return
	}
	g.partFrom(ctx, to, now)
	report := g.quotas.spender.Report(now)
	if len(report) == 0 {
		return
	}
	// Silence shows in what follows from it.
	if settled, err := g.exchange(ctx, to, relayer.Settle{Party: g.party(now), Spent: report}, settleTimeout); err == nil {
		g.settled(settled.Balances, now)
	}
}

// partFrom tells the instance that settled for this one before that another one does. It
// would keep a share back for this one.
func (g *Gatekeeper) partFrom(ctx context.Context, to source, now time.Time) {
	q := &g.quotas
	q.mu.Lock()
	former := q.source
	q.source = to
	q.mu.Unlock()
	if former == to || former == (source{}) {
		return
	}
	word := relayer.Settle{Party: g.party(now), Parted: true}
	go func() {
		if _, err := g.exchange(ctx, former, word, settleTimeout); err != nil {
			g.Recorder.Log(recorder.Belief, "msg", "not parted", "instance", former.id, "err", err)
		}
	}()
}

// settled takes in balances that were asked for at a time.
func (g *Gatekeeper) settled(balances []limiter.Balance, asked time.Time) {
	now := time.Now()
	for _, b := range balances {
		if limit, ok := g.limitOf(b.Account); ok {
			g.quotas.spender.Settled(b, limit, asked, now)
		}
	}
}

// settleWithHolders tells the holders of the other domains what those have spent who settle
// here.
func (g *Gatekeeper) settleWithHolders(ctx context.Context, now time.Time) {
	since, ok := g.quotas.ledger.Began()
	if catalog := g.Catalog(); !ok || catalog == nil || catalog.Accounts == nil {
		return
	}
	word := relayer.Settle{
		Party: limiter.Party{Instance: g.Config.ID, Born: since.UnixNano(), Domain: g.Config.Domain, Age: now.Sub(since)},
		Spent: g.quotas.ledger.Report(now),
	}
	for _, to := range g.otherHolders() {
		go g.settleWith(ctx, to, word)
	}
}

// settleWith tells the holder of another domain. All is told again with the next word, and
// silence shows there.
func (g *Gatekeeper) settleWith(ctx context.Context, to source, word relayer.Settle) {
	if settled, err := g.exchange(ctx, to, word, settleTimeout); err == nil {
		g.quotas.ledger.Adopt(settled.Balances, settled.Age, time.Now())
	}
}

// otherHolders returns the instances that hold the tenures of other domains.
func (g *Gatekeeper) otherHolders() []source {
	var others []source
	seen := make(map[source]bool)
	for _, l := range g.links {
		l.mu.Lock()
		s := sourceOf(l.holder)
		l.mu.Unlock()
		if s.id == "" || s.id == g.Config.ID || seen[s] {
			continue
		}
		seen[s] = true
		others = append(others, s)
	}
	return others
}

// logLimits logs the quotas that a configuration changes.
func (g *Gatekeeper) logLimits(old, current *matcher.Catalog) {
	for a := range current.Accounts.All() {
		if old != nil && old.Accounts != nil {
			if before, ok := old.Accounts.Named(a.Name); ok && before.Limit == a.Limit {
				continue
			}
		}
		g.Recorder.Log(recorder.Config, "msg", "quota", "version", current.Version, "account", a.Name, "rate", a.Limit.Rate, "burst", a.Limit.Burst, "plain", a.Limit.Plain)
	}
}
