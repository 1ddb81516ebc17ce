package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

var start = time.Unix(1e9, 0)

func ExampleLedger() {
	var l quarantiner.Ledger
	for _, runner := range []string{"engine-1", "engine-2", "engine-3"} {
		l.Apply([]quarantiner.CrashReport{{Digest: "d", Runner: runner}}, start)
		_, quarantined := l.Quarantined("d", start)
		fmt.Println(runner, quarantined)
	}
	l.Clear("d", start)
	_, quarantined := l.Quarantined("d", start)
	fmt.Println("whole", quarantined)
	// Output:
	// engine-1 false
	// engine-2 false
	// engine-3 true
	// whole false
}

// crashReports returns reports of a request that ran on these runners when they crashed.
func crashReports(d quarantiner.Digest, runners ...string) []quarantiner.CrashReport {
	var reports []quarantiner.CrashReport
	for _, r := range runners {
		reports = append(reports, quarantiner.CrashReport{Digest: d, Runner: r})
	}
	return reports
}

func withRunTime(reports []quarantiner.CrashReport, d time.Duration) []quarantiner.CrashReport {
	for i := range reports {
		reports[i].RunTime = d
	}
	return reports
}

// Guards against a request that is rejected because runners crashed by another request or by
// chance while it ran, and against a culprit that is served because of the order in which its
// crashes were reported.
func TestQuarantinedRequests(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reports [][]quarantiner.CrashReport
		clear   map[int]quarantiner.Digest // applied before the reports with that index
		want    []quarantiner.Digest
	}{
		{"two crashes", [][]quarantiner.CrashReport{crashReports("p", "a", "b")}, nil, nil},
		{"three", [][]quarantiner.CrashReport{crashReports("p", "a"), crashReports("p", "b"), crashReports("p", "c")}, nil, []quarantiner.Digest{"p"}},
		{"one crash reported three times", [][]quarantiner.CrashReport{crashReports("p", "a"), crashReports("p", "a"), crashReports("p", "a")}, nil, nil},
		{"beside the culprit on two runners", [][]quarantiner.CrashReport{crashReports("p", "a", "b", "c"), crashReports("i", "a", "b")}, nil, []quarantiner.Digest{"p"}},
		{"beside the culprit on three of four", [][]quarantiner.CrashReport{crashReports("p", "a", "b", "c", "d"), crashReports("i", "a", "b", "c")}, nil, []quarantiner.Digest{"p"}},
		{"the same, reported in the opposite order", [][]quarantiner.CrashReport{crashReports("i", "a", "b", "c"), crashReports("p", "d", "c", "b", "a")}, nil, []quarantiner.Digest{"p"}},
		{"on the same three runners, and had run for longer", [][]quarantiner.CrashReport{withRunTime(crashReports("i", "a", "b", "c"), time.Second), withRunTime(crashReports("p", "a", "b", "c"), time.Millisecond)}, nil, []quarantiner.Digest{"p"}},
		{"on the same three runners, and had run for a shorter time", [][]quarantiner.CrashReport{withRunTime(crashReports("i", "a", "b", "c"), time.Millisecond), withRunTime(crashReports("p", "a", "b", "c"), time.Second)}, nil, []quarantiner.Digest{"i"}},
		{"the same, and one crash later", [][]quarantiner.CrashReport{withRunTime(crashReports("i", "a", "b", "c"), time.Millisecond), withRunTime(crashReports("p", "a", "b", "c", "d"), time.Second)}, nil, []quarantiner.Digest{"p"}},
		{"two culprits on the same three runners, and later on others", [][]quarantiner.CrashReport{crashReports("p", "a", "b", "c", "d", "e", "f"), crashReports("q", "a", "b", "c", "g", "h", "i")}, nil, []quarantiner.Digest{"p", "q"}},
		{"two culprits that share a runner", [][]quarantiner.CrashReport{crashReports("p", "a", "b", "c", "d"), crashReports("q", "d", "e", "f", "g")}, nil, []quarantiner.Digest{"p", "q"}},
		{"completed after two crashes, then one", [][]quarantiner.CrashReport{crashReports("i", "a", "b"), crashReports("i", "c")}, map[int]quarantiner.Digest{1: "i"}, nil},
		{"completed after two crashes, then three", [][]quarantiner.CrashReport{crashReports("i", "a", "b"), crashReports("i", "c", "d", "e")}, map[int]quarantiner.Digest{1: "i"}, []quarantiner.Digest{"i"}},
		{"completed, and the crashes are reported again", [][]quarantiner.CrashReport{crashReports("i", "a", "b", "c"), crashReports("i", "a", "b", "c")}, map[int]quarantiner.Digest{1: "i"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l quarantiner.Ledger
			for n, reports := range tc.reports {
				if d, ok := tc.clear[n]; ok {
					l.Clear(d, start)
				}
				l.Apply(reports, start)
			}
			if diff := cmp.Diff(tc.want, quarantinedBy(&l, start), sorted); diff != "" {
				t.Error(diff)
			}
		})
	}
}

var sorted = cmpopts.SortSlices(func(a, b quarantiner.Digest) bool { return a < b })

func quarantinedBy(l *quarantiner.Ledger, now time.Time) []quarantiner.Digest {
	var quarantined []quarantiner.Digest
	for _, c := range l.Cases() {
		if _, ok := l.Quarantined(c.Digest, now); ok {
			quarantined = append(quarantined, c.Digest)
		}
	}
	return quarantined
}

// Guards against instances that come to different verdicts because they received the same
// crash reports in different orders or twice: a request would be refused at one instance and
// crash runners at another.
func TestQuarantineDoesNotDependOnReportOrder(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var reports []quarantiner.CrashReport
		for range 5 + rng.IntN(60) {
			reports = append(reports, quarantiner.CrashReport{
				Digest: quarantiner.Digest(fmt.Sprint("d", rng.IntN(6))), Runner: fmt.Sprint("r", rng.IntN(8)), RunTime: time.Duration(rng.IntN(3)) * time.Second, Cleared: rng.IntN(6) == 0,
			})
		}
		var verdicts [2][]quarantiner.Digest
		for i := range verdicts {
			var l quarantiner.Ledger
			rng.Shuffle(len(reports), func(a, b int) { reports[a], reports[b] = reports[b], reports[a] })
			for _, r := range reports {
				l.Apply([]quarantiner.CrashReport{r}, start)
				if rng.IntN(4) == 0 {
					l.Apply([]quarantiner.CrashReport{reports[rng.IntN(len(reports))]}, start)
				}
			}
			l.Apply(reports, start)
			verdicts[i] = quarantinedBy(&l, start)
		}
		if diff := cmp.Diff(verdicts[0], verdicts[1], sorted, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("seed %d: %s", seed, diff)
		}
	}
}

// Guards against a wrongly suspected request that stays rejected, and against a culprit that
// costs more than three further runners.
func TestQuarantinedRequestIsRetriedThreeTimes(t *testing.T) {
	var l quarantiner.Ledger
	now := start
	l.Apply(crashReports("p", "a", "b", "c"), now)
	var waits []time.Duration
	for n := range 4 {
		left, quarantined := l.Quarantined("p", now)
		if !quarantined {
			t.Fatalf("not in quarantine after trial %d", n)
		}
		waits = append(waits, left)
		now = now.Add(left)
		if _, quarantined := l.Quarantined("p", now); quarantined {
			t.Fatalf("in quarantine for longer than reported")
		}
		l.Apply(crashReports("p", fmt.Sprint("t", n)), now)
	}
	want := []time.Duration{10 * time.Minute, 20 * time.Minute, 40 * time.Minute, 24 * time.Hour}
	if diff := cmp.Diff(want, waits); diff != "" {
		t.Error(diff)
	}
}

// Guards against a caller that sends many different requests that crash runners, and thereby
// evicts a quarantined request or uses unbounded memory.
func TestManySuspectsDoNotEvictQuarantinedRequest(t *testing.T) {
	l := quarantiner.Ledger{Limit: 100}
	l.Apply(crashReports("p", "a", "b", "c"), start)
	for n := range 1000 {
		l.Apply(crashReports(quarantiner.Digest(fmt.Sprint("s", n)), fmt.Sprint("r", n), fmt.Sprint("t", n)), start.Add(time.Duration(n)*time.Second))
	}
	if _, quarantined := l.Quarantined("p", start.Add(time.Second)); !quarantined {
		t.Error("the quarantined request was evicted")
	}
	if reports, _ := l.Since(0, start); len(reports) > 100 {
		t.Errorf("%d crashes are kept, the limit is 100", len(reports))
	}
}

// Guards against changes that are published twice or not at all: a second ledger must come to
// the same cases.
func TestSinceReturnsEachChangeOnce(t *testing.T) {
	var from, to quarantiner.Ledger
	seq := 0
	publish := func() int {
		var reports []quarantiner.CrashReport
		reports, seq = from.Since(seq, start)
		to.Apply(reports, start)
		return len(reports)
	}
	from.Apply(crashReports("p", "a", "b", "c"), start)
	from.Apply(crashReports("i", "a"), start)
	counts := []int{publish(), publish()}
	from.Clear("i", start)
	counts = append(counts, publish(), publish())
	if diff := cmp.Diff([]int{4, 0, 1, 0}, counts); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(from.Cases(), to.Cases(), cmpopts.SortSlices(func(a, b quarantiner.Case) bool { return a.Digest < b.Digest })); diff != "" {
		t.Error(diff)
	}
}

// Guards against expired crashes that stay in the ledger or enter it again by a late report.
func TestOldCrashesAreForgotten(t *testing.T) {
	var l quarantiner.Ledger
	l.Apply(crashReports("p", "a", "b", "c"), start)
	later := start.Add(25 * time.Hour)
	if got := len(l.Expire(later)); got != 3 || !l.Empty() {
		t.Errorf("%d of 3 crashes expired", got)
	}
	l.Apply([]quarantiner.CrashReport{{Digest: "p", Runner: "a", Age: 25 * time.Hour}}, later)
	if !l.Empty() {
		t.Error("an expired crash is known again")
	}
}

// BenchmarkLedger measures applying a crash with 64 suspects to a full ledger, looking up a
// request in it, and computing a digest.
func BenchmarkLedger(b *testing.B) {
	full := func() *quarantiner.Ledger {
		var l quarantiner.Ledger
		for n := range 4096 {
			l.Apply(crashReports(quarantiner.Digest(fmt.Sprint("d", n)), "r"), start)
		}
		return &l
	}
	b.Run("take", func(b *testing.B) {
		l := full()
		for n := 0; b.Loop(); n++ {
			var reports []quarantiner.CrashReport
			for i := range 64 {
				reports = append(reports, quarantiner.CrashReport{Digest: quarantiner.Digest(fmt.Sprint("s", n, i)), Runner: "r"})
			}
			l.Apply(reports, start)
		}
	})
	b.Run("held", func(b *testing.B) {
		l := full()
		for b.Loop() {
			l.Quarantined("d1", start)
		}
	})
	b.Run("digest", func(b *testing.B) {
		body := make([]byte, 2<<10)
		for b.Loop() {
			quarantiner.DigestOf("desk.example", "POST", "/summary/1", body)
		}
	})
}

// Guards against a culprit that is dropped before its next crash, as the runs beside it have as many parts as a header
// holds.
func TestCulpritIsNamedBesideLongPrompts(t *testing.T) {
	const runs, parts = 7, 1400
	for play := range 10 {
		var l quarantiner.Ledger
		culprit := quarantiner.DigestOfPart("llm", fmt.Sprint("bad", play))
		now := start
		for crash := range 3 {
			runner := fmt.Sprint("i-", crash)
			reports := crashReports(culprit, runner)
			for n := range runs * parts {
				reports = append(reports, crashReports(quarantiner.Digest(fmt.Sprint("part-", crash, "/", n)), runner)...)
			}
			l.Apply(reports, now)
			now = now.Add(2 * time.Second)
		}
		if _, named := l.Quarantined(culprit, now); !named {
			t.Errorf("play %d: not quarantined after three crashes", play)
		}
	}
}
