package limiter

import (
	"slices"
	"sync"
	"time"
)

// unresponsiveAfter is the time after its last update from which on a party that still had a share
// is taken to go on without a Ledger. It is longer than a Spender trusts a balance.
const unresponsiveAfter = balanceTTL + 300*time.Millisecond

// A Ledger sums up what all instances spend. Its fields are set before use; it is safe for
// concurrent use.
type Ledger struct {
	First  func(l Limit) float64 // tokens that are left when it begins; nil for none
	Limits func(account string) (Limit, bool)
	Window time.Duration // over which quotas are judged: what was spent too much is forgotten after it

	mu           sync.Mutex
	startedAt    time.Time // when it began; zero: it settles nothing
	adopted      bool      // it knows what was spent before it began
	accounts     map[string]*tally
	reporters    map[string]*reporter // by instance
	leaders      []string             // instances that keep other Ledgers
	unresponsive []*reporter
	lastSweep    time.Time
}

// A party is who settles here.
type reporter struct {
	Party
	lastSeen time.Time
}

// A tally is what was spent of one account's quota.
type tally struct {
	bucket                 // what is left
	domainSpent  float64   // tokens that parties spent which settle with no other Ledger
	lastReported int64     // those of them in the last report
	seq          int64     // of the last report
	refundDue    float64   // tokens to be given back with the next update of another Ledger
	lastSettled  time.Time // last
	usage        meter
	entries      map[string]*entry // by instance
}

// An entry is what one party has spent of it.
type entry struct {
	counted   int64
	seq       int64 // of the latest update
	usage     meter
	share     float64   // of the limit and of what is left, which it goes on to spend if it is silent
	remaining float64   // tokens that were left at its last update
	reserved  float64   // tokens that are kept back for it since then
	asOf      time.Time // up to when
}

// sweepInterval is how often it is looked who is silent.
const sweepInterval = 100 * time.Millisecond

// Begin begins with nothing known. Next to nothing is left of any quota then: those who
// settled with another Ledger before may have spent it.
func (l *Ledger) Begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt, l.adopted = now, false
	l.accounts = make(map[string]*tally)
	l.reporters = make(map[string]*reporter)
	l.leaders, l.unresponsive = nil, nil
}

// End forgets everything.
func (l *Ledger) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt = time.Time{}
	l.accounts, l.reporters, l.leaders, l.unresponsive = nil, nil, nil, nil
}

// Began returns since when it settles; ok is false if it does not.
func (l *Ledger) Began() (since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedAt, !l.startedAt.IsZero()
}

// Adopt takes in how accounts stand by a Ledger that is older by an age. What that one does
// not know of was not spent. Without it accounts would have next to nothing right after a
// change of leaders.
func (l *Ledger) Adopt(balances []Balance, age time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() || l.adopted || age < l.Window || now.Sub(l.startedAt) > l.Window {
		return
	}
	l.adopted = true
	for _, b := range balances {
		if limit, ok := l.Limits(b.Account); ok && limit.Bounds() {
			l.tally(b.Account, limit, now).level = float64(b.Left)
		}
	}
}

// Settle takes in what a party has spent, and returns how its accounts stand; ok is false
// if nothing is settled here. A Ledger that has just begun gets all accounts.
func (l *Ledger) Settle(from Party, spent []Spent, now time.Time) (balances []Balance, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() {
		return nil, false
	}
	l.observe(from, now)
	l.sweep(now)
	balances = make([]Balance, 0, len(spent))
	for _, s := range spent {
		if limit, ok := l.Limits(s.Account); ok && limit.Bounds() {
			balances = append(balances, l.settle(from, s, limit, now))
		}
	}
	if from.isLedger() && from.Age < l.Window {
		balances = l.addOthers(balances, now)
	}
	return balances, true
}

// addOthers adds how the accounts stand that are not among the balances.
func (l *Ledger) addOthers(balances []Balance, now time.Time) []Balance {
	listed := make(map[string]bool, len(balances))
	for _, b := range balances {
		listed[b.Account] = true
	}
	for name := range l.accounts {
		limit, ok := l.Limits(name)
		if !ok || !limit.Bounds() || listed[name] {
			continue
		}
		t := l.tally(name, limit, now)
		l.reserve(t, limit, now)
		balances = append(balances, Balance{Account: name, Left: int64(l.left(t, now)), Use: int64(t.usage.value(now))})
	}
	return balances
}

func (l *Ledger) settle(from Party, s Spent, limit Limit, now time.Time) Balance {
	t := l.tally(s.Account, limit, now)
	t.lastSettled = now
	limit.Burst = l.reserve(t, limit, now)
	e := l.entry(t, from, s, now)
	t.release(e, from)
	if s.Seq >= e.seq {
		e.seq = s.Seq
		t.record(e, from, s.Counter-e.counted, now)
	} else {
		t.record(e, from, -s.Want, now) // the counter of the update that overtook it contains this request
	}
	t.level = max(t.level, -limit.Rate*l.Window.Seconds())
	left := l.left(t, now)
	granted := s.Want > 0 && fits(s.Want, left, limit)
	if granted {
		t.record(e, from, s.Want, now)
		left -= float64(s.Want)
	}
	e.share = shareOf(e.usage.value(now), t.usage.value(now), limit)
	e.remaining = max(0, left)
	return Balance{Account: s.Account, Counted: e.counted, Granted: granted, Left: int64(left), Use: int64(t.usage.value(now))}
}

// left returns what is left of a quota. Other Ledgers have gone on to admit as they did since
// their last update: without that each of them admits what is left for all.
func (l *Ledger) left(t *tally, now time.Time) float64 {
	left := t.level
	for _, instance := range l.leaders {
		if e, ok := t.entries[instance]; ok {
			left -= e.usage.value(now) * now.Sub(e.asOf).Seconds()
		}
	}
	return left
}

// Part forgets an instance that settles with another Ledger from now on.
func (l *Ledger) Part(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(instance)
}

// Report returns what those have spent who settle with no other Ledger, to be settled with
// the others.
func (l *Ledger) Report(now time.Time) []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []Spent
	for name, t := range l.accounts {
		if now.Sub(t.lastSettled) <= idleAfter {
			counter := int64(t.domainSpent)
			t.seq++
			report = append(report, Spent{Account: name, Counter: counter, Recent: counter - t.lastReported, Seq: t.seq})
			t.lastReported = counter
		}
	}
	return report
}

// tally returns the sum of an account. What is left begins with what has come since the
// Ledger began.
func (l *Ledger) tally(account string, limit Limit, now time.Time) *tally {
	t, ok := l.accounts[account]
	if !ok {
		t = &tally{lastSettled: now, bucket: bucket{level: l.initialLevel(limit), at: l.emptyAt()}, entries: make(map[string]*entry)}
		l.accounts[account] = t
	}
	t.fill(limit.Rate, limit.Burst, now)
	return t
}

// emptyAt returns when next to nothing was left of a quota of which nothing was settled since.
func (l *Ledger) emptyAt() time.Time {
	if l.adopted {
		return l.startedAt.Add(-l.Window)
	}
	return l.startedAt
}

func (l *Ledger) initialLevel(limit Limit) float64 {
	if l.First == nil {
		return 0
	}
	return l.First(limit)
}

// entry returns the entry of a party. Of one that is new here only what is recent is, or what
// was spent since this Ledger began: the rest is in what is left.
func (l *Ledger) entry(t *tally, from Party, s Spent, now time.Time) *entry {
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

func (t *tally) record(e *entry, from Party, tokens int64, now time.Time) {
	e.counted += tokens
	e.usage.add(float64(tokens), now)
	t.deduct(from, float64(tokens), now)
}

func (t *tally) deduct(by Party, tokens float64, now time.Time) {
	t.level -= tokens
	t.usage.add(tokens, now)
	if !by.isLedger() {
		t.domainSpent += tokens
	}
}

// release gives back what was kept for a party while it was silent; it says now what it
// has spent.
func (t *tally) release(e *entry, from Party) {
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

// reserve keeps back what silent parties may spend, and returns the burst that the others
// have. Without it both sides of a cut would spend the whole quota.
func (l *Ledger) reserve(t *tally, limit Limit, now time.Time) (burst float64) {
	rest := 1.0
	for _, p := range l.unresponsive {
		e, ok := t.entries[p.Instance]
		if !ok {
			continue
		}
		tokens := e.share * (e.remaining + limit.Rate*now.Sub(e.asOf).Seconds())
		e.remaining, e.asOf = 0, now
		e.reserved += tokens
		t.deduct(p.Party, tokens, now)
		rest -= e.share
	}
	burst = max(0, rest) * limit.Burst
	t.level = min(t.level, burst)
	return burst
}

// observe takes in that a party lives.
func (l *Ledger) observe(from Party, now time.Time) {
	before, ok := l.reporters[from.Instance]
	if ok && (before.Born != from.Born || before.isLedger() != from.isLedger()) {
		l.drop(from.Instance)
		ok = false
	}
	if !ok {
		l.replaceLedger(from)
		before = &reporter{}
		l.reporters[from.Instance] = before
		if from.isLedger() {
			l.leaders = append(l.leaders, from.Instance)
		}
	}
	before.Party, before.lastSeen = from, now
}

// replaceLedger forgets the Ledger of a domain that another one follows. Its parties settle with
// that one, which reports what they have spent since it began.
func (l *Ledger) replaceLedger(successor Party) {
	if !successor.isLedger() {
		return
	}
	for instance, p := range l.reporters {
		if p.Domain == successor.Domain {
			l.refund(p, successor.Age)
			l.drop(instance)
		}
	}
}

// refund gives back, with the next update of a Ledger, what was kept for a silent one for a
// time that the next one reports on. Both were taken for spent otherwise.
func (l *Ledger) refund(p *reporter, reported time.Duration) {
	for name, t := range l.accounts {
		e, ok := t.entries[p.Instance]
		limit, bounds := l.Limits(name)
		if !ok || !bounds {
			continue
		}
		t.refundDue += min(e.reserved, e.share*limit.Rate*reported.Seconds())
	}
}

func (l *Ledger) drop(instance string) {
	delete(l.reporters, instance)
	for _, t := range l.accounts {
		delete(t.entries, instance)
	}
	l.leaders = slices.DeleteFunc(l.leaders, func(other string) bool { return other == instance })
	l.unresponsive = slices.DeleteFunc(l.unresponsive, func(p *reporter) bool { return p.Instance == instance })
}

// sweep looks who is silent, and forgets those that have been for too long.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	l.unresponsive = l.unresponsive[:0]
	for instance, p := range l.reporters {
		switch sinceUpdate := now.Sub(p.lastSeen); {
		case sinceUpdate > disconnectedLimit:
			l.drop(instance)
		case sinceUpdate > unresponsiveAfter:
			l.unresponsive = append(l.unresponsive, p)
		}
	}
}
