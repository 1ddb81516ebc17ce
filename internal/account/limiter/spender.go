package limiter

import (
	"sync"
	"time"
)

const (
	// balanceTTL is how long a balance holds. Spenders settle several times in it.
	balanceTTL = 700 * time.Millisecond
	// evenShare is the part of a limit that is split evenly, so that an instance that has
	// spent nothing lately has a share too. In a cut both sides have this part, so it is
	// half of what a quota may be exceeded by.
	evenShare = 0.05
	// disconnectedLimit is how long an instance that reaches no Ledger goes on with its share, and
	// a Ledger keeps that back. It outlasts a cut; what is gone for good costs no longer.
	disconnectedLimit = 30 * time.Second
	// idleAfter is how long an account is settled after its last use: its share is
	// nothing by then.
	idleAfter = 6 * meterTimeConstant
	// unknownWait is when a caller may come back who was refused as nothing is known: a
	// Ledger that is gone has a successor soon.
	unknownWait = 500 * time.Millisecond
)

// A Spender admits the requests of one instance. Its fields are set before use; it is safe
// for concurrent use.
type Spender struct {
	Instances func() int // how many there are

	mu       sync.Mutex
	accounts map[string]*accountState
}

// A spending is what one instance has spent of an account's quota.
type accountState struct {
	spent    int64 // tokens, less those that were given back
	pending  int64 // tokens of requests for which a Ledger is asked
	seq      int64 // of the last update
	lastUsed time.Time
	usage    meter
	queue    retryQueue

	balance     Balance   // the last one
	balanceAt   time.Time // when it came; zero for never
	requestedAt time.Time // when it was asked for
	othersRate  float64   // tokens a second that others spent then
	share       float64   // of the limit, as of then

	disconnected   bucket // what is left while no Ledger is reached
	isDisconnected bool
}

// A Decision says whether a request is admitted.
//
//sumtype:decl
type Decision interface{ decision() }

type (
	// Admitted says that it is, and that its tokens are counted.
	Admitted struct{}

	// Ask says that a Ledger is to be asked.
	Ask struct{}

	// Unknown says that it is not, as nothing is known of the quota, or not any more.
	Unknown struct {
		Wait time.Duration // until it may be tried again
	}

	// Over says that it is not, as the quota is spent.
	Over struct {
		Left int64         // tokens of the quota
		Age  time.Duration // of that figure
		Soon time.Duration // until its tokens have come
		Wait time.Duration // until its caller may come back
	}
)

func (Admitted) decision() {}
func (Ask) decision()      {}
func (Over) decision()     {}
func (Unknown) decision()  {}

// A Request is for tokens of an account's quota.
type Request struct {
	Account string
	Limit   Limit
	Tokens  int64
	Urgency int // 0 is the most urgent
}

// Spend admits a request by what this instance knows, or says that a Ledger is to be asked.
func (s *Spender) Spend(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	a.lastUsed = now
	if a.balanceAt.IsZero() || now.Sub(a.balanceAt) > balanceTTL {
		return Ask{}
	}
	left := a.left(r.Limit, now)
	if !fits(r.Tokens, left, r.Limit) {
		return a.refuse(r, left, s.minShare(), now)
	}
	if float64(r.Tokens) > a.allowance(r.Limit, now) {
		return Ask{}
	}
	a.record(r.Tokens, now)
	return Admitted{}
}

// Settled takes in a balance that was asked for at a time.
func (s *Spender) Settled(b Balance, limit Limit, requestedAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(b.Account).applyBalance(b, limit, requestedAt, now, s.minShare())
}

// Answered takes in the balance by which a Ledger answers a request that asked for it, and
// decides on that.
func (s *Spender) Answered(r Request, b Balance, requestedAt, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	a.pending -= r.Tokens
	if b.Granted {
		a.record(r.Tokens, now)
	}
	a.applyBalance(b, r.Limit, requestedAt, now, s.minShare())
	if b.Granted {
		return Admitted{}
	}
	return a.refuse(r, float64(b.Left), s.minShare(), now)
}

// Unanswered takes in that a Ledger which was asked for a request has not answered.
func (s *Spender) Unanswered(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(r.Account).pending -= r.Tokens
}

// SpendAlone decides on a request while no Ledger answers.
func (s *Spender) SpendAlone(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	if a.balanceAt.IsZero() || now.Sub(a.balanceAt) > disconnectedLimit {
		return Unknown{Wait: unknownWait}
	}
	if !a.isDisconnected {
		a.disconnect()
	}
	// It may save up for a request that is larger than its share of the burst.
	a.disconnected.fill(a.share*r.Limit.Rate, max(a.share*r.Limit.Burst, float64(r.Tokens)), now)
	if a.disconnected.level < float64(r.Tokens) {
		return a.refuse(r, a.disconnected.level, s.minShare(), now)
	}
	a.disconnected.level -= float64(r.Tokens)
	a.record(r.Tokens, now)
	return Admitted{}
}

// Return gives the tokens of a request back that has not run.
func (s *Spender) Return(account string, tokens int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	a.record(-tokens, now)
	if a.isDisconnected {
		a.disconnected.level += float64(tokens)
	}
}

// Report returns what is to be settled.
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

// Want returns what a Ledger is to be asked for a request. Until it has answered, or is known
// not to, the request counts in what else is settled: asks at the same time would all be
// granted the same tokens.
func (s *Spender) Want(r Request) Spent {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Account)
	want := a.update(r.Account)
	want.Want = r.Tokens
	a.pending += r.Tokens
	return want
}

func (s *Spender) account(name string) *accountState {
	a, ok := s.accounts[name]
	if !ok {
		if s.accounts == nil {
			s.accounts = make(map[string]*accountState)
		}
		a = &accountState{}
		s.accounts[name] = a
	}
	return a
}

// minShare returns the share that any instance has.
func (s *Spender) minShare() float64 { return evenShare / float64(max(1, s.Instances())) }

func (a *accountState) record(tokens int64, now time.Time) {
	a.spent += tokens
	a.usage.add(float64(tokens), now)
	a.lastUsed = now
}

// applyBalance takes in a balance. One that was asked for earlier than the last one is older.
func (a *accountState) applyBalance(b Balance, l Limit, requestedAt, now time.Time, minShare float64) {
	if requestedAt.Before(a.requestedAt) {
		return
	}
	usage := a.usage.value(now)
	a.balance, a.balanceAt, a.requestedAt, a.isDisconnected = b, now, requestedAt, false
	a.othersRate = max(0, float64(b.Use)-usage)
	a.share = minShare + shareOf(usage, float64(b.Use), l)
}

// update returns what is to be settled of the account.
func (a *accountState) update(account string) Spent {
	a.seq++
	return Spent{Account: account, Counter: a.spent + a.pending, Recent: int64(a.unsettled()), Seq: a.seq}
}

// unsettled returns what was spent, or may be, that the last balance does not count.
func (a *accountState) unsettled() float64 { return float64(a.spent + a.pending - a.balance.Counted) }

// left returns what is left of the quota. Others go on to spend as they did.
func (a *accountState) left(l Limit, now time.Time) float64 {
	age := now.Sub(a.balanceAt).Seconds()
	return min(l.Burst, float64(a.balance.Left)+(l.Rate-a.othersRate)*age) - a.unsettled()
}

// allowance returns what this instance may spend of it without asking. The parts of all
// instances add up to what is left, so callers may turn to any of them at once.
func (a *accountState) allowance(l Limit, now time.Time) float64 {
	age := now.Sub(a.balanceAt).Seconds()
	return a.share*min(l.Burst, max(0, float64(a.balance.Left))+l.Rate*age) - a.unsettled()
}

// disconnect leaves the instance its share of what was left when it reached a Ledger last.
func (a *accountState) disconnect() {
	a.isDisconnected = true
	a.disconnected = bucket{level: a.share*max(0, float64(a.balance.Left)) - a.unsettled(), at: a.balanceAt}
}
