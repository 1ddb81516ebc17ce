package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// newLedger returns a ledger that has run for a minute.
func newLedger(limit limiter.Limit) *limiter.Ledger {
	l := &limiter.Ledger{Limits: func(account string) (limiter.Limit, bool) { return limit, account == "a" }, Window: window}
	l.Begin(at(-time.Minute))
	return l
}

var thousand = limiter.Limit{Rate: 1000, Burst: 1000}

func settle(t *testing.T, l *limiter.Ledger, from limiter.Reporter, s limiter.Spent, now time.Time) limiter.Balance {
	t.Helper()
	balances, ok := l.Settle(from, []limiter.Spent{s}, now)
	if !ok || len(balances) != 1 {
		t.Fatalf("%v, %t", balances, ok)
	}
	return balances[0]
}

func spent(counter, want int64) limiter.Spent {
	return limiter.Spent{Account: "a", Counter: counter, Want: want}
}

var one = limiter.Reporter{Instance: "one", Incarnation: 1}

func TestSettle(t *testing.T) {
	l := newLedger(thousand)
	var got []limiter.Balance
	for _, s := range []limiter.Spent{spent(0, 0), spent(0, 300), spent(400, 0), spent(350, 0), spent(350, 900)} {
		b := settle(t, l, one, s, start)
		b.Usage = 0
		got = append(got, b)
	}
	want := []limiter.Balance{
		{Account: "a", Left: 1000},
		{Account: "a", Counted: 300, Granted: true, Left: 700},
		{Account: "a", Counted: 400, Left: 600},
		{Account: "a", Counted: 350, Left: 650},
		{Account: "a", Counted: 350, Left: 650},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestSettleWithoutQuotaOrLedger(t *testing.T) {
	l := newLedger(thousand)
	if balances, ok := l.Settle(one, []limiter.Spent{{Account: "unknown"}}, start); !ok || len(balances) > 0 {
		t.Errorf("an account without a quota: %v, %t", balances, ok)
	}
	l.End()
	if _, ok := l.Settle(one, nil, start); ok {
		t.Error("a stopped ledger settles")
	}
}

// Guards against a quota that is fully available again after a change of leader.
func TestLedgerBeginsWithNothingLeft(t *testing.T) {
	l := newLedger(thousand)
	l.Begin(start)
	if got := settle(t, l, one, spent(0, 0), start).Left; got != 0 {
		t.Errorf("%d tokens are left", got)
	}
	if got := settle(t, l, one, spent(0, 0), at(500*time.Millisecond)).Left; got != 500 {
		t.Errorf("%d tokens are left after half a second", got)
	}
}

func TestLedgerAdoptsBalancesOfOlderLedger(t *testing.T) {
	older, l := newLedger(thousand), newLedger(thousand)
	settle(t, older, one, spent(0, 300), start)
	l.Begin(start)
	self := limiter.Reporter{Instance: "two", Domain: "d"}
	balances, _ := older.Settle(self, nil, start)
	l.Adopt(balances, time.Minute, start)
	if got := settle(t, l, one, spent(300, 0), start).Left; got < 690 || got > 700 {
		t.Errorf("%d tokens are left", got)
	}
}

// Guards against both sides of a partition spending the full quota.
func TestShareOfUnresponsiveReporterIsReserved(t *testing.T) {
	l := newLedger(thousand)
	two := limiter.Reporter{Instance: "two", Incarnation: 1}
	for n := range 100 {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, one, spent(int64(n)*30, 0), now)
		settle(t, l, two, spent(int64(n)*30, 0), now)
	}
	granted := int64(0)
	for now := at(10 * time.Second); now.Before(at(25 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if settle(t, l, one, spent(99*30+granted, 200), now).Granted {
			granted += 200
		}
	}
	if granted < 7000 || granted > 10000 {
		t.Errorf("%d of 15000 tokens are granted to one of two reporters", granted)
	}
}

func TestNothingIsReservedForRemovedReporter(t *testing.T) {
	l := newLedger(thousand)
	two := limiter.Reporter{Instance: "two", Incarnation: 1}
	settle(t, l, two, spent(0, 500), start)
	l.Remove("two")
	settle(t, l, one, spent(0, 0), at(2*time.Second))
	if got := settle(t, l, one, spent(0, 0), at(10*time.Second)).Left; got != 1000 {
		t.Errorf("%d tokens are left", got)
	}
}

// Guards against overspending that counts beyond the window over which quotas are enforced.
func TestOverspendingIsForgotten(t *testing.T) {
	l := newLedger(thousand)
	settle(t, l, one, spent(0, 0), start)
	settle(t, l, one, spent(1_000_000, 0), start)
	if got := settle(t, l, one, spent(1_000_000, 0), at(window+time.Second)).Left; got < 0 {
		t.Errorf("%d tokens are left", got)
	}
}

func TestLowerAndHigherLimits(t *testing.T) {
	limit := thousand
	l := &limiter.Ledger{Limits: func(string) (limiter.Limit, bool) { return limit, true }, Window: window}
	l.Begin(at(-time.Minute))
	settle(t, l, one, spent(0, 0), start)
	limit = limiter.Limit{Rate: 10, Burst: 20}
	if got := settle(t, l, one, spent(0, 0), at(time.Second)).Left; got != 20 {
		t.Errorf("%d tokens are left of a burst of 20", got)
	}
	limit = thousand
	if got := settle(t, l, one, spent(0, 0), at(2*time.Second)).Left; got != 1000 {
		t.Errorf("%d tokens are left of a burst of 1000", got)
	}
}

func BenchmarkSettle(b *testing.B) {
	l := newLedger(limiter.Limit{Rate: 1e12, Burst: 1e12})
	spent := make([]limiter.Spent, 16)
	for n := range spent {
		spent[n].Account = "a"
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Settle(one, spent, start)
	}
}

// Guards against an account that has nothing left for seconds after a partition, because the
// tokens reserved for an unresponsive leader and those that its successor reports both
// counted as spent.
func TestSuccessorOfUnresponsiveLedgerIsNotCountedTwice(t *testing.T) {
	l := newLedger(thousand)
	former := limiter.Reporter{Instance: "former", Incarnation: 1, Domain: "d"}
	for n := range 50 {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, one, spent(int64(n)*10, 0), now)
		settle(t, l, former, spent(int64(n)*40, 0), now)
	}
	for now := at(5 * time.Second); now.Before(at(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		settle(t, l, one, spent(490, 0), now)
	}
	successor := limiter.Reporter{Instance: "successor", Incarnation: 2, Domain: "d", Age: 4 * time.Second}
	settle(t, l, successor, spent(1600, 0), at(10*time.Second))
	if got := settle(t, l, one, spent(490, 0), at(10*time.Second)).Left; got < 0 {
		t.Errorf("%d tokens are left of 1000 a second, of which 500 were spent", got)
	}
}

// Guards against concurrent requests that are all granted the same tokens: the counter sent
// with a later one did not yet include the tokens granted to an earlier one.
func TestConcurrentRequestsAreCounted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		order []int // in which the ledger receives the requests
	}{{"in order", []int{0, 1, 2}}, {"reordered", []int{2, 0, 1}}} {
		t.Run(tc.name, func(t *testing.T) {
			l, s := newLedger(thousand), newSpender(1000)
			settle(t, l, one, spent(0, 0), start)
			r := request(400)
			reports := []limiter.Spent{s.Want(r), s.Want(r), s.Want(r)}
			balances := make([]limiter.Balance, len(reports))
			granted := 0
			for _, n := range tc.order {
				balances[n] = settle(t, l, one, reports[n], start)
				if balances[n].Granted {
					granted++
				}
			}
			if granted < 1 || granted > 2 {
				t.Errorf("%d requests of 400 tokens each are granted of 1000 tokens", granted)
			}
			for _, b := range balances {
				s.Answered(r, b, start, start)
			}
			if got := settle(t, l, one, s.Report(start)[0], start).Left; got != int64(1000-400*granted) {
				t.Errorf("%d tokens are left after %d requests of 400", got, granted)
			}
		})
	}
}

// Guards against Ledgers that begin at the same time on different sides of a partition and each
// grant the whole quota.
func TestLedgerThatBeginsApartGrantsItsShare(t *testing.T) {
	const others = 3
	for _, tc := range []struct {
		name    string
		reports int           // Ledgers that report to it
		after   time.Duration // since it began
		want    int64         // tokens left
	}{
		{"alone", 0, 2 * time.Second, 500},
		{"with one other", 1, 2 * time.Second, 1000},
		{"with all others", others, 2 * time.Second, 2000},
		{"alone for longer than a partition lasts", 0, time.Minute, 4000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger(limiter.Limit{Rate: 1000, Burst: 4000})
			l.Others = func() int { return others }
			l.Begin(start)
			for n := range tc.reports {
				from := limiter.Reporter{Instance: fmt.Sprint("ledger-", n), Incarnation: 1, Domain: fmt.Sprint("d", n)}
				settle(t, l, from, spent(0, 0), start)
			}
			if got := settle(t, l, one, spent(0, 0), start.Add(tc.after)).Left; got != tc.want {
				t.Errorf("%d tokens left, want %d", got, tc.want)
			}
		})
	}
}
