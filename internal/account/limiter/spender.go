package limiter

import (
	"slices"
	"sync"
	"time"
)

const (
	// balanceTTL is how long a Spender relies on a balance. It settles several times in this time.
	balanceTTL = 700 * time.Millisecond
	// evenShare is the fraction of a limit that is split evenly, so that an instance that has
	// spent nothing lately has a share too. In a partition both sides have this fraction,
	// so it is half of the fraction by which a quota may be exceeded.
	evenShare = 0.05
	// maxDisconnected is how long an instance that reaches no Ledger spends its share, and how
	// long a Ledger reserves it. It outlasts a partition; after it nothing is reserved for an
	// instance that does not return.
	maxDisconnected = 30 * time.Second
	// idleAfter is how long an account is still reported after its last use: its share has
	// decayed to nothing by then.
	idleAfter = 6 * meterTimeConstant
	// unknownWait is the retry time of a caller that was refused because no balance is known: a
	// Ledger that is gone has a successor soon.
	unknownWait = 500 * time.Millisecond
)

// A Spender admits the requests of one instance. Its fields are set before use; it is safe
// for concurrent use.
type Spender struct {
	ByUrgency bool       // while an account exceeds its rate, urgent requests are admitted first
	Instances func() int // returns the number of instances

	mu       sync.Mutex
	accounts map[string]*accountState
}

// An accountState is one instance's state of an account's quota.
type accountState struct {
	spent    int64 // tokens, less those returned
	pending  int64 // tokens of requests for which a Ledger has been asked
	seq      int64 // sequence number of the last update
	lastUsed time.Time
	usage    meter
	queue    retryQueue    // unless requests are admitted by urgency
	urgency  *urgencyState // nil: requests are not admitted by urgency

	balance     Balance   // the latest
	balanceAt   time.Time // when it arrived; zero: there is none
	requestedAt time.Time // when it was requested
	othersRate  float64   // use by all other instances at that time, in tokens a second
	share       float64   // fraction of the limit, as of that time

	disconnected   bucket // tokens left while no Ledger can be reached
	isDisconnected bool
}

// A Decision says whether a request is admitted.
//
//sumtype:decl
type Decision interface{ decision() }

type (
	// Admitted means that the request is admitted and its tokens are counted.
	Admitted struct{}

	// AskLedger means that a Ledger must be asked.
	AskLedger struct{}

	// BalanceUnknown means that the request is refused because no current balance is known.
	BalanceUnknown struct {
		RetryAfter time.Duration // until the caller may retry
	}

	// QuotaExceeded means that the request is refused because the quota is spent.
	QuotaExceeded struct {
		Left        int64         // tokens left of the quota
		Age         time.Duration // of Left
		AvailableIn time.Duration // until its tokens are available
		RetryAfter  time.Duration // until the caller should retry; bounded
		Reserved    int64         // tokens of Left that are reserved for other urgencies
		ByReserve   bool          // the request is refused only because of Reserved
	}
)

func (Admitted) decision()       {}
func (AskLedger) decision()      {}
func (QuotaExceeded) decision()  {}
func (BalanceUnknown) decision() {}

// A Request asks for tokens of an account's quota.
type Request struct {
	Account  string
	Limit    Limit
	Tokens   int64
	Urgency  int  // 0 is the most urgent
	Repeated bool // it was decided on before, while the same caller waits
}

// Spend decides on a request by the latest balance, unless a Ledger must decide.
func (s *Spender) Spend(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	a.lastUsed = now
	if a.urgency != nil {
		a.urgency.ask(r, now)
	}
	if a.balanceAt.IsZero() || now.Sub(a.balanceAt) > balanceTTL {
		return AskLedger{}
	}
	left, reserved := a.left(r.Limit, now), a.reserved(r)
	if !fits(r.Tokens, left, r.Limit) || !fitsReserve(r.Tokens, left, reserved, r.Limit) {
		return a.refuse(r, left, s.minShare(), now)
	}
	if float64(r.Tokens) > a.allowance(r.Limit, reserved, now) {
		return AskLedger{}
	}
	a.admit(r, now)
	return Admitted{}
}

// ApplyBalance applies a balance that was requested at requestedAt.
func (s *Spender) ApplyBalance(b Balance, limit Limit, requestedAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(b.Account).applyBalance(b, limit, requestedAt, now, s.minShare())
}

// Answered applies the balance that a Ledger returned for a request and decides on the
// request.
func (s *Spender) Answered(r Request, b Balance, requestedAt, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	a.addPending(r, -r.Tokens)
	if b.Granted {
		a.admit(r, now)
	}
	a.applyBalance(b, r.Limit, requestedAt, now, s.minShare())
	if b.Granted {
		return Admitted{}
	}
	return a.refuse(r, float64(b.Left), s.minShare(), now)
}

// Unanswered records that a Ledger did not reply about a request.
func (s *Spender) Unanswered(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(r.Account).addPending(r, -r.Tokens)
}

// SpendDisconnected decides on a request while no Ledger can be reached.
func (s *Spender) SpendDisconnected(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	if a.balanceAt.IsZero() || now.Sub(a.balanceAt) > maxDisconnected {
		return BalanceUnknown{RetryAfter: unknownWait}
	}
	if !a.isDisconnected {
		a.disconnect()
	}
	// The bucket may fill up to a request that is larger than the share of the burst.
	a.disconnected.fill(a.share*r.Limit.Rate, max(a.share*r.Limit.Burst, float64(r.Tokens)), now)
	if a.disconnected.level < float64(r.Tokens) || !a.fitsOwnReserve(r, now) {
		return a.refuse(r, a.disconnected.level, s.minShare(), now)
	}
	a.disconnected.level -= float64(r.Tokens)
	a.admit(r, now)
	return Admitted{}
}

// Refund returns the tokens of a request that has not run.
func (s *Spender) Refund(account string, tokens int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	a.record(-tokens, now)
	if a.isDisconnected {
		a.disconnected.level += float64(tokens)
	}
}

// Report returns the accounts to settle.
func (s *Spender) Report(now time.Time) []Spent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var report []Spent
	for name, a := range s.accounts {
		if now.Sub(a.lastUsed) <= idleAfter {
			report = append(report, a.update(name))
		}
	}
	return report
}

// Want returns the report that asks a Ledger for the tokens of a request. Until Answered or
// Unanswered is called, the request counts in other reports too: otherwise concurrent
// requests would all be granted the same tokens.
func (s *Spender) Want(r Request) Spent {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	want := a.update(r.Account)
	want.Want = r.Tokens
	if a.urgency != nil {
		want.Level = a.urgency.level(r)
	}
	a.addPending(r, r.Tokens)
	return want
}

func (s *Spender) account(name string) *accountState {
	a, ok := s.accounts[name]
	if !ok {
		if s.accounts == nil {
			s.accounts = make(map[string]*accountState)
		}
		a = &accountState{}
		if s.ByUrgency {
			a.urgency = &urgencyState{}
		}
		s.accounts[name] = a
	}
	return a
}

// TakeReturns returns the counts of returns since the last call.
func (s *Spender) TakeReturns(now time.Time) (counts ReturnCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if a.urgency != nil && a.urgency.returns != nil {
			a.urgency.returns.advance(now)
			counts.Add(a.urgency.returns.counts)
			a.urgency.returns.counts = ReturnCounts{}
		}
	}
	return counts
}

// minShare returns the share that every instance has.
func (s *Spender) minShare() float64 { return evenShare / float64(max(1, s.Instances())) }

// addPending adds tokens of a request for which a Ledger is asked, or removes them.
func (a *accountState) addPending(r Request, tokens int64) {
	a.pending += tokens
	if a.urgency != nil {
		a.urgency.pending[Level(r.Urgency)] += tokens
	}
}

// admit counts a request that is admitted.
func (a *accountState) admit(r Request, now time.Time) {
	a.record(r.Tokens, now)
	if a.urgency != nil {
		a.urgency.admitted(r)
	}
}

func (a *accountState) record(tokens int64, now time.Time) {
	a.spent += tokens
	a.usage.add(float64(tokens), now)
	a.lastUsed = now
}

// applyBalance applies a balance, unless it was requested before the latest one.
func (a *accountState) applyBalance(b Balance, l Limit, requestedAt, now time.Time, minShare float64) {
	if requestedAt.Before(a.requestedAt) {
		return
	}
	usage := a.usage.value(now)
	a.balance, a.balanceAt, a.requestedAt, a.isDisconnected = b, now, requestedAt, false
	a.othersRate = max(0, float64(b.Usage)-usage)
	a.share = minShare + shareOf(usage, float64(b.Usage), l)
	if a.urgency != nil {
		a.urgency.setDemand(demandOf(b.Demand), l, now)
	}
}

// update returns the report of the account.
func (a *accountState) update(account string) Spent {
	a.seq++
	spent := Spent{Account: account, Counter: a.spent + a.pending, Recent: int64(a.unsettled()), Seq: a.seq}
	if a.urgency != nil {
		spent.Asked = slices.Clone(a.urgency.asked[:])
	}
	return spent
}

// unsettled returns the tokens, spent or pending, that the latest balance does not include.
func (a *accountState) unsettled() float64 { return float64(a.spent + a.pending - a.balance.Counted) }

// left returns the tokens left of the quota, if the others spend at the same rate as before.
func (a *accountState) left(l Limit, now time.Time) float64 {
	age := now.Sub(a.balanceAt).Seconds()
	return min(l.Burst, float64(a.balance.Left)+(l.Rate-a.othersRate)*age) - a.unsettled()
}

// allowance returns the tokens that this instance may spend without asking. The allowances of
// all instances add up to the tokens left less those reserved, so callers may send to any of
// them at once.
func (a *accountState) allowance(l Limit, reserved float64, now time.Time) float64 {
	age := now.Sub(a.balanceAt).Seconds()
	return a.share*min(l.Burst, max(0, float64(a.balance.Left)-reserved)+l.Rate*age) - a.unsettled()
}

// disconnect leaves the instance its share of the tokens left at the latest balance.
func (a *accountState) disconnect() {
	a.isDisconnected = true
	a.disconnected = bucket{level: a.share*max(0, float64(a.balance.Left)) - a.unsettled(), at: a.balanceAt}
}

// fitsOwnReserve reports whether a request leaves its share of the tokens that are reserved for
// other urgencies, while no Ledger can be reached.
func (a *accountState) fitsOwnReserve(r Request, now time.Time) bool {
	if a.urgency == nil {
		return true
	}
	if now.Sub(a.balanceAt) > balanceTTL {
		a.urgency.estimate(a.share, r.Limit, now)
	}
	own := Limit{Rate: a.share * r.Limit.Rate, Burst: max(a.share*r.Limit.Burst, float64(r.Tokens))}
	return fitsReserve(r.Tokens, a.disconnected.level, a.share*a.urgency.reserved(r), own)
}

// reserved returns the tokens that a request must leave to other urgencies.
func (a *accountState) reserved(r Request) float64 {
	if a.urgency == nil {
		return 0
	}
	return a.urgency.reserved(r)
}
