package aggregator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const memberTimeout = 3 * time.Second

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hot   = aggregator.Key{Runner: "i-1", Copy: placer.Copy{Model: "m", Adapter: "a1", Version: 1}}
	cold  = aggregator.Key{Runner: "i-1", Copy: placer.Copy{Model: "m", Adapter: "a2", Version: 1}}
)

func ExampleAggregator_Report() {
	a := aggregator.Aggregator{MemberTimeout: memberTimeout}
	a.Report("front-1", aggregator.Report{Instances: 1, Uses: map[aggregator.Key]int{hot: 2}}, start)
	a.Report("front-2", aggregator.Report{Instances: 1, Uses: map[aggregator.Key]int{hot: 1}}, start)
	fmt.Println(a.Uses(hot))
	a.Report("front-1", aggregator.Report{Instances: 1}, start) // complete: its uses have ended
	fmt.Println(a.Uses(hot))
	a.Expire(start.Add(memberTimeout + time.Second)) // no reports since
	fmt.Println(a.Uses(hot), a.Instances())
	// Output:
	// 3
	// 1
	// 0 0
}

// Requests wait for a copy at two instances. The placer must receive the sum of both,
// whichever reported last: given the requests of one instance only, it gave the adapter
// slot to a copy for which fewer requests waited.
func TestWaitingRequestsOfAllMembersAreSummed(t *testing.T) {
	notified := make(map[aggregator.Key]placer.Waiting)
	a := aggregator.Aggregator{MemberTimeout: memberTimeout, OnWaiting: func(k aggregator.Key, all placer.Waiting) { notified[k] = all }}
	waits := func(priority, requests, inTime int) aggregator.Report {
		return aggregator.Report{Waits: map[aggregator.Key]placer.Waiting{hot: {Priority: priority, Requests: requests, InTime: inTime}}}
	}
	a.Report("front-1", waits(1, 2, 1), start)
	a.Report("front-2", waits(0, 3, 2), start)
	if diff := cmp.Diff(placer.Waiting{Priority: 0, Requests: 5, InTime: 3}, notified[hot], cmp.AllowUnexported(placer.Waiting{})); diff != "" {
		t.Error("requests of both wait:", diff)
	}
	a.Report("front-2", aggregator.Report{}, start)
	if diff := cmp.Diff(placer.Waiting{Priority: 1, Requests: 2, InTime: 1}, notified[hot], cmp.AllowUnexported(placer.Waiting{})); diff != "" {
		t.Error("after the urgent requests ended:", diff)
	}
	a.Remove("front-1")
	if notified[hot].Requests != 0 {
		t.Errorf("%d requests wait after all have ended", notified[hot].Requests)
	}
}

// Copies are queued for a runner and the last request that used another copy there has
// ended. An instance that relays reports must be notified of that, or the adapter slot
// stays occupied until the next report.
func TestOnFreedIsCalledWhenLastUseEnds(t *testing.T) {
	var freed []aggregator.Key
	a := aggregator.Aggregator{MemberTimeout: memberTimeout, OnFreed: func(k aggregator.Key) { freed = append(freed, k) }}
	uses := func(n int) aggregator.Report { return aggregator.Report{Uses: map[aggregator.Key]int{hot: n, cold: 1}} }
	a.Report("front-1", uses(2), start)
	a.Report("front-2", uses(1), start)
	a.Report("front-1", uses(1), start)
	a.Report("front-2", aggregator.Report{Uses: map[aggregator.Key]int{cold: 1}}, start)
	if len(freed) > 0 {
		t.Errorf("OnFreed was called for %v, which are in use", freed)
	}
	a.Report("front-1", aggregator.Report{Uses: map[aggregator.Key]int{cold: 1}}, start)
	if diff := cmp.Diff([]aggregator.Key{hot}, freed); diff != "" {
		t.Error(diff)
	}
}

// Instances report, stop reporting, return and leave in any order. The incremental sums
// must equal those computed from the last reports: with a sum that is too large an
// adapter slot would stay occupied for good, with one that is too small a copy in use
// would be evicted.
func TestSumsMatchLastReports(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { compareWithReports(t, rand.New(rand.NewPCG(seed, seed))) })
	}
}

func compareWithReports(t *testing.T, rng *rand.Rand) {
	a := aggregator.Aggregator{MemberTimeout: memberTimeout}
	reports := make(map[string]aggregator.Report)
	lastReportAt := make(map[string]time.Time)
	now := start
	for range 60 {
		now = now.Add(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		id := fmt.Sprint("front-", rng.IntN(6))
		switch rng.IntN(8) {
		case 0:
			a.Remove(id)
			delete(reports, id)
		case 1:
			k := randomKey(rng)
			a.AddUse(id, k, now)
			if _, known := reports[id]; !known {
				lastReportAt[id] = now
				reports[id] = aggregator.Report{Uses: make(map[aggregator.Key]int)}
			}
			reports[id].Uses[k]++
		case 2:
			a.Expire(now)
			for other := range reports {
				if now.Sub(lastReportAt[other]) > memberTimeout {
					delete(reports, other)
				}
			}
		default:
			r := randomReport(rng)
			reports[id], lastReportAt[id] = r, now
			r.Uses = maps.Clone(r.Uses)
			a.Report(id, r, now)
		}
		var want aggregator.Report
		for _, r := range reports {
			want.Add(r)
		}
		if diff := cmp.Diff(want, a.Sum(), cmpopts.EquateEmpty(), cmp.AllowUnexported(placer.Waiting{}, tracker.Load{})); diff != "" {
			t.Fatal(diff)
		}
	}
}

func randomKey(rng *rand.Rand) aggregator.Key {
	return aggregator.Key{Runner: fmt.Sprint("i-", rng.IntN(3)), Copy: placer.Copy{Model: "m", Adapter: fmt.Sprint("a", rng.IntN(3)), Version: 1}}
}

func randomReport(rng *rand.Rand) aggregator.Report {
	r := aggregator.Report{
		Instances: 1 + rng.IntN(3), Loads: make(map[string]tracker.Load), Uses: make(map[aggregator.Key]int), Waits: make(map[aggregator.Key]placer.Waiting),
	}
	for range rng.IntN(4) {
		r.Loads[randomKey(rng).Runner] = tracker.Load{Running: 1 + rng.IntN(5), PrefillTokens: rng.IntN(1000)}
		r.Uses[randomKey(rng)] = 1 + rng.IntN(3)
		r.Waits[randomKey(rng)] = placer.Waiting{Priority: rng.IntN(3), Requests: 1 + rng.IntN(4), InTime: rng.IntN(2)}
	}
	return r
}

// The cost of one report with 30 to 1,000 members; it must not depend on their number.
func BenchmarkReport(b *testing.B) {
	for _, members := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			a := aggregator.Aggregator{MemberTimeout: memberTimeout, OnWaiting: func(aggregator.Key, placer.Waiting) {}}
			for n := range members {
				a.Report(fmt.Sprint("front-", n), randomReport(rng), start)
			}
			reports := []aggregator.Report{randomReport(rng), randomReport(rng)}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				a.Report("front-0", reports[n%2], start)
				a.Loads("front-0")
			}
		})
	}
}
