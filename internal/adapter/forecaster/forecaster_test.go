package forecaster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/forecaster"
	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// thirty is a failure domain of 30 runners with 12 adapter slots and 16 request slots each.
	thirty = forecaster.Capacity{AdapterSlots: 360, LoadTime: 288 * time.Millisecond, RequestSlots: 16, RunTime: 1600 * time.Millisecond, Runners: 30}
)

const step = 50 * time.Millisecond

func version(name string, n int) placer.Copy {
	return placer.Copy{Model: "m", Adapter: name, Version: n}
}

func adapter(name string) placer.Copy { return version(name, 1) }

// A demand feeds a forecaster the requests for adapters that arrive evenly.
type demand struct {
	f        forecaster.Forecaster
	now      time.Time
	running  map[placer.Copy][]time.Time // when the requests in progress end
	due      map[placer.Copy]float64     // arrivals that are due
	requests map[placer.Copy]forecaster.Requests
}

func newDemand() *demand {
	return &demand{now: start, running: make(map[placer.Copy][]time.Time), due: make(map[placer.Copy]float64), requests: make(map[placer.Copy]forecaster.Requests)}
}

// run sends requests for a copy at a rate per second.
func (d *demand) run(c placer.Copy, rate float64, span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(step)
		for d.due[c] += rate * step.Seconds(); d.due[c] >= 1; d.due[c]-- {
			d.f.Arrive(c, d.now)
			d.running[c] = append(d.running[c], d.now.Add(thirty.RunTime))
		}
		for other, ends := range d.running {
			for len(ends) > 0 && !ends[0].After(d.now) {
				ends = ends[1:]
			}
			d.running[other] = ends
			r := d.requests[other]
			r.Running, r.Held, r.Ready = len(ends), max(1, r.Held), max(1, r.Ready)
			d.requests[other] = r
		}
		d.f.Observe(d.requests, d.now)
		for _, f := range d.f.Plan(d.requests, map[string]forecaster.Capacity{"m": thirty}, d.now) { // each copy that is requested is loaded at once
			r := d.requests[f.Copy]
			r.Held += f.Requested
			r.Ready = r.Held
			d.requests[f.Copy] = r
		}
	}
}

func ExampleForecaster_Plan() {
	var f forecaster.Forecaster
	popular := adapter("a1")
	now := start
	for range 15 { // 30 requests a second, each in progress for longer than that
		now = now.Add(33 * time.Millisecond)
		f.Arrive(popular, now)
	}
	requests := map[placer.Copy]forecaster.Requests{popular: {Running: 15, Held: 1, Ready: 1}}
	f.Observe(requests, now)
	for _, forecast := range f.Plan(requests, map[string]forecaster.Capacity{"m": thirty}, now) {
		fmt.Println(forecast.Copy, "needs", forecast.Needed, "requested", forecast.Requested)
	}
	// Output:
	// m/a1@1 needs 3 requested 2
}

// Guards against copies that come one at a time or late: an adapter with 28 requests a second of
// 1.6 s each has 45 in progress, for which 6 copies are needed.
func TestPopularAdapterGetsItsCopies(t *testing.T) {
	d := newDemand()
	popular := adapter("a1")
	var held []int
	for range 5 {
		d.run(popular, 28, 500*time.Millisecond)
		held = append(held, d.requests[popular].Held)
	}
	if held[1] < 4 || held[4] < 5 || held[4] > 7 {
		t.Errorf("copies after each half second: %v; want at least 4 after the first second, and 5 to 7 in the end", held)
	}
}

// Guards against copies for demand that is over when they have loaded: one caller sends 16
// requests for an adapter at once.
func TestBurstOfOneCallerRequestsNoCopy(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	d.due[c] = 16
	d.run(c, 0, 3*time.Second)
	if held := d.requests[c].Held; held != 1 {
		t.Errorf("%d copies", held)
	}
}

// Guards against copies for an adapter that is requested now and then.
func TestUnpopularAdapterGetsNoFurtherCopy(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	d.run(c, 3, 5*time.Second)
	if held := d.requests[c].Held; held != 1 {
		t.Errorf("%d copies", held)
	}
}

// Demand rises by half. Guards against overshooting, for which copies are loaded that nobody
// uses, and against a need that alternates.
func TestNeedFollowsRisingDemandWithoutOscillation(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	d.run(c, 28, 4*time.Second)
	before := d.requests[c].Held
	changes, last := 0, d.f.Needed(c, thirty, d.now)
	for range 80 {
		d.run(c, 42, step)
		if n := d.f.Needed(c, thirty, d.now); n != last {
			changes, last = changes+1, n
		}
	}
	if held := d.requests[c].Held; held < before+2 || held > before+4 || changes > 5 {
		t.Errorf("%d copies before, %d after; the need changed %d times", before, held, changes)
	}
}

// Guards against a forgotten need: requests wait for a copy and none arrives at a runner.
func TestWaitingRequestsNeedOneCopy(t *testing.T) {
	var f forecaster.Forecaster
	c := adapter("a1")
	f.Observe(map[placer.Copy]forecaster.Requests{c: {Waiting: 1}}, start)
	if n := f.Needed(c, thirty, start); n != 1 {
		t.Errorf("%d copies are needed", n)
	}
}

// Requests that wait for the first copy reserve capacity when it has loaded. Guards against
// counting them twice, and against learning of an adapter's popularity only when its first copy
// has loaded.
func TestWaitingRequestsCountOnce(t *testing.T) {
	var f forecaster.Forecaster
	c := adapter("a1")
	now := start
	for n := range 6 {
		now = now.Add(step)
		f.Observe(map[placer.Copy]forecaster.Requests{c: {Waiting: n + 1, Held: 1}}, now)
	}
	waited := f.Rate(c, now)
	if waited < 10 {
		t.Errorf("rate %.1f while 20 requests a second wait", waited)
	}
	for range 6 {
		f.Arrive(c, now)
	}
	if diff := cmp.Diff(waited, f.Rate(c, now)); diff != "" {
		t.Error("after the requests that waited reserved capacity:", diff)
	}
}

// Guards against a new version without copies: requests use it as soon as it is named, and the
// demand is that for the older version.
func TestNewVersionInheritsDemand(t *testing.T) {
	d := newDemand()
	old, successor := version("a1", 1), version("a1", 2)
	d.run(old, 28, 2*time.Second)
	rate := d.f.Rate(old, d.now)
	d.f.Succeed(old, successor, d.now)
	if diff := cmp.Diff(rate, d.f.Rate(successor, d.now)); diff != "" {
		t.Error("rate of the successor:", diff)
	}
	d.f.Observe(d.requests, d.now)
	if n := d.f.Needed(successor, thirty, d.now); n < 1 {
		t.Errorf("%d copies of the successor are needed", n)
	}
	if n := d.f.Needed(successor, thirty, d.now.Add(10*time.Second)); n != 0 {
		t.Errorf("%d copies of the successor are needed long after the last request", n)
	}
}

// Two adapters are popular in turn, a second each. Guards against evicting the copies of one for
// the other: both are needed again at once.
func TestAdaptersPopularInTurnKeepTheirCopies(t *testing.T) {
	d := newDemand()
	a, b := adapter("a"), adapter("b")
	for range 6 {
		d.run(a, 28, time.Second)
		d.run(b, 28, time.Second)
	}
	d.run(a, 28, 500*time.Millisecond)
	if d.f.MayEvict(b, d.requests[a].Held, a, d.now) { // both have as many
		t.Error("a copy of the other adapter may be evicted")
	}
	if !d.f.MayEvict(adapter("idle"), 1, a, d.now) {
		t.Error("a copy that is not used may not be evicted")
	}
}

// Guards against copies for demand that has just ended: a rate that is smoothed only once is still
// half of what it was when no request has arrived for 200 ms.
func TestRateFallsWhenRequestsStop(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	d.run(c, 100, 2*time.Second)
	d.run(c, 0, 200*time.Millisecond)
	if rate := d.f.Rate(c, d.now); rate > 15 {
		t.Errorf("rate %.1f a second, 200 ms after the last request", rate)
	}
}

// Guards against copies for requests that came in a burst: they run already, and a copy that is
// loaded now serves only those that arrive later.
func TestRequestsInProgressBeyondTheRateNeedNoCopies(t *testing.T) {
	var f forecaster.Forecaster
	c := adapter("a1")
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		f.Arrive(c, now)
	}
	f.Observe(map[placer.Copy]forecaster.Requests{c: {Running: 200, Held: 4, Ready: 4}}, now)
	if n := f.Needed(c, thirty, now); n > 7 { // twice the steady state, with the noise of the rate
		t.Errorf("%d copies are needed for 10 requests a second", n)
	}
}

// Guards against a need that alternates with the noise of random arrivals: copies would be
// requested and withdrawn in turn.
func TestNeedIsSteadyUnderRandomArrivals(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	rng := rand.New(rand.NewPCG(1, 1))
	d.run(c, 28, 2*time.Second)
	falls, last := 0, 0
	for range 400 {
		d.run(c, 28*rng.ExpFloat64(), step)
		n := d.f.Needed(c, thirty, d.now)
		if n < last {
			falls++
		}
		last = n
	}
	if falls > 25 {
		t.Errorf("the need fell %d times in 20 s", falls)
	}
}

// Guards against further copies of one adapter that take the slots of all others.
func TestCopiesOfOneAdapterAreLimited(t *testing.T) {
	d := newDemand()
	c := adapter("a1")
	d.run(c, 400, 8*time.Second)
	if held := d.requests[c].Held; held > 19 {
		t.Errorf("%d copies, in 360 adapter slots", held)
	}
}

func BenchmarkForecaster_Arrive(b *testing.B) {
	var f forecaster.Forecaster
	c := adapter("a1")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		f.Arrive(c, start.Add(time.Duration(n)*time.Millisecond))
	}
}

// A step over 400 tracked adapters.
func BenchmarkForecaster_Plan(b *testing.B) {
	var f forecaster.Forecaster
	rng := rand.New(rand.NewPCG(1, 1))
	requests := make(map[placer.Copy]forecaster.Requests)
	now := start
	zipf := rand.NewZipf(rng, 1.2, 1, 399)
	for n := range 4000 {
		rank := zipf.Uint64()
		if n < 400 {
			rank = uint64(n)
		}
		now = now.Add(time.Millisecond)
		c := adapter(fmt.Sprint("a", rank))
		f.Arrive(c, now)
		r := requests[c]
		r.Running, r.Held, r.Ready = r.Running+1, 1, 1
		requests[c] = r
	}
	capacities := map[string]forecaster.Capacity{"m": thirty}
	b.ReportAllocs()
	for b.Loop() {
		f.Observe(requests, now)
		f.Plan(requests, capacities, now)
	}
	if f.Tracked() != 400 {
		b.Errorf("%d adapters are tracked", f.Tracked())
	}
}
