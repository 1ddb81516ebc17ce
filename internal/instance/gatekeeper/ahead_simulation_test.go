package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A loadSimulation is one failure domain under load in virtual time: a leader that also receives
// all requests, its decisions as in production, and simulated runners and weight store. The
// leader knows the loads of the runners without delay, unlike the instances of a deployment.
type loadSimulation struct {
	t     *testing.T
	g     *Gatekeeper
	log   bytes.Buffer // guarded by mu
	ended chan struct{}

	mu       sync.Mutex
	runners  map[string]*loadRunner
	fetching int // loads from the weight store in progress
	loads    loadCounts
	results  []loadResult
	fence    uint64
	requests int
	orders   int
	pending  sync.WaitGroup
}

// loadCounts counts loads by what is loaded.
type loadCounts struct {
	First    int // of an adapter that no runner held
	Further  int // of one that another runner held
	Reloads  int // from the host memory of the runner
	Overfull int // orders to a runner without a free adapter slot
}

// A loadResult is the result of one request.
type loadResult struct {
	adapter string
	version int
	arrived time.Time
	first   time.Duration // until the first event; negative if the request failed
}

// A loadRunner is a simulated runner with request slots, adapter slots, and host memory.
type loadRunner struct {
	sim        *loadSimulation
	id         string
	slots      chan struct{}
	prefill    chan struct{} // holds one prompt; a mutex would stop virtual time
	seq        uint64
	readyAt    map[placer.Copy]time.Time
	using      map[placer.Copy]int
	heldBefore map[placer.Copy]bool
}

const (
	loadDomain       = "a"
	loadRunners      = 30
	loadAdapterSlots = 12
	loadRequestSlots = 16
	// storeLoads is how many loads the weight store serves at full speed: a third of 64, as one
	// of three failure domains is simulated.
	storeLoads   = 21
	storeLoad    = 288 * time.Millisecond
	hostLoad     = storeLoad / 10
	loadTarget   = 500 * time.Millisecond
	loadRunTime  = 1600 * time.Millisecond
	loadPrefill  = 25 * time.Millisecond
	loadAdapters = 10_000
)

func newLoadSimulation(t *testing.T, ahead configurer.Switch) *loadSimulation {
	s := &loadSimulation{t: t, runners: make(map[string]*loadRunner), ended: make(chan struct{})}
	g := newTestGatekeeper()
	g.Config.Load.Ahead = ahead
	g.Engine, g.Pool = s, &pooler.Pool{}
	g.Recorder = &recorder.Recorder{Metrics: metrics.NewSet(), Out: lockedWriter{s}}
	g.catalog.Store(&matcher.Catalog{Version: 1, Services: map[string]matcher.Service{
		"llm": {Name: "llm", Engine: &matcher.Engine{AdapterSlots: loadAdapterSlots, Models: []matcher.Model{{Name: "m"}}}},
	}})
	g.Forwarder = &forwarder.Forwarder{
		Instances: func() int { return 1 }, InstancesKnown: func() bool { return true }, RetryBurst: func() float64 { return 20 }, StoppingSoon: func() bool { return false }, Fleet: g.Fleet, LoadTime: g.LoadTime, ReloadTime: g.ReloadTime,
		NewestVersion: g.NewestVersion, RetriesPerRequest: 0.2, Placement: g, Quarantine: noQuarantine{}, Recorder: &recorder.Recorder{Metrics: metrics.NewSet(), Out: io.Discard},
		OnRetry: func(*judge.Error) {}, Upstream: s, RetryWindow: 10 * time.Second,
	}
	s.g = g
	for n := range loadRunners {
		s.addRunner(fmt.Sprintf("i-%02d", n), 1)
	}
	s.lead()
	ctx, stop := context.WithCancel(context.Background())
	go g.links[loadDomain].reportLoop(ctx)
	go g.Recorder.Run(ctx.Done())
	go g.logEstimates(ctx)
	go repeater.EveryNow(ctx, leadInterval, g.orderWake, func() {
		g.controllers[loadDomain].sendDue(ctx)
		pause(ctx, minLeadPause)
	})
	t.Cleanup(stop)
	return s
}

// lead gives the leader's lease to the instance.
func (s *loadSimulation) lead() {
	s.fence++
	d := s.g.controllers[loadDomain]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector = elector.Elector{Self: s.g.Config.ID, LeaseDuration: time.Hour}
	d.elector.ObserveRow(elector.Lease{Fence: s.fence - 1}, s.fence, uptime())
	w, ok := d.elector.Next(uptime())
	if !ok {
		s.t.Fatal("the lease cannot be acquired")
	}
	d.elector.WriteSucceeded(w, s.fence+1, uptime())
}

// addRunner adds a runner without adapters.
func (s *loadSimulation) addRunner(id string, revision uint64) {
	r := &loadRunner{
		sim: s, id: id, slots: make(chan struct{}, loadRequestSlots), prefill: make(chan struct{}, 1), readyAt: make(map[placer.Copy]time.Time),
		using: make(map[placer.Copy]int), heldBefore: make(map[placer.Copy]bool),
	}
	s.mu.Lock()
	s.runners[id] = r
	s.mu.Unlock()
	s.g.setRunner(tracker.Runner{ID: id, Service: "llm", Domain: loadDomain, Slots: loadRequestSlots, Models: []string{"m"}, Revision: revision}, "test")
}

// removeRunner removes a runner; the requests that run there go on.
func (s *loadSimulation) removeRunner(id string) {
	s.mu.Lock()
	delete(s.runners, id)
	s.mu.Unlock()
	s.g.removeRunnerNow(id, 1, "test", whyPublished)
}

// Order implements Engine.
func (s *loadSimulation) Order(_ context.Context, to tracker.Runner, o placer.Order, _ string, _ uint64) (placer.Outcome, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runners[to.ID]
	s.orders++
	switch {
	case !ok:
		return placer.Unreached, nil
	case o.Expected != r.seq:
		return placer.Mismatch, nil
	case o.Unload && r.using[o.Copy] > 0:
		return placer.Refused, nil
	case o.Unload:
		r.seq++
		delete(r.readyAt, o.Copy)
		return placer.Applied, nil
	case len(r.readyAt) >= loadAdapterSlots:
		s.loads.Overfull++
		return placer.Refused, nil
	}
	r.seq++
	r.load(o.Copy)
	return placer.Accepted, nil
}

// load begins a load. The caller holds the simulation's lock.
func (r *loadRunner) load(c placer.Copy) {
	s := r.sim
	switch {
	case r.heldBefore[c]:
		s.loads.Reloads++
		r.readyAt[c] = time.Now().Add(hostLoad)
		return
	case s.copies(c) > 0:
		s.loads.Further++
	default:
		s.loads.First++
	}
	r.heldBefore[c] = true
	s.fetching++
	took := max(storeLoad, storeLoad*time.Duration(s.fetching)/storeLoads)
	r.readyAt[c] = time.Now().Add(took)
	time.AfterFunc(took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fetching--
	})
}

// copies returns how many runners hold or load a copy. The caller holds the lock.
func (s *loadSimulation) copies(c placer.Copy) int {
	n := 0
	for _, r := range s.runners {
		if _, ok := r.readyAt[c]; ok {
			n++
		}
	}
	return n
}

// ready returns how many runners have loaded a copy.
func (s *loadSimulation) ready(c placer.Copy) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runners {
		if at, ok := r.readyAt[c]; ok && !time.Now().Before(at) {
			n++
		}
	}
	return n
}

// Probe implements Engine.
func (s *loadSimulation) Probe(context.Context, tracker.Runner) tracker.ProbeResult {
	return tracker.Unknown
}

// Reaches implements Engine.
func (*loadSimulation) Reaches(context.Context, tracker.Runner) bool { return true }

// Report implements Engine.
func (s *loadSimulation) Report(_ context.Context, from tracker.Runner) (placer.Report, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	report := placer.Report{Models: []string{"m"}}
	r, ok := s.runners[from.ID]
	if !ok {
		return report, io.ErrUnexpectedEOF
	}
	report.Sequence = r.seq
	for c, at := range r.readyAt {
		if time.Now().Before(at) {
			report.Incoming = append(report.Incoming, c)
		} else {
			report.Resident = append(report.Resident, c)
		}
	}
	return report, nil
}

// Send implements forwarder.Upstream.
func (s *loadSimulation) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
	c := a.Request.Copy
	s.mu.Lock()
	r, ok := s.runners[a.Runner.ID]
	if !ok {
		s.mu.Unlock()
		return nil, judge.DialFailed{Err: io.ErrUnexpectedEOF}
	}
	if at, held := r.readyAt[c]; !held || time.Now().Before(at) {
		s.mu.Unlock()
		return &forwarder.Reply{Status: 421, NotRun: true, Misdirected: true, Body: bytes.NewReader(nil), Close: func(bool) {}}, nil
	}
	r.using[c]++
	s.mu.Unlock()
	end := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.using[c]--
	}
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		end()
		return nil, judge.Broken{Written: 1, Err: ctx.Err()}
	}
	r.prefill <- struct{}{}
	pause(ctx, loadPrefill)
	<-r.prefill
	return &forwarder.Reply{
		Status: 200, Body: &loadBody{ctx: ctx, began: time.Now()},
		Close: func(bool) {
			<-r.slots
			end()
		},
		BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
	}, nil
}

// A loadBody is a stream of events for loadRunTime.
type loadBody struct {
	ctx    context.Context
	began  time.Time
	events int
}

// Read implements io.Reader.
func (b *loadBody) Read(p []byte) (int, error) {
	if b.events > 0 {
		pause(b.ctx, 200*time.Millisecond)
	}
	if b.ctx.Err() != nil {
		return 0, context.Cause(b.ctx)
	}
	if time.Since(b.began) >= loadRunTime {
		return 0, io.EOF
	}
	b.events++
	return copy(p, fmt.Sprintf("id: %d\n\n", b.events)), nil
}

// A loadSink records when the first event arrived.
type loadSink struct{ first time.Time }

func (*loadSink) Complete(*forwarder.Reply, []byte) error { return nil }
func (s *loadSink) Event([]byte) error {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	return nil
}
func (*loadSink) Head(*forwarder.Reply) error { return nil }

// A noQuarantine suspects no request.
type noQuarantine struct{}

func (noQuarantine) Quarantined(quarantiner.Digest) (time.Duration, bool) { return 0, false }
func (noQuarantine) ReportBroken(quarantiner.Digest, []quarantiner.Digest, tracker.Runner, time.Time) {
}
func (noQuarantine) QuarantinesParts() bool                              { return false }
func (noQuarantine) ReportCompleted(quarantiner.Digest)                  {}
func (noQuarantine) Down(string) bool                                    { return false }
func (noQuarantine) Trial(quarantiner.Digest, []quarantiner.Digest) bool { return false }
func (noQuarantine) ReportSound([]quarantiner.Digest)                    {}
func (noQuarantine) Suspects() bool                                      { return false }

// A lockedWriter writes the log of a simulation.
type lockedWriter struct{ sim *loadSimulation }

// Write implements io.Writer.
func (w lockedWriter) Write(line []byte) (int, error) {
	w.sim.mu.Lock()
	defer w.sim.mu.Unlock()
	return w.sim.log.Write(line)
}

// request sends one request for an adapter.
func (s *loadSimulation) request(adapter string) {
	s.requests++
	id := fmt.Sprint(s.requests)
	version := s.g.NewestVersion("m", adapter)
	now := time.Now()
	route := &matcher.Route{Kind: matcher.Streaming, LatencyTarget: loadTarget, MaxExecutions: 2, MaxGap: 300 * time.Millisecond, Resumable: true, Timeout: 12 * time.Second}
	r := &forwarder.Request{
		ID: id, Arrived: now, Deadline: now.Add(12 * time.Second), Copy: placer.Copy{Model: "m", Adapter: adapter, Version: version},
		Engine: &matcher.Engine{}, Route: route, Service: "llm", Tokens: 800,
	}
	s.pending.Go(func() {
		var sink loadSink
		err := s.g.Forwarder.Forward(context.Background(), r, &sink)
		result := loadResult{adapter: adapter, version: version, arrived: now, first: sink.first.Sub(now)}
		if err != nil || sink.first.IsZero() {
			result.first = -1
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results = append(s.results, result)
	})
}

// run sends requests at a rate for a time. pick returns the adapter of each.
func (s *loadSimulation) run(span time.Duration, rng *rand.Rand, rate func(at time.Duration) float64, pick func(at time.Duration) string) {
	began := time.Now()
	for {
		at := time.Since(began)
		if at >= span {
			return
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate(at) * float64(time.Second)))
		s.request(pick(time.Since(began)))
	}
}

// inTime returns the fraction of the requests for which keep holds that had their first event in
// time.
func (s *loadSimulation) inTime(keep func(r loadResult) bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	good, n := 0, 0
	for _, r := range s.results {
		if !keep(r) {
			continue
		}
		n++
		if r.first >= 0 && r.first <= loadTarget {
			good++
		}
	}
	return float64(good) / float64(max(1, n))
}

// finish waits for the requests in progress.
func (s *loadSimulation) finish() { s.pending.Wait() }

// A popularity draws adapters. The most popular ones are replaced at an interval by others that
// were not requested before.
type popularity struct {
	interval time.Duration
	zipf     *rand.Zipf
}

// popularAdapters is how many adapters are replaced at once.
const popularAdapters = 20

func newPopularity(rng *rand.Rand, interval time.Duration) *popularity {
	return &popularity{interval: interval, zipf: rand.NewZipf(rng, 1.2, 1, loadAdapters-1)}
}

// adapter returns the adapter of a rank at a time.
func (p *popularity) adapter(rank uint64, at time.Duration) string {
	if rank >= popularAdapters {
		return fmt.Sprint("a", rank)
	}
	return fmt.Sprint("p", int64(at/p.interval), "-", rank)
}

// draw returns the adapter of a request at a time.
func (p *popularity) draw(at time.Duration) string { return p.adapter(p.zipf.Uint64(), at) }

// counts returns the loads so far.
func (s *loadSimulation) counts() loadCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// timeUntilEnough measures, for each change of the popular adapters within a time, how long it
// takes until the most popular one has enough copies: the whole interval if it never has. done is
// closed when the time is over; the times are complete then.
func (s *loadSimulation) timeUntilEnough(p *popularity, span time.Duration) (enough []time.Duration, done chan struct{}) {
	enough, done = make([]time.Duration, span/p.interval), make(chan struct{})
	go func() {
		defer close(done)
		for n := range enough {
			began := time.Now()
			popular := placer.Copy{Model: "m", Adapter: p.adapter(0, time.Duration(n)*p.interval), Version: 1}
			for time.Since(began) < p.interval {
				if enough[n] == 0 && s.ready(popular) >= enoughCopies {
					enough[n] = time.Since(began)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if enough[n] == 0 {
				enough[n] = p.interval
			}
		}
	}()
	return enough, done
}

// forget drops what the instance has learned, as another instance that begins to lead knows
// nothing.
func (s *loadSimulation) forget() {
	d := s.g.controllers[loadDomain]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ahead = aheadCopies{}
}

// holders returns the runners that have loaded a copy, in order of ID.
func (s *loadSimulation) holders(c placer.Copy) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, r := range s.runners {
		if at, ok := r.readyAt[c]; ok && !time.Now().Before(at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// loseLease ends the leader's lease.
func (s *loadSimulation) loseLease() {
	d := s.g.controllers[loadDomain]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector = elector.Elector{Self: s.g.Config.ID, LeaseDuration: time.Hour}
}

// nameVersion names the newest version of an adapter.
func (s *loadSimulation) nameVersion(adapter string, version int) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.adapterVersions[adapterKey{"m", adapter}] = version
}

// ordered returns the number of orders that reached a runner.
func (s *loadSimulation) ordered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}
