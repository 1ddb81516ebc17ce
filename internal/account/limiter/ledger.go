package limiter

import (
	"slices"
	"sync"
	"time"
)

// unresponsiveAfter is the time since its last update after which a reporter is assumed to
// spend its share without a Ledger. It is longer than balanceTTL, for which a Spender relies
// on a balance.
const unresponsiveAfter = balanceTTL + 300*time.Millisecond

// A Ledger sums up the tokens that all instances spend. Its fields are set before use; it is
// safe for concurrent use.
type Ledger struct {
	InitialTokens func(l Limit) float64 // tokens of an account that are left at Begin; nil for none
	Limits        func(account string) (Limit, bool)
	Others        func() int    // returns the number of Ledgers of other failure domains; nil for none
	Window        time.Duration // over which quotas are enforced; overspending is forgotten after it

	mu           sync.Mutex
	startedAt    time.Time // zero: the ledger settles nothing
	adopted      bool      // it has balances from before it began
	met          int       // largest number of other Ledgers that have reported at the same time
	accounts     map[string]*tally
	reporters    map[string]*reporter // by instance
	leaders      []string             // reporters that are Ledgers themselves
	unresponsive []*reporter
	lastSweep    time.Time
}

// A reporter is an instance that reports to this Ledger.
type reporter struct {
	Reporter
	lastSeen time.Time
}

// A tally is the state of one account's quota.
type tally struct {
	bucket               // tokens left
	domainSpent  float64 // tokens spent by reporters of this Ledger alone, that is, by Spenders
	lastReported int64   // domainSpent as of the last report
	seq          int64   // sequence number of the last report
	refundDue    float64 // tokens to refund with the next update of another Ledger
	lastSettled  time.Time
	usage        meter
	demand       accountDemand
	entries      map[string]*entry // by instance
}

// An entry is the state of one reporter of an account.
type entry struct {
	counted   int64 // the reporter's counter as far as it is deducted from the level
	seq       int64 // highest sequence number of its updates
	usage     meter
	demand    *reportedDemand // nil: none is reported
	share     float64         // fraction of the quota that it may spend while it is unresponsive
	remaining float64         // tokens left to the account at its last update
	reserved  float64         // tokens reserved for it since then
	asOf      time.Time       // time up to which tokens are reserved
}

// sweepInterval is the minimum time between two checks for unresponsive reporters.
const sweepInterval = 100 * time.Millisecond

// Begin starts the Ledger without balances. Next to nothing is left of any quota then:
// instances that settled with another Ledger before may have spent it.
func (l *Ledger) Begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt, l.adopted, l.met = now, false, 0
	l.accounts = make(map[string]*tally)
	l.reporters = make(map[string]*reporter)
	l.leaders, l.unresponsive = nil, nil
}

// End stops the Ledger and drops its state.
func (l *Ledger) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt = time.Time{}
	l.accounts, l.reporters, l.leaders, l.unresponsive = nil, nil, nil, nil
}

// StartedAt returns when the Ledger started; ok is false if it is not running.
func (l *Ledger) StartedAt() (since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedAt, !l.startedAt.IsZero()
}

// Adopt applies the balances of a Ledger that has run for age. Accounts without a balance
// there have spent nothing. Without Adopt, accounts would have next to nothing left right
// after a change of leader.
func (l *Ledger) Adopt(balances []Balance, age time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() || l.adopted || age < l.Window || now.Sub(l.startedAt) > l.Window {
		return
	}
	l.adopted = true
	for _, b := range balances {
		if limit, ok := l.Limits(b.Account); ok && limit.Limited() {
			l.tally(b.Account, limit, now).level = float64(b.Left)
		}
	}
}

// Settle applies the report of an instance and returns the balances of the reported
// accounts; ok is false if this Ledger is not running. A reporting Ledger that has just
// begun gets the balances of all accounts.
func (l *Ledger) Settle(from Reporter, spent []Spent, now time.Time) (balances []Balance, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() {
		return nil, false
	}
	l.observe(from, now)
	l.sweep(now)
	balances = make([]Balance, 0, len(spent))
	for _, s := range spent {
		if limit, ok := l.Limits(s.Account); ok && limit.Limited() {
			balances = append(balances, l.settle(from, s, limit, now))
		}
	}
	if from.isLedger() && from.Age < l.Window {
		balances = l.addOthers(balances, now)
	}
	return balances, true
}

// addOthers adds the balances of the accounts that are not listed yet.
func (l *Ledger) addOthers(balances []Balance, now time.Time) []Balance {
	listed := make(map[string]bool, len(balances))
	for _, b := range balances {
		listed[b.Account] = true
	}
	for name := range l.accounts {
		limit, ok := l.Limits(name)
		if !ok || !limit.Limited() || listed[name] {
			continue
		}
		t := l.tally(name, limit, now)
		l.reserve(t, limit, now)
		balances = append(balances, Balance{Account: name, Left: int64(l.left(t, now)), Usage: int64(t.usage.value(now))})
	}
	return balances
}

func (l *Ledger) settle(from Reporter, s Spent, limit Limit, now time.Time) Balance {
	t := l.tally(s.Account, limit, now)
	t.lastSettled = now
	limit.Burst = l.reserve(t, limit, now)
	e := l.entry(t, from, s, now)
	t.release(e, from)
	if s.Seq >= e.seq {
		e.seq = s.Seq
		if len(s.Asked) > 0 {
			t.demand.apply(e, from, s.Asked, now)
		}
		t.record(e, from, s.Counter-e.counted, now)
	} else {
		t.record(e, from, -s.Want, now) // a later update arrived first, and its counter contains this request
	}
	t.level = max(t.level, -limit.Rate*l.Window.Seconds())
	left := l.left(t, now)
	demand := t.demand.total(limit, now)
	granted := s.Want > 0 && fits(s.Want, left, limit) && fitsReserve(s.Want, left, demand.reserve(s.level(), limit), limit)
	if granted {
		t.record(e, from, s.Want, now)
		left -= float64(s.Want)
	}
	e.share = shareOf(e.usage.value(now), t.usage.value(now), limit)
	e.remaining = max(0, left)
	b := Balance{Account: s.Account, Counted: e.counted, Granted: granted, Left: int64(left), Usage: int64(t.usage.value(now))}
	if len(s.Asked) > 0 && !from.isLedger() {
		b.Demand = demand.stated(limit)
	}
	return b
}

// left returns the tokens left of a quota. It assumes that other Ledgers have admitted at the
// same rate since their last update: otherwise each Ledger would admit all that is left.
func (l *Ledger) left(t *tally, now time.Time) float64 {
	left := t.level
	for _, instance := range l.leaders {
		if e, ok := t.entries[instance]; ok {
			left -= e.usage.value(now) * now.Sub(e.asOf).Seconds()
		}
	}
	return left
}

// Remove removes an instance that reports to another Ledger from now on.
func (l *Ledger) Remove(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(instance)
}

// Report returns the tokens spent by the Spenders that report to this Ledger alone, to be
// settled with the other Ledgers.
func (l *Ledger) Report(now time.Time) []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []Spent
	for name, t := range l.accounts {
		if now.Sub(t.lastSettled) <= idleAfter {
			counter := int64(t.domainSpent)
			t.seq++
			spent := Spent{Account: name, Counter: counter, Recent: counter - t.lastReported, Seq: t.seq}
			if t.demand.asked != [urgencyLevels]int64{} {
				spent.Asked = slices.Clone(t.demand.asked[:])
			}
			report = append(report, spent)
			t.lastReported = counter
		}
	}
	return report
}

// tally returns the state of an account. A new one starts with the initial level and the
// tokens that have accrued since the Ledger began.
func (l *Ledger) tally(account string, limit Limit, now time.Time) *tally {
	t, ok := l.accounts[account]
	if !ok {
		t = &tally{lastSettled: now, bucket: bucket{level: l.initialLevel(limit), at: l.emptyAt()}, entries: make(map[string]*entry)}
		l.accounts[account] = t
	}
	t.fill(l.accrualShare(now)*limit.Rate, limit.Burst, now)
	return t
}

// accrualShare returns the fraction of the tokens of a quota that accrue here. A Ledger that began
// without balances has no share reserved for other Ledgers that have not reported to it yet: if
// each of them took all tokens, the quota would be spent once for each part of a partition.
func (l *Ledger) accrualShare(now time.Time) float64 {
	if l.Others == nil || l.adopted || now.Sub(l.startedAt) > maxDisconnected {
		return 1
	}
	others := l.Others()
	return float64(1+min(l.met, others)) / float64(1+others)
}

// emptyAt returns the time from which tokens accrue for an account that has no balance yet.
// After Adopt such an account is full, as it has spent nothing for a window.
func (l *Ledger) emptyAt() time.Time {
	if l.adopted {
		return l.startedAt.Add(-l.Window)
	}
	return l.startedAt
}

func (l *Ledger) initialLevel(limit Limit) float64 {
	if l.InitialTokens == nil {
		return 0
	}
	return l.InitialTokens(limit)
}

// entry returns the entry of a reporter. For a new reporter only its recent tokens are
// counted, or all tokens of a Ledger that began after this one: earlier spending is already
// part of the level.
func (l *Ledger) entry(t *tally, from Reporter, s Spent, now time.Time) *entry {
	e, ok := t.entries[from.Instance]
	if !ok {
		e = &entry{counted: s.Counter - s.Recent}
		if from.isLedger() && from.Age <= now.Sub(l.startedAt) {
			e.counted = 0
		}
		t.entries[from.Instance] = e
	}
	e.asOf = now
	return e
}

func (t *tally) record(e *entry, from Reporter, tokens int64, now time.Time) {
	e.counted += tokens
	e.usage.add(float64(tokens), now)
	t.deduct(from, float64(tokens), now)
}

func (t *tally) deduct(by Reporter, tokens float64, now time.Time) {
	t.level -= tokens
	t.usage.add(tokens, now)
	if !by.isLedger() {
		t.domainSpent += tokens
	}
}

// release refunds the tokens that were reserved for a reporter while it was unresponsive: its
// update states what it has spent.
func (t *tally) release(e *entry, from Reporter) {
	t.level += e.reserved
	if !from.isLedger() {
		t.domainSpent -= e.reserved
	}
	e.reserved = 0
	if from.isLedger() {
		t.level += t.refundDue
		t.refundDue = 0
	}
}

// reserve reserves the tokens that unresponsive reporters may spend, and returns the burst
// left to the others. Without it both sides of a partition would spend the full quota.
func (l *Ledger) reserve(t *tally, limit Limit, now time.Time) (burst float64) {
	rest := 1.0
	for _, r := range l.unresponsive {
		e, ok := t.entries[r.Instance]
		if !ok {
			continue
		}
		t.demand.forget(e)
		tokens := e.share * (e.remaining + limit.Rate*now.Sub(e.asOf).Seconds())
		e.remaining, e.asOf = 0, now
		e.reserved += tokens
		t.deduct(r.Reporter, tokens, now)
		rest -= e.share
	}
	burst = max(0, rest) * limit.Burst
	t.level = min(t.level, burst)
	return burst
}

// observe records that a reporter is alive.
func (l *Ledger) observe(from Reporter, now time.Time) {
	known, ok := l.reporters[from.Instance]
	if ok && (known.Incarnation != from.Incarnation || known.isLedger() != from.isLedger()) {
		l.drop(from.Instance)
		ok = false
	}
	if !ok {
		l.replaceLedger(from)
		known = &reporter{}
		l.reporters[from.Instance] = known
		if from.isLedger() {
			l.leaders = append(l.leaders, from.Instance)
			l.met = max(l.met, len(l.leaders))
		}
	}
	known.Reporter, known.lastSeen = from, now
}

// replaceLedger removes the previous Ledger of a failure domain. The reporters of that Ledger
// settle with its successor, which reports what they have spent since it began.
func (l *Ledger) replaceLedger(successor Reporter) {
	if !successor.isLedger() {
		return
	}
	for instance, r := range l.reporters {
		if r.Domain == successor.Domain {
			l.refund(r, successor.Age)
			l.drop(instance)
		}
	}
}

// refund schedules a refund of the tokens that were reserved for an unresponsive Ledger during
// the time that its successor reports on. Otherwise these tokens would count as spent twice.
func (l *Ledger) refund(r *reporter, reported time.Duration) {
	for name, t := range l.accounts {
		e, ok := t.entries[r.Instance]
		limit, limited := l.Limits(name)
		if !ok || !limited {
			continue
		}
		t.refundDue += min(e.reserved, e.share*limit.Rate*reported.Seconds())
	}
}

func (l *Ledger) drop(instance string) {
	delete(l.reporters, instance)
	for _, t := range l.accounts {
		if e, ok := t.entries[instance]; ok {
			t.demand.forget(e)
			delete(t.entries, instance)
		}
	}
	l.leaders = slices.DeleteFunc(l.leaders, func(other string) bool { return other == instance })
	l.unresponsive = slices.DeleteFunc(l.unresponsive, func(r *reporter) bool { return r.Instance == instance })
}

// sweep lists the unresponsive reporters and removes those that sent no update for longer
// than maxDisconnected.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	l.unresponsive = l.unresponsive[:0]
	for instance, r := range l.reporters {
		switch sinceUpdate := now.Sub(r.lastSeen); {
		case sinceUpdate > maxDisconnected:
			l.drop(instance)
		case sinceUpdate > unresponsiveAfter:
			l.unresponsive = append(l.unresponsive, r)
		}
	}
}
