package tracker_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// pacedFleet returns a fleet of runners r0, r1, and so on of one service, that have stated these
// paces; 0 for none.
func pacedFleet(paces ...int) *tracker.Fleet {
	f := &tracker.Fleet{Domain: "a"}
	for n, percent := range paces {
		id := fmt.Sprint("r", n)
		f.Set(tracker.Runner{ID: id, Service: "llm", Domain: "a", Slots: 8, Revision: 1})
		f.SetHeldCopy(id, paceCopy, time.Time{}, true)
		state(f, id, percent)
	}
	return f
}

func state(f *tracker.Fleet, id string, percent int) {
	f.ObservePace(id, gauger.Statement{At: time.Now(), Percent: percent})
}

// paceFactors returns the factors of r0, r1, and so on.
func paceFactors(f *tracker.Fleet, runners int) []float64 {
	var factors []float64
	for n := range runners {
		factors = append(factors, f.PaceFactor(fmt.Sprint("r", n), time.Now()))
	}
	return factors
}

var approximately = cmpopts.EquateApprox(1e-6, 0)

// Guards against pace being used for a service whose runners state none, and for one whose
// runners have ceased to state it.
func TestStatesPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &tracker.Fleet{Domain: "a"}
		f.Set(tracker.Runner{ID: "r1", Service: "llm", Domain: "a", Revision: 1})
		f.Set(tracker.Runner{ID: "r2", Service: "records", Domain: "a", Revision: 1})
		states := func() []bool {
			return []bool{f.StatesPace("llm"), f.StatesPace("records"), f.StatesPace("none")}
		}
		var got [][]bool
		got = append(got, states())
		state(f, "r2", 250)
		got = append(got, states())
		time.Sleep(gauger.Memory + time.Second)
		got = append(got, states())
		want := [][]bool{{false, false, false}, {false, true, false}, {false, false, false}}
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Errorf("services that state a pace before, with and after a statement (-want +got):\n%s", diff)
		}
	})
}

// Guards against factors that outlive the statements that they are of: a runner would be avoided
// for what an earlier incarnation of it stated, or for a slowness that is over.
func TestPaceFactor(t *testing.T) {
	const later = 10 * gauger.Fresh
	for _, tc := range []struct {
		name   string
		paces  []int
		events func(f *tracker.Fleet)
		want   []float64
	}{
		{"no statements", []int{0, 0}, func(*tracker.Fleet) {}, []float64{1, 1}},
		{"all the same", []int{170, 170}, func(*tracker.Fleet) {}, []float64{1, 1}},
		{"relative to the mean", []int{100, 300}, func(*tracker.Fleet) {}, []float64{0.5, 1.5}},
		{"a runner that states nothing has the mean", []int{100, 300, 0}, func(*tracker.Fleet) {}, []float64{0.5, 1.5, 1}},
		{"malformed statements", []int{100, 300}, func(f *tracker.Fleet) {
			time.Sleep(time.Millisecond)
			state(f, "r0", -5)
			state(f, "r0", 1_000_000)
		}, []float64{0.5, 1.5}},
		{"slow now", []int{100, 100}, func(f *tracker.Fleet) {
			time.Sleep(later)
			state(f, "r0", 100)
			state(f, "r1", 300)
		}, []float64{100. / 150, 300. / 150}},
		{"slow a while ago", []int{100, 100}, func(f *tracker.Fleet) {
			time.Sleep(later)
			state(f, "r0", 100)
			state(f, "r1", 300)
			time.Sleep(gauger.Fresh)
		}, []float64{100. / 150, 200. / 150}},
		{"forgotten", []int{100, 300}, func(*tracker.Fleet) { time.Sleep(gauger.Memory + time.Second) }, []float64{1, 1}},
		{"one forgotten, the other not", []int{100, 300}, func(f *tracker.Fleet) {
			time.Sleep(gauger.Memory + time.Second)
			state(f, "r0", 100)
		}, []float64{1, 1}},
		{"removed runners do not count", []int{100, 300, 1000}, func(f *tracker.Fleet) {
			f.Remove("r2", 1)
			time.Sleep(time.Second)
		}, []float64{0.5, 1.5, 1}},
		{"published by the leader", []int{0, 0}, func(f *tracker.Fleet) {
			f.AdoptPace("r0", gauger.Estimate{Mean: 100, Usual: 90}, time.Now())
			f.AdoptPace("r1", gauger.Estimate{Mean: 300, Usual: 270}, time.Now())
		}, []float64{0.5, 1.5}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := pacedFleet(tc.paces...)
				tc.events(f)
				if diff := gocmp.Diff(tc.want, paceFactors(f, len(tc.paces)), approximately); diff != "" {
					t.Errorf("factors (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a restarted runner that keeps the pace of its earlier incarnation, which may have
// run on another host, and against late statements of that one.
func TestRestartedRunnerBeginsWithoutStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &tracker.Fleet{Domain: "a"}
		old, restarted := tracker.Incarnation("r", 1000), tracker.Incarnation("r", 2000)
		f.Set(tracker.Runner{ID: old, Born: 1000, Service: "llm", Domain: "a", Revision: 1})
		f.Set(tracker.Runner{ID: "other", Service: "llm", Domain: "a", Revision: 1})
		state(f, old, 300)
		state(f, "other", 100)
		before := f.PaceFactor(old, time.Now())
		f.Set(tracker.Runner{ID: restarted, Born: 2000, Service: "llm", Domain: "a", Revision: 2})
		time.Sleep(time.Second)
		state(f, old, 300)
		_, known := f.Pace(restarted, time.Now())
		if got := f.PaceFactor(restarted, time.Now()); before != 1.5 || got != 1 || known {
			t.Errorf("factor %v before the restart and %v after it, pace known: %t", before, got, known)
		}
	})
}

// Guards against gauges of removed runners that accumulate over restarts, and that late responses
// or messages bring back.
func TestPaceOfARemovedRunnerIsForgotten(t *testing.T) {
	f := &tracker.Fleet{Domain: "a"}
	f.Set(tracker.Runner{ID: "r", Service: "llm", Domain: "a", Revision: 1})
	state(f, "r", 300)
	f.Remove("r", 1)
	check := func(when string) {
		t.Helper()
		if pace, known := f.Pace("r", time.Now()); known || pace.Latest.Percent != 0 {
			t.Errorf("%s the pace is %+v, known: %t", when, pace, known)
		}
	}
	check("after the removal")
	state(f, "r", 300)
	f.ObserveSlowPace("r", gauger.Statement{At: time.Now(), Percent: 300})
	f.AdoptPace("r", gauger.Estimate{Mean: 300, Usual: 300}, time.Now())
	check("after late statements")
	f.Set(tracker.Runner{ID: "r", Service: "llm", Domain: "a", Revision: 2})
	check("after the return of its row")
	state(f, "r", 70)
	if pace, known := f.Pace("r", time.Now()); !known || pace.Usual != 70 {
		t.Errorf("after its next statement the pace is %+v, known: %t", pace, known)
	}
}

// Guards against a slow runner that looks like the others: its own prompt, the work before it and
// its free slots take longer there.
func TestCandidatesAtTheirPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pacedFleet(50, 150)
		now := time.Now()
		for n := range 2 {
			for range 8 {
				f.Begin(fmt.Sprint("r", n), 400, now)
			}
		}
		f.SetPrefillBacklog("r0", 0, 235*time.Millisecond)
		candidates := f.Candidates(tracker.Demand{Copy: paceCopy, MaxGap: paceMaxGap, MaxPrefill: 225 * time.Millisecond, Service: "llm", Tokens: 1000}, now)
		slices.SortFunc(candidates, func(a, b router.Candidate) int { return cmp.Compare(a.Runner, b.Runner) })
		common := router.Candidate{Batch: 8, Running: 8, Resident: true}
		fast, slow := common, common
		// 3,200 tokens are 96 ms of prefill at the mean pace, 1,000 tokens 30 ms, a slot is free
		// after 12.5 ms, and the first token of a short prompt comes after 30 ms.
		fast.Runner, fast.UsualFactor, fast.Backlog, fast.Own = "r0", 0.5, 241250*time.Microsecond, 30*time.Millisecond
		slow.Runner, slow.UsualFactor, slow.Backlog, slow.Own = "r1", 1.5, 162750*time.Microsecond, 90*time.Millisecond
		// The prefill may take 262.5 ms and 187.5 ms, and 225 ms at the mean pace: the rest of the
		// maximum gap is for the tokens of an event. With this prompt it is 256.25 ms and 207.75 ms.
		slow.Congested = true
		round := gocmp.Transformer("round", func(d time.Duration) time.Duration { return d.Round(time.Microsecond) })
		if diff := gocmp.Diff([]router.Candidate{fast, slow}, candidates, round); diff != "" {
			t.Errorf("candidates (-want +got):\n%s", diff)
		}
	})
}

// Guards against a slow spell that is taken to last: of a wait of seconds, it covers the first part.
func TestLongWorkOutlastsASlowSpell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pacedFleet(100, 100)
		time.Sleep(10 * gauger.Fresh)
		state(f, "r0", 100)
		state(f, "r1", 300) // the means are 100 and 200, that of the service 150
		var got []time.Duration
		for _, tokens := range []int{1000, 5000, 30_000, 60_000} { // 30, 150, 900 and 1,800 ms
			r, _ := f.Get("r1")
			got = append(got, f.PrefillTimeAt(r, tokens, time.Now()).Round(time.Millisecond))
		}
		ms := time.Millisecond
		slow, _ := f.Get("r1")
		if run := f.RunTimeAt(slow, time.Now()).Round(ms); run != 133*ms { // 100 ms at the mean pace
			t.Errorf("run time %s over several runs", run)
		}
		if diff := gocmp.Diff([]time.Duration{60 * ms, 300 * ms, 1400 * ms, 2600 * ms}, got); diff != "" {
			t.Errorf("prefill times (-want +got):\n%s", diff)
		}
	})
}

// Guards against a model that is of the runners that were used most: their paces would count
// twice.
func TestLatencyModelIsOfTheMeanPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pacedFleet(50, 150)
		for n := range 4000 {
			id, factor := "r0", 0.5
			if n%10 == 0 {
				id, factor = "r1", 1.5
			}
			state(f, id, int(100*factor))
			tokens := 2000
			if n%2 == 0 {
				tokens = 100
			}
			first := time.Duration(factor * (0.040 + 40e-6*float64(tokens)) * float64(time.Second))
			run := f.Begin(id, tokens, time.Now())
			time.Sleep(first)
			run.First(time.Now())
			time.Sleep(time.Duration(factor * float64(100*time.Millisecond)))
			run.End(tracker.Done, time.Now())
		}
		base, prefill := f.Latency("llm")
		type model struct{ Base, Prefill, Run float64 }
		want := model{0.040, 40e-6, 0.100 + 0.040 + 40e-6*1050}
		if diff := gocmp.Diff(want, model{base, prefill, f.RunTime("llm").Seconds()}, cmpopts.EquateApprox(0.15, 0)); diff != "" {
			t.Errorf("model (-want +got):\n%s", diff)
		}
	})
}

// Guards against waits for a request slot that ignore how fast the runner is now, and against a run
// time that is that of a runner which was slow while it was learned.
func TestRequestSlotsAtAPace(t *testing.T) {
	now := time.Unix(1000, 0)
	var slots tracker.RequestSlots
	for range 300 {
		slots.Leave(slots.Enter(now), 2, 2.5, now.Add(500*time.Millisecond))
	}
	for range 3 {
		slots.Enter(now)
	}
	var got []time.Duration
	for _, pace := range []float64{0.5, 1, 2.5} {
		got = append(got, slots.Wait(2, pace).Round(time.Millisecond), slots.Excess(pace).Round(time.Millisecond))
	}
	ms := time.Millisecond
	if diff := gocmp.Diff([]time.Duration{100 * ms, 0, 200 * ms, 0, 500 * ms, 300 * ms}, got); diff != "" {
		t.Errorf("wait and excess at 0.5, 1 and 2.5 times the mean pace (-want +got):\n%s", diff)
	}
}

// Measures the cost of one decision among 90 runners, with and without stated paces.
func BenchmarkCandidates(b *testing.B) {
	for _, stated := range []bool{false, true} {
		b.Run(fmt.Sprint("stated=", stated), func(b *testing.B) {
			paces := make([]int, 90)
			for n := range paces {
				if stated {
					paces[n] = 70 + n
				}
			}
			f := pacedFleet(paces...)
			now := time.Now()
			d := tracker.Demand{Copy: placer.Copy{Model: "m", Adapter: "a", Version: 1}, MaxGap: paceMaxGap, MaxPrefill: 225 * time.Millisecond, Service: "llm", Tokens: 1000}
			b.ReportAllocs()
			for b.Loop() {
				f.Candidates(d, now)
			}
		})
	}
}

// Measures the cost of a statement.
func BenchmarkObservePace(b *testing.B) {
	f := pacedFleet(100)
	at := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(time.Millisecond)
		f.ObservePace("r0", gauger.Statement{At: at, Percent: 100})
	}
}
