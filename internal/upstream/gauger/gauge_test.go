package gauger_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func observe(g *gauger.Gauge, after time.Duration, percent int) {
	g.Observe(gauger.Statement{At: start.Add(after), Percent: percent})
}

func ExampleGauge() {
	var g gauger.Gauge
	for n, percent := range []int{100, 100, 250} {
		observe(&g, time.Duration(n)*600*time.Millisecond, percent)
	}
	for _, after := range []time.Duration{1200, 1500, 1800} {
		fmt.Println(g.Expected(start.Add(after * time.Millisecond)))
	}
	fmt.Println(g.Estimate(start.Add(1200 * time.Millisecond)))
	// Output:
	// 250 true
	// 200 true
	// 150 true
	// {150 100} true
}

// Guards against a passing slowness that becomes the usual pace, as a busy runner makes hundreds of
// statements during one.
func TestUsualPaceIsNotMovedByPassingSlowness(t *testing.T) {
	for _, perSecond := range []int{2, 10, 300} {
		rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
		var g gauger.Gauge
		pace, draw, wrong, asked := 170, -1, 0, 0
		for after := time.Duration(0); after < 5*time.Minute; after += time.Second / time.Duration(perSecond) {
			if n := int(after / gauger.Fresh); n != draw {
				draw, pace = n, 170
				if rng.IntN(100) < 15 {
					pace = 425
				}
			}
			observe(&g, after, pace)
			if e, ok := g.Estimate(start.Add(after)); ok && after > 10*time.Second {
				asked++
				if e.Usual != 170 {
					wrong++
				}
			}
		}
		if share := float64(wrong) / float64(asked); share > 0.01 {
			t.Errorf("%d statements a second: the usual pace is wrong %.3f of the time", perSecond, share)
		}
	}
}

// Guards against a runner that is avoided, or preferred, for something that it stated long ago, and
// against statements that overtake each other.
func TestEstimate(t *testing.T) {
	type pace struct {
		Expected, Mean, Usual float64
		OK                    bool
	}
	reported := gauger.Estimate{Mean: 200, Usual: 180}
	for _, tc := range []struct {
		name   string
		events func(g *gauger.Gauge)
		at     time.Duration
		want   pace
	}{
		{"no statement", func(*gauger.Gauge) {}, 0, pace{}},
		{"one", func(g *gauger.Gauge) { observe(g, 0, 70) }, 0, pace{70, 70, 70, true}},
		{"an older one arrives later", func(g *gauger.Gauge) { observe(g, time.Second, 70); observe(g, 0, 250) }, time.Second, pace{70, 70, 70, true}},
		{"two, of which the lower is the usual one", func(g *gauger.Gauge) { observe(g, 0, 175); observe(g, time.Second, 70) }, time.Second, pace{70, 122.5, 70, true}},
		{"a second one within the same slowness is no further sample", func(g *gauger.Gauge) { observe(g, 0, 100); observe(g, 100*time.Millisecond, 200) }, 100 * time.Millisecond, pace{200, 100, 100, true}},
		{"fresh by half", func(g *gauger.Gauge) { observe(g, 0, 100); observe(g, time.Second, 300) }, 1300 * time.Millisecond, pace{250, 200, 100, true}},
		{"not fresh any more", func(g *gauger.Gauge) { observe(g, 0, 100); observe(g, time.Second, 300) }, 2 * time.Second, pace{200, 200, 100, true}},
		{"of the future, as clocks differ", func(g *gauger.Gauge) { observe(g, time.Second, 70) }, 0, pace{70, 70, 70, true}},
		{"at the end of the memory", func(g *gauger.Gauge) { observe(g, 0, 250) }, gauger.Memory, pace{250, 250, 250, true}},
		{"forgotten", func(g *gauger.Gauge) { observe(g, 0, 250) }, gauger.Memory + 1, pace{}},
		{"samples are forgotten one after the other", func(g *gauger.Gauge) { observe(g, 0, 250); observe(g, gauger.Memory+1, 70) }, gauger.Memory + 1, pace{70, 70, 70, true}},
		{"reported", func(g *gauger.Gauge) { g.Adopt(reported, start) }, time.Second, pace{200, 200, 180, true}},
		{"reported outweighs few samples", func(g *gauger.Gauge) { g.Adopt(reported, start); observe(g, 0, 70) }, time.Second, pace{200, 200, 180, true}},
		{"many samples outweigh reported", func(g *gauger.Gauge) {
			g.Adopt(reported, start)
			for n := range time.Duration(12) {
				observe(g, n*time.Second, 70)
			}
		}, 12 * time.Second, pace{70, 70, 70, true}},
		{"reported is forgotten", func(g *gauger.Gauge) { g.Adopt(reported, start) }, gauger.Memory + 1, pace{}},
		{"an older report arrives later", func(g *gauger.Gauge) {
			g.Adopt(reported, start.Add(time.Second))
			g.Adopt(gauger.Estimate{Mean: 1, Usual: 1}, start)
		}, time.Second, pace{200, 200, 180, true}},
		{"not valid", func(g *gauger.Gauge) {
			for n, percent := range []int{0, -1, 10_001, math.MaxInt, math.MinInt} {
				observe(g, time.Duration(n), percent)
			}
			for _, v := range []float64{0, -1, 10_001, math.Inf(1), math.NaN()} {
				g.Adopt(gauger.Estimate{Mean: v, Usual: 100}, start)
				g.Adopt(gauger.Estimate{Mean: 100, Usual: v}, start)
			}
		}, 0, pace{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var g gauger.Gauge
			tc.events(&g)
			now := start.Add(tc.at)
			expected, ok := g.Expected(now)
			e, known := g.Estimate(now)
			if ok != known {
				t.Errorf("Expected is known %t, Estimate %t", ok, known)
			}
			if diff := cmp.Diff(tc.want, pace{expected, e.Mean, e.Usual, ok}, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("pace (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a gauge that grows with the number of statements.
func TestSamplesAreBounded(t *testing.T) {
	var g gauger.Gauge
	n := time.Duration(0)
	step := func() { n++; observe(&g, n*time.Second/3, 100+int(n%7)) }
	for range 1000 {
		step()
	}
	if allocations := testing.AllocsPerRun(1000, step); allocations > 0 {
		t.Errorf("a statement allocates %.2f times", allocations)
	}
}

// Guards against a usual pace of 2.5 times the real one at an instance that rarely sends requests
// to a runner: it is sent the slow statements only, twice during each passing slowness.
func TestPublishedSlownessIsNoSample(t *testing.T) {
	var g gauger.Gauge
	at := time.Unix(0, 0)
	reported := gauger.Estimate{Mean: 150, Usual: 100}
	g.Adopt(reported, at)
	for range 20 {
		at = at.Add(gauger.Fresh / 2)
		g.ObserveSlow(gauger.Statement{At: at, Percent: 250})
	}
	now := at.Add(gauger.Fresh / 2)
	if e, ok := g.Estimate(now); !ok || e != reported {
		t.Errorf("estimate %+v, %t, want %+v", e, ok, reported)
	}
	if expected, _ := g.Expected(now); expected != 200 {
		t.Errorf("expected pace %v, want 200: half-way from the latest statement to the mean", expected)
	}
	if g.ObserveSlow(gauger.Statement{At: at, Percent: 300}) || g.ObserveSlow(gauger.Statement{At: now}) {
		t.Error("a statement that is not later than the latest, or not valid, is recorded")
	}
}
