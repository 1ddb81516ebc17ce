package gatekeeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// unknownWaitLimit is how long a request waits for an instance that knows its quota, and
	// unknownRetryInterval the interval of its retries. A refused caller would retry later.
	unknownWaitLimit     = 400 * time.Millisecond
	unknownRetryInterval = 25 * time.Millisecond
	// tokensWaitLimit is the longest time that a request waits for tokens. A refused caller would
	// be given a retry time of at least as long.
	tokensWaitLimit = 250 * time.Millisecond
	// initialFraction is the fraction of the tolerance that is divided among ledgers that start
	// without usage data; the rest is for network partitions.
	initialFraction = 0.7
	// maxNamedAccounts bounds the accounts that have a counter of their own.
	maxNamedAccounts = 100
)

// quotas is what this instance knows of the quotas of accounts.
type quotas struct {
	spender limiter.Spender
	ledger  limiter.Ledger
	started time.Time

	mu      sync.Mutex
	source  source          // ledger with which this instance settles
	counted map[string]bool // accounts that have a counter
}

func (q *quotas) init(g *Gatekeeper) {
	q.started = time.Now()
	q.counted = make(map[string]bool)
	q.spender.Instances = g.Members
	q.spender.ByUrgency = g.Config.Load.Quota == configurer.On
	q.ledger.Limits = g.limitOf
	q.ledger.Others = func() int { return len(g.otherLeaders()) }
	q.ledger.Window = g.Config.Bounds.Quota
	q.ledger.InitialTokens = g.initialTokens
}

// limitOf returns the quota of an account in the current configuration.
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

// initialTokens returns the tokens that a new ledger grants of a quota before it knows its usage:
// its share of the tolerance. Without them a small account has nothing for seconds after a
// restart of all instances.
func (g *Gatekeeper) initialTokens(l limiter.Limit) float64 {
	b := g.Config.Bounds
	tolerance := b.Over*(l.Rate*b.Quota.Seconds()+l.Burst) + b.Spare
	return initialFraction * tolerance / float64(len(g.domains()))
}

// Admit charges a request to the quota of its account, or refuses it.
func (g *Gatekeeper) Admit(ctx context.Context, r limiter.Request) *judge.Error {
	if !r.Limit.Limited() {
		return nil
	}
	decision, by := g.decide(ctx, r)
	if over, is := decision.(limiter.QuotaExceeded); is && over.AvailableIn <= tokensWaitLimit {
		pause(ctx, over.AvailableIn)
		r.Repeated = true
		decision, by = g.decide(ctx, r)
	}
	switch d := decision.(type) {
	case limiter.QuotaExceeded:
		g.countRefusal(r.Account)
		if d.ByReserve {
			g.countReserved(r.Urgency)
		}
		return refuseQuota(r, d, by)
	case limiter.BalanceUnknown:
		return judge.Refuse(judge.ReasonStarting, "what is left of the quota of account %s is not known here", r.Account).WithRetryAfter(d.RetryAfter)
	default:
		return nil
	}
}

// Refund refunds the tokens of a request that has not run.
func (g *Gatekeeper) Refund(r limiter.Request) {
	if r.Limit.Limited() {
		g.quotas.spender.Refund(r.Account, r.Tokens, time.Now())
	}
}

// countRefusal counts a request that exceeds its account's quota.
func (g *Gatekeeper) countRefusal(account string) {
	q := &g.quotas
	q.mu.Lock()
	if !q.counted[account] {
		if len(q.counted) >= maxNamedAccounts {
			account = "other"
		}
		q.counted[account] = true
	}
	q.mu.Unlock()
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_quota_refusals_total{account=%q}`, account)).Inc()
}

// countReserved counts a request that is refused only because the tokens left are reserved.
func (g *Gatekeeper) countReserved(urgency int) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_quota_reserved_total{urgency="%d"}`, limiter.Level(urgency))).Inc()
}

// countReturns counts the returns of refused callers since the last call.
func (g *Gatekeeper) countReturns(now time.Time) {
	counts := g.quotas.spender.TakeReturns(now)
	for _, c := range []struct {
		result string
		n      int
	}{{"promised", counts.Promised}, {"admitted", counts.Admitted}, {"refused", counts.Refused}} {
		if c.n > 0 {
			g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_returns_total{result=%q}`, c.result)).Add(c.n)
		}
	}
}

// decide decides on a request; by is the instance that decided.
func (g *Gatekeeper) decide(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	d = g.quotas.spender.Spend(r, time.Now())
	if _, asks := d.(limiter.AskLedger); asks {
		return g.askUntilKnown(ctx, r)
	}
	return d, g.Config.ID
}

// askUntilKnown retries while nothing is known of the quota yet. After a restart of all
// instances there is a leader again within unknownWaitLimit.
func (g *Gatekeeper) askUntilKnown(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	for end := time.Now().Add(unknownWaitLimit); ; pause(ctx, unknownRetryInterval) {
		d, by = g.askLedger(ctx, r)
		if _, unknown := d.(limiter.BalanceUnknown); !unknown || ctx.Err() != nil || !time.Now().Before(end) {
			return d, by
		}
	}
}

// askLedger has the ledger of this instance decide on a request, or decides locally if there is
// no answer; by is the instance that decided.
func (g *Gatekeeper) askLedger(ctx context.Context, r limiter.Request) (d limiter.Decision, by string) {
	s := &g.quotas.spender
	sentAt := time.Now()
	want := []limiter.Spent{s.Want(r)}
	if balances, ok := g.quotas.ledger.Settle(g.reporter(sentAt), want, sentAt); ok {
		return g.applyAnswer(r, balances, sentAt), g.Config.ID
	}
	if to, ok := g.currentSource(); ok {
		settled, err := g.exchange(ctx, to, relayer.Settle{Reporter: g.reporter(sentAt), Spent: want}, askTimeout)
		if err == nil {
			return g.applyAnswer(r, settled.Balances, sentAt), to.id
		}
	}
	s.Unanswered(r)
	return s.SpendDisconnected(r, time.Now()), g.Config.ID
}

// applyAnswer applies a ledger's answer. A ledger that does not know the quota has an older
// configuration.
func (g *Gatekeeper) applyAnswer(r limiter.Request, balances []limiter.Balance, sentAt time.Time) limiter.Decision {
	s := &g.quotas.spender
	now := time.Now()
	if len(balances) != 1 {
		s.Unanswered(r)
		return s.SpendDisconnected(r, now)
	}
	return s.Answered(r, balances[0], sentAt, now)
}

// maxLimitsLogged bounds the log lines for quotas changed by one configuration. The first
// configuration changes those of all accounts, and would crowd out other lines of its kind.
const maxLimitsLogged = 8

// logLimits logs the number of accounts in a configuration, and some of the quotas that it changes.
func (g *Gatekeeper) logLimits(old, current *matcher.Catalog) {
	changed := 0
	for a := range current.Accounts.All() {
		if old != nil && old.Accounts != nil {
			if before, ok := old.Accounts.Named(a.Name); ok && before.Limit == a.Limit {
				continue
			}
		}
		changed++
		if changed <= maxLimitsLogged {
			g.Recorder.Log(recorder.Config, "msg", "quota", "version", current.Version, "account", a.Name, "rate", a.Limit.Rate, "burst", a.Limit.Burst, "plain", a.Limit.DefaultCost)
		}
	}
	g.Recorder.Log(recorder.Config, "msg", "accounts", "version", current.Version, "accounts", current.Accounts.Len(), "changed", changed)
}

// refuseQuota returns the refusal of a request that exceeds its account's quota, as the instance
// that decided knew it.
func refuseQuota(r limiter.Request, d limiter.QuotaExceeded, by string) *judge.Error {
	reserved := ""
	if d.Reserved > 0 {
		reserved = fmt.Sprintf(", with %d reserved for other urgencies than %d", d.Reserved, r.Urgency)
	}
	return judge.Refuse(judge.ReasonQuota, "account %s asks for %d tokens and has %d left%s, as %s knew %s ago",
		r.Account, r.Tokens, d.Left, reserved, by, d.Age.Round(time.Millisecond)).WithRetryAfter(d.RetryAfter)
}
