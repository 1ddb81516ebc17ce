package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// longExcess is how long an excess lasts until callers are told that nothing is left.
const longExcess = 1500 * time.Millisecond

// newUrgentSpender returns a spender that admits by urgency, with a balance that is new at start and
// a demand that has lasted.
func newUrgentSpender(left int64, demand ...int64) *limiter.Spender {
	s := &limiter.Spender{ByUrgency: true, Instances: func() int { return 1 }}
	before := start.Add(-longExcess)
	s.ApplyBalance(limiter.Balance{Account: "a", Left: left, Demand: demand}, request(0).Limit, before, before)
	s.ApplyBalance(limiter.Balance{Account: "a", Left: left, Demand: demand}, request(0).Limit, start, start)
	return s
}

func urgent(tokens int64, urgency int) limiter.Request {
	r := request(tokens)
	r.Urgency = urgency
	return r
}

// asked is a report of what is asked for by urgency.
func asked(counters ...int64) limiter.Spent { return limiter.Spent{Account: "a", Asked: counters} }

func ExampleSpender_byUrgency() {
	limit := limiter.Limit{Rate: 1000, Burst: 1000}
	spender := limiter.Spender{ByUrgency: true, Instances: func() int { return 1 }}
	for _, now := range []time.Time{start.Add(-longExcess), start} {
		spender.ApplyBalance(limiter.Balance{Account: "mill", Left: 400, Demand: []int64{600, 1400}}, limit, now, now)
	}
	for _, urgency := range []int{1, 0} {
		decision := spender.Spend(limiter.Request{Account: "mill", Limit: limit, Tokens: 200, Urgency: urgency}, start)
		if d, exceeded := decision.(limiter.QuotaExceeded); exceeded {
			fmt.Printf("%d tokens are reserved, retry after %s\n", d.Reserved, d.RetryAfter)
			continue
		}
		fmt.Printf("%T\n", decision)
	}
	// Output:
	// 300 tokens are reserved, retry after 10s
	// limiter.AskLedger
}

func TestSpendByUrgency(t *testing.T) {
	for _, tc := range []struct {
		name   string
		left   int64
		demand []int64
		r      limiter.Request
		want   limiter.Decision
	}{
		{"tokens are reserved", 400, []int64{600, 600}, urgent(200, 1), limiter.QuotaExceeded{Left: 400, AvailableIn: 10 * time.Second, RetryAfter: 10 * time.Second, Reserved: 300, ByReserve: true}},
		{"more than the tokens left", 100, []int64{600, 600}, urgent(200, 1), limiter.QuotaExceeded{Left: 100, AvailableIn: 10 * time.Second, RetryAfter: 10 * time.Second, Reserved: 300}},
		{"floors of less urgent ones are reserved", 10, []int64{1000, 9000}, urgent(5, 0), limiter.QuotaExceeded{Left: 10, AvailableIn: 10 * time.Second, RetryAfter: 10 * time.Second, Reserved: 33, ByReserve: true}},
		{"the most urgent", 400, []int64{600, 600}, urgent(10, 0), limiter.Admitted{}},
		{"tokens to spare", 900, []int64{600, 600}, urgent(10, 1), limiter.Admitted{}},
		{"no more than the rate is asked for", 100, []int64{600, 300}, urgent(2, 1), limiter.Admitted{}},
		{"no demand is known", 100, nil, urgent(2, 1), limiter.Admitted{}},
		{"the reserve is bounded", 900, []int64{9000, 100}, urgent(10, 1), limiter.Admitted{}},
		{"beyond its allowance of what is not reserved", 600, []int64{9000, 100}, urgent(10, 1), limiter.AskLedger{}},
		{"no such urgency", 900, []int64{9000, 100}, urgent(10, 99), limiter.Admitted{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := newUrgentSpender(tc.left, tc.demand...).Spend(tc.r, start)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a level that is starved by more urgent ones: a quarter of its proportional part of
// the rate is admitted whatever is reserved.
func TestFloorOfLessUrgentRequests(t *testing.T) {
	s := newUrgentSpender(450, 2000, 2000)
	requested, admitted := 0, 0
	for range 4000 {
		s.ApplyBalance(limiter.Balance{Account: "a", Left: 450, Demand: []int64{2000, 2000}}, request(0).Limit, start, start)
		requested++
		if _, ok := s.Spend(urgent(1, 1), start).(limiter.Admitted); ok {
			admitted++
			s.Refund("a", 1, start)
		}
	}
	if got := float64(admitted) / float64(requested); got < 0.06 || got > 0.0626 {
		t.Errorf("%.4f of the tokens are admitted, and the floor is 0.0625", got)
	}
}

// Guards against concurrent requests that all use the same credit of their level, and so take more
// than its floor from more urgent requests.
func TestFloorCoversConcurrentRequestsOnce(t *testing.T) {
	s := newUrgentSpender(0, 1000, 1000)
	r := urgent(100, 1)
	for range 10 { // credits 0.125 of each
		s.Spend(r, start)
	}
	levels := []int{s.Want(r).Level, s.Want(r).Level}
	s.Unanswered(r)
	s.Unanswered(r)
	levels = append(levels, s.Want(r).Level)
	s.Answered(r, limiter.Balance{Account: "a", Granted: true, Demand: []int64{1000, 1000}}, start, start)
	levels = append(levels, s.Want(r).Level)
	if diff := cmp.Diff([]int{-1, 1, -1, 1}, levels); diff != "" {
		t.Error(diff)
	}
}

// Guards against demand that is counted twice where a request waits for its tokens.
func TestRepeatedRequestIsCountedOnce(t *testing.T) {
	s := newUrgentSpender(0)
	r := urgent(100, 1)
	s.Spend(r, start)
	r.Repeated = true
	s.Spend(r, start)
	if diff := cmp.Diff([]limiter.Spent{{Account: "a", Seq: 1, Asked: []int64{0, 100, 0, 0}}}, s.Report(start)); diff != "" {
		t.Error(diff)
	}
}

// Guards against messages that change where requests are not admitted by urgency.
func TestDemandIsNotReportedUnlessAskedFor(t *testing.T) {
	s, l := newSpender(1000), newLedger(thousand)
	s.Spend(urgent(1, 2), start)
	if diff := cmp.Diff([]limiter.Spent{{Account: "a", Counter: 1, Recent: 1, Seq: 1}}, s.Report(start)); diff != "" {
		t.Error(diff)
	}
	for n := range int64(20) {
		settle(t, l, one, asked(0, 500*n), at(time.Duration(n)*100*time.Millisecond))
	}
	if got := settle(t, l, limiter.Reporter{Instance: "two"}, spent(0, 0), at(2*time.Second)); got.Demand != nil {
		t.Errorf("a balance states the demand %v", got.Demand)
	}
}

// Guards against demand that lags behind: it is known within half a second of a report, and
// forgotten within a balance's age when it ends.
func TestLedgerStatesDemand(t *testing.T) {
	l := newLedger(thousand)
	other := limiter.Reporter{Instance: "other", Incarnation: 1, Domain: "d"}
	counters := []int64{0, 0}
	report := func(from time.Duration, steps int, urgentPerStep, otherPerStep int64) (demand []int64) {
		for n := range steps {
			now := at(from + time.Duration(n)*100*time.Millisecond)
			counters[0] += urgentPerStep
			counters[1] += otherPerStep
			demand = settle(t, l, one, asked(counters[0]), now).Demand
			settle(t, l, other, asked(0, counters[1]), now)
		}
		return demand
	}
	if got := report(0, 30, 60, 140); len(got) != 4 || got[0] < 560 || got[0] > 600 || got[1] < 1300 || got[1] > 1400 {
		t.Errorf("the demand is %v, and 600 and 1400 tokens a second are asked for", got)
	}
	if got := report(3*time.Second, 7, 0, 0); got != nil {
		t.Errorf("0.7 s after its end the demand is %v", got)
	}
}

// Guards against single requests of a small account that count as an excess of demand.
func TestSingleRequestIsNoExcess(t *testing.T) {
	l := newLedger(thousand)
	settle(t, l, one, asked(0), start)
	if got := settle(t, l, one, asked(0, 900), at(150*time.Millisecond)).Demand; got != nil {
		t.Errorf("the demand is %v after one request of 900 tokens", got)
	}
}

// Guards against demand of instances that are gone: what they spend is reserved for them.
func TestDemandOfUnresponsiveReporterIsForgotten(t *testing.T) {
	l := newLedger(thousand)
	two := limiter.Reporter{Instance: "two", Incarnation: 1}
	now := start
	for n := range int64(30) {
		now = at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, two, asked(200*n), now)
	}
	if got := settle(t, l, one, asked(0), now).Demand; len(got) == 0 {
		t.Fatal("no demand is stated")
	}
	for n := range 12 {
		settle(t, l, one, asked(0), now.Add(time.Duration(n)*100*time.Millisecond))
	}
	if got := settle(t, l, one, asked(0), now.Add(1200*time.Millisecond)).Demand; got != nil {
		t.Errorf("the demand is %v", got)
	}
}

// Guards against demand that counts at two ledgers after an instance has changed its ledger.
func TestDemandOfRemovedReporterIsForgotten(t *testing.T) {
	l := newLedger(thousand)
	two := limiter.Reporter{Instance: "two", Incarnation: 1}
	now := start
	for n := range int64(30) {
		now = at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, two, asked(200*n), now)
	}
	l.Remove("two")
	if got := settle(t, l, one, asked(0), now).Demand; got != nil {
		t.Errorf("the demand is %v", got)
	}
}

// Guards against a report that arrives twice or late and counts again.
func TestOutdatedDemandIsIgnored(t *testing.T) {
	l := newLedger(thousand)
	for n := range int64(30) {
		s := asked(150 * n)
		s.Seq = n
		now := at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, one, s, now)
		settle(t, l, one, s, now)
		s.Seq, s.Asked = n-1, []int64{0}
		if got := settle(t, l, one, s, now).Demand; n == 29 && (len(got) == 0 || got[0] < 1400 || got[0] > 1500) {
			t.Errorf("the demand is %v, and 1500 tokens a second are asked for", got)
		}
	}
}

// Guards against a ledger that grants reserved tokens to a spender that knows of no demand yet.
func TestLedgerReserves(t *testing.T) {
	l := newLedger(thousand)
	now := start
	for n := range int64(30) {
		now = at(time.Duration(n) * 100 * time.Millisecond)
		settle(t, l, one, asked(60*n, 100*n), now)
	}
	settle(t, l, one, spent(500, 0), now)
	var got []bool
	for _, level := range []int{1, 0, -1, 99, -99} {
		s := spent(500, 300)
		s.Level, s.Asked = level, []int64{1740, 2900}
		b := settle(t, l, one, s, now)
		got = append(got, b.Granted)
		if b.Granted {
			settle(t, l, one, spent(500, 0), now) // returns the tokens
		}
	}
	if diff := cmp.Diff([]bool{false, true, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against an instance without a ledger that gives its share to less urgent requests.
func TestDisconnectedSpenderReservesByItsOwnDemand(t *testing.T) {
	s := newUrgentSpender(1000)
	for range 40 { // this spender alone uses the account
		s.Want(request(20))
		s.Answered(request(20), limiter.Balance{Account: "a", Granted: true, Left: 1000}, start, start)
	}
	s.ApplyBalance(limiter.Balance{Account: "a", Counted: 800, Left: 1000, Usage: 400}, request(0).Limit, start, start)
	var requested, admitted [2]int64
	for now, n := start, 0; now.Before(at(20 * time.Second)); now, n = now.Add(5*time.Millisecond), n+1 {
		urgency := 1
		if n%4 == 3 {
			urgency = 0
		}
		r := urgent(10, urgency)
		if _, asks := s.Spend(r, now).(limiter.AskLedger); !asks {
			continue
		}
		requested[urgency] += r.Tokens
		if _, ok := s.SpendDisconnected(r, now).(limiter.Admitted); ok {
			admitted[urgency] += r.Tokens
		}
	}
	// 500 and 1500 tokens a second are asked for.
	for urgency, least := range []float64{0.95, 0.25} {
		if got := float64(admitted[urgency]) / float64(requested[urgency]); got < least {
			t.Errorf("%.3f of the tokens of urgency %d are admitted", got, urgency)
		}
	}
	if sum := admitted[0] + admitted[1]; sum > 20500 {
		t.Errorf("%d tokens admitted in 20 s, of 1000 a second", sum)
	}
}

// Guards against returns that are promised at a rate at which no tokens are left over, and against
// urgent callers that wait for less urgent ones.
func TestReturnsByWhatIsLeftOver(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand []int64
		r      limiter.Request
		want   []time.Duration // by number of refused callers before
	}{
		{"half of the rate is left", []int64{500}, urgent(100, 0), []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond}},
		{"little is left", []int64{950}, urgent(100, 0), []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second}},
		{"nothing is left", []int64{1500}, urgent(100, 0), []time.Duration{10 * time.Second, 10 * time.Second, 10 * time.Second}},
		{"less urgent requests ask for all", []int64{500, 0, 9000}, urgent(100, 0), []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond}},
		{"more urgent requests ask for all", []int64{1500, 100}, urgent(100, 1), []time.Duration{10 * time.Second, 10 * time.Second, 10 * time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newUrgentSpender(0, tc.demand...)
			var got []time.Duration
			for range 3 {
				got = append(got, s.Spend(tc.r, start).(limiter.QuotaExceeded).RetryAfter.Round(100*time.Millisecond))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against callers that are told to stay away long after a short peak, or to return in it.
func TestReturnsInShortExcess(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name   string
		demand []int64
		r      limiter.Request
		want   []time.Duration // by number of refused callers before
	}{
		{"of the most urgent", []int64{1500}, urgent(100, 0), []time.Duration{1500 * ms, 1600 * ms, 1700 * ms}},
		{"more urgent ones ask for half of the rate", []int64{500, 1500}, urgent(100, 1), []time.Duration{1600 * ms, 1800 * ms, 2000 * ms}},
		{"more urgent ones ask for all", []int64{1500, 100}, urgent(100, 1), []time.Duration{7 * time.Second, 8 * time.Second, 9 * time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &limiter.Spender{ByUrgency: true, Instances: func() int { return 1 }}
			balance := limiter.Balance{Account: "a", Demand: tc.demand}
			s.ApplyBalance(balance, tc.r.Limit, start, start)
			var got []time.Duration
			for range tc.want {
				got = append(got, retryAfter(s, tc.r, start).Round(100*ms))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
			s.ApplyBalance(balance, tc.r.Limit, at(longExcess), at(longExcess))
			if got := retryAfter(s, tc.r, at(longExcess)); got != 10*time.Second {
				t.Errorf("in a long excess a caller is told to return in %s", got)
			}
		})
	}
}

// Guards against demand close to the rate that never counts as a long excess, and against peaks far
// apart that count as one.
func TestInterruptedExcess(t *testing.T) {
	for _, tc := range []struct {
		calm   time.Duration
		isLong bool
	}{{200 * time.Millisecond, true}, {longExcess + time.Millisecond, false}} {
		s := &limiter.Spender{ByUrgency: true, Instances: func() int { return 1 }}
		now := start
		demand := func(tokens int64, lasts time.Duration) {
			s.ApplyBalance(limiter.Balance{Account: "a", Demand: []int64{tokens}}, request(0).Limit, now, now)
			now = now.Add(lasts)
		}
		demand(1500, 700*time.Millisecond)
		demand(1500, 0)
		demand(900, tc.calm)
		demand(1500, 700*time.Millisecond)
		demand(1500, 0)
		if got := retryAfter(s, urgent(10, 0), now); (got == 10*time.Second) != tc.isLong {
			t.Errorf("after %s without excess a caller is told to return in %s", tc.calm, got)
		}
	}
}

// Guards against an instance without a ledger that takes its own excess for a short one forever.
func TestLongExcessOfDisconnectedSpender(t *testing.T) {
	s := newUrgentSpender(1000)
	var first, last time.Duration
	for now := at(time.Second); now.Before(at(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		r := urgent(10, 0)
		s.Spend(r, now)
		if d, is := s.SpendDisconnected(r, now).(limiter.QuotaExceeded); is {
			last = d.RetryAfter
			if first == 0 {
				first = last
			}
		}
	}
	if first > 5*time.Second || last != 10*time.Second {
		t.Errorf("the first caller is told to return in %s, the last in %s", first, last)
	}
}

func retryAfter(s *limiter.Spender, r limiter.Request, now time.Time) time.Duration {
	return s.Spend(r, now).(limiter.QuotaExceeded).RetryAfter
}

// Guards against a Retry-After that stays long when the excess has ended.
func TestRetryAfterShrinksWithDemand(t *testing.T) {
	s := newUrgentSpender(0, 900, 3000)
	for range 1000 {
		s.Spend(urgent(100, 1), start)
	}
	s.ApplyBalance(limiter.Balance{Account: "a", Demand: []int64{200, 400}}, request(0).Limit, at(time.Millisecond), at(time.Millisecond))
	if got := s.Spend(urgent(100, 1), at(time.Millisecond)).(limiter.QuotaExceeded).RetryAfter; got > 700*time.Millisecond {
		t.Errorf("a caller is told to return in %s", got)
	}
}

func TestReturnsAreCounted(t *testing.T) {
	s := newUrgentSpender(0, 600)
	for range 3 {
		s.Spend(urgent(10, 0), start)
	}
	var counts limiter.ReturnCounts
	s.ApplyBalance(limiter.Balance{Account: "a", Left: 15, Demand: []int64{600}}, request(0).Limit, at(300*time.Millisecond), at(300*time.Millisecond))
	for range 3 {
		s.Spend(urgent(10, 0), at(300*time.Millisecond))
	}
	counts.Add(s.TakeReturns(at(300 * time.Millisecond)))
	counts.Add(s.TakeReturns(at(3 * time.Second)))
	if counts.Promised < 3 || counts.Admitted+counts.Refused > counts.Promised {
		t.Errorf("%+v", counts)
	}
	if diff := cmp.Diff(limiter.ReturnCounts{}, s.TakeReturns(at(4*time.Second))); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkSpendByUrgency(b *testing.B) {
	for _, tc := range []struct {
		name string
		left int64
	}{{"admitted", 1e12}, {"reserved", 3e8}, {"refused", 0}} {
		b.Run(tc.name, func(b *testing.B) {
			r := limiter.Request{Account: "a", Limit: limiter.Limit{Rate: 1e9, Burst: 1e9}, Tokens: 1000, Urgency: 2}
			s := limiter.Spender{ByUrgency: true, Instances: func() int { return 69 }}
			s.ApplyBalance(limiter.Balance{Account: "a", Left: tc.left, Demand: []int64{3e8, 5e8, 5e9}}, r.Limit, start, start)
			b.ReportAllocs()
			for b.Loop() {
				s.Spend(r, start)
			}
		})
	}
}
