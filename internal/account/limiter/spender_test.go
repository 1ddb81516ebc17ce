package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func request(tokens int64) limiter.Request {
	return limiter.Request{Account: "a", Limit: limiter.Limit{Rate: 1000, Burst: 1000}, Tokens: tokens}
}

// newSpender returns a spender with a balance that is new at start.
func newSpender(left int64) *limiter.Spender {
	s := &limiter.Spender{Instances: func() int { return 1 }}
	s.ApplyBalance(limiter.Balance{Account: "a", Left: left}, request(0).Limit, start, start)
	return s
}

func ExampleSpender() {
	limit := limiter.Limit{Rate: 1000, Burst: 1000}
	ledger := limiter.Ledger{Limits: func(string) (limiter.Limit, bool) { return limit, true }, Window: 8 * time.Second}
	ledger.Begin(at(-time.Minute))
	spender := limiter.Spender{Instances: func() int { return 1 }}

	r := limiter.Request{Account: "mill", Limit: limit, Tokens: 700}
	for range 2 {
		if _, asks := spender.Spend(r, start).(limiter.AskLedger); !asks {
			continue
		}
		balances, _ := ledger.Settle(limiter.Reporter{Instance: "front-1"}, []limiter.Spent{spender.Want(r)}, start)
		fmt.Printf("%T, %d left\n", spender.Answered(r, balances[0], start, start), balances[0].Left)
	}
	fmt.Printf("%T\n", spender.Spend(r, start))
	// Output:
	// limiter.Admitted, 300 left
	// limiter.QuotaExceeded
}

func TestSpend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		left   int64
		tokens int64
		after  time.Duration
		want   limiter.Decision
	}{
		{"beyond its allowance", 1000, 600, 0, limiter.AskLedger{}},
		{"within its allowance", 1000, 10, 0, limiter.Admitted{}},
		{"more than the tokens left", 100, 200, 0, limiter.QuotaExceeded{Left: 100, AvailableIn: 100 * time.Millisecond, RetryAfter: 200 * time.Millisecond}},
		{"tokens available since the balance", 100, 200, 200 * time.Millisecond, limiter.AskLedger{}},
		{"larger than the burst, which is full", 1000, 3000, 0, limiter.AskLedger{}},
		{"larger than the burst, which is not full", 500, 3000, 0, limiter.QuotaExceeded{Left: 500, AvailableIn: 500 * time.Millisecond, RetryAfter: 500 * time.Millisecond}},
		{"outdated balance", 1000, 10, time.Second, limiter.AskLedger{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := newSpender(tc.left).Spend(request(tc.tokens), at(tc.after))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against an instance that has a quota of its own after a restart.
func TestSpenderWithoutBalanceAdmitsNothing(t *testing.T) {
	s := limiter.Spender{Instances: func() int { return 1 }}
	if _, unknown := s.SpendDisconnected(request(1), start).(limiter.BalanceUnknown); !unknown {
		t.Error("a spender without a balance admits a request")
	}
}

func TestDisconnectedSpenderHasItsShare(t *testing.T) {
	s := newSpender(1000)
	for range 40 { // this spender alone uses the account
		s.Want(request(20))
		s.Answered(request(20), limiter.Balance{Account: "a", Granted: true, Left: 1000}, start, start)
	}
	s.ApplyBalance(limiter.Balance{Account: "a", Counted: 800, Left: 1000, Usage: 400}, request(0).Limit, start, start)
	admitted := 0
	for now := start; now.Before(at(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if _, ok := s.SpendDisconnected(request(20), now).(limiter.Admitted); ok {
			admitted += 20
		}
	}
	if admitted < 9000 || admitted > 11000 {
		t.Errorf("%d tokens admitted in 10 s, of 1000 a second and a burst of 1000", admitted)
	}
	if _, unknown := s.SpendDisconnected(request(1), at(time.Minute)).(limiter.BalanceUnknown); !unknown {
		t.Error("a spender disconnected for a minute still decides by its share")
	}
}

// Guards against a request that has not run but costs its account tokens.
func TestReturnedTokensMayBeSpent(t *testing.T) {
	s := newSpender(1000)
	for range 1000 {
		if _, ok := s.Spend(request(40), start).(limiter.Admitted); !ok {
			t.Fatal("returned tokens are not available")
		}
		s.Refund("a", 40, start)
	}
	if diff := cmp.Diff([]limiter.Spent{{Account: "a", Seq: 1}}, s.Report(start)); diff != "" {
		t.Error(diff)
	}
}

func TestOutdatedBalanceIsIgnored(t *testing.T) {
	s := newSpender(1000)
	s.ApplyBalance(limiter.Balance{Account: "a", Left: 0}, request(0).Limit, at(20*time.Millisecond), at(30*time.Millisecond))
	s.ApplyBalance(limiter.Balance{Account: "a", Left: 1000}, request(0).Limit, at(10*time.Millisecond), at(40*time.Millisecond))
	if _, exceeded := s.Spend(request(500), at(40*time.Millisecond)).(limiter.QuotaExceeded); !exceeded {
		t.Error("the outdated balance is applied")
	}
}

// Guards against refused callers that all retry at the same time.
func TestRefusedCallersGetStaggeredWaits(t *testing.T) {
	s := newSpender(0)
	var waits []time.Duration
	for range 3 {
		waits = append(waits, s.Spend(request(1000), start).(limiter.QuotaExceeded).RetryAfter)
	}
	urgent := request(1000)
	lessUrgent := request(1000)
	lessUrgent.Urgency = 3
	waits = append(waits, s.Spend(lessUrgent, start).(limiter.QuotaExceeded).RetryAfter, s.Spend(urgent, start).(limiter.QuotaExceeded).RetryAfter)
	for n := 1; n < 4; n++ {
		if waits[n] < waits[n-1] {
			t.Errorf("wait of %s after a wait of %s", waits[n], waits[n-1])
		}
	}
	if waits[4] > waits[3] {
		t.Errorf("an urgent request waits for %s, a less urgent one for %s", waits[4], waits[3])
	}
}

func BenchmarkSpend(b *testing.B) {
	for _, accounts := range []int{16, 10000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s := limiter.Spender{Instances: func() int { return 69 }}
			requests := make([]limiter.Request, accounts)
			for n := range requests {
				requests[n] = limiter.Request{Account: fmt.Sprint("account-", n), Limit: limiter.Limit{Rate: 1e12, Burst: 1e12}, Tokens: 1}
				s.ApplyBalance(limiter.Balance{Account: requests[n].Account, Left: 1e12}, requests[n].Limit, start, start)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				s.Spend(requests[n%accounts], start)
			}
		})
	}
}
