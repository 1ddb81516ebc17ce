package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
	"github.com/sardinetiller/sardinetiller/internal/upstream/driver"
)

// A fakeEngine answers orders with a set outcome and counts them.
type fakeEngine struct {
	leaving      atomic.Bool
	orders       atomic.Int64
	outcome      keeper.Outcome
	unresponsive atomic.Bool
}

var _ caller.Engine = (*fakeEngine)(nil)

// A noQuarantine quarantines no request.
type noQuarantine struct{}

func (noQuarantine) Crashed(string, map[quarantiner.Digest]time.Duration) {}
func (noQuarantine) Refusal(*streamer.Call) *judge.Error                  { return nil }

func (f *fakeEngine) Cancel(context.Context, string, string) bool { return true }

func (f *fakeEngine) Order(context.Context, string, keeper.Action) caller.Answer {
	f.orders.Add(1)
	return caller.Answer{Outcome: f.outcome}
}

func (f *fakeEngine) RaiseFence(context.Context, string, uint64) bool { return true }

func (f *fakeEngine) Report(context.Context, string) (caller.Report, error) {
	if f.unresponsive.Load() {
		return caller.Report{}, judge.Judge(judge.DialFailed{})
	}
	return caller.Report{Engine: "e-1", Leaving: f.leaving.Load()}, nil
}

// A fakeOwnership owns every runner while owns is set.
type fakeOwnership struct{ mayOrder, owns atomic.Bool }

var _ driver.Ownership = (*fakeOwnership)(nil)

func (f *fakeOwnership) FencingToken(string) (uint64, bool) { return 1, f.owns.Load() }

func (f *fakeOwnership) RequestRelease(context.Context, string, string) (keeper.Handover, bool) {
	return keeper.Handover{}, true
}

func (f *fakeOwnership) MayOrder(string) bool { return f.mayOrder.Load() }

func (f *fakeOwnership) Owns(string) bool { return f.owns.Load() }

func (f *fakeOwnership) PreviousOwners() []string { return nil }

// newDriver returns a driver of one engine, with Tick called until the test ends.
func newDriver(t *testing.T, e *fakeEngine, ownership *fakeOwnership) *driver.Driver {
	ownership.mayOrder.Store(true)
	ownership.owns.Store(true)
	d := &driver.Driver{
		Quarantine: noQuarantine{},
		Domain:     "a", Engine: e, Evictor: func() keeper.Evictor { return keeper.LRU{} }, Logger: log.NewNopLogger(),
		Metrics: metrics.NewSet(), Self: "i-1", Ownership: ownership,
	}
	d.Declare(declared(), 8, 1)
	d.SetShare(parser.Weights{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute) // lets work in flight finish
	})
	go func() {
		for ctx.Err() == nil {
			d.Tick(ctx, time.Now())
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second)
	return d
}

func declared() []parser.Service {
	return []parser.Service{{
		Name: "llm", Type: parser.TypeEngine, Upstreams: []parser.Upstream{{Name: "r1", Domain: "a", Slots: 2, Batch: 4}},
	}}
}

// An operator removes an engine from the settings and adds it again. It accepts no
// new requests in between, and accepts them afterwards without a restart.
func TestEngineIsRemovedFromSettingsAndAddedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDriver(t, &fakeEngine{}, &fakeOwnership{})
		for _, services := range [][]parser.Service{declared(), nil, declared()} {
			d.Declare(services, 8, 1)
			time.Sleep(10 * time.Second)
			_, states, _ := d.Loads(0)
			if leaving := services == nil; states[0].Leaving != leaving || len(d.Names()) != len(services) {
				t.Errorf("with %d services: leaving %v, names %v", len(services), states[0].Leaving, d.Names())
			}
		}
	})
}

// serve runs one request and returns its error and its duration.
func serve(d *driver.Driver, deadline time.Duration) (*judge.Error, time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	call := &streamer.Call{ID: "c", Adapter: "x@1", Runner: "r1", Deadline: began.Add(deadline)}
	err := d.Serve(ctx, call, nil)
	return judge.As(err), time.Since(began)
}

func TestServeRefuses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  func(e *fakeEngine, ownership *fakeOwnership)
		reason judge.Reason
		within time.Duration
	}{
		// Loads keep failing. The request is refused after the third failure, long
		// before its deadline, and with the time to retry after.
		{"loads fail", func(e *fakeEngine, _ *fakeOwnership) { e.outcome = keeper.Failed }, judge.ReasonLoad, 5 * time.Second},
		// The engine reports that it is draining while a request is queued: the
		// request is refused at once, so that another runner can serve it.
		{"engine drains", func(e *fakeEngine, ownership *fakeOwnership) {
			ownership.mayOrder.Store(false)
			time.AfterFunc(time.Second, func() { e.leaving.Store(true) })
		}, judge.ReasonUpstream, 5 * time.Second},
		// The runner is reassigned to another instance while a request is queued.
		{"runner reassigned", func(_ *fakeEngine, ownership *fakeOwnership) {
			ownership.mayOrder.Store(false)
			time.AfterFunc(time.Second, func() { ownership.owns.Store(false) })
		}, judge.ReasonOwner, 2 * time.Second},
		// No order may be sent: the request is refused at its deadline, without a run.
		{"deadline", func(_ *fakeEngine, ownership *fakeOwnership) { ownership.mayOrder.Store(false) }, judge.ReasonDeadline, time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, ownership := &fakeEngine{}, &fakeOwnership{}
				d := newDriver(t, e, ownership)
				tc.fault(e, ownership)
				err, took := serve(d, time.Minute)
				if err.Verdict != judge.NotRun || err.Reason != tc.reason || took > tc.within {
					t.Errorf("%v after %s, want %s within %s", err, took, tc.reason, tc.within)
				}
				if !d.Idle() {
					t.Error("the driver is not idle after the request was refused")
				}
			})
		})
	}
}

// Without a valid lease no order is sent, even if requests wait for an adapter.
func TestNoOrderWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, ownership := &fakeEngine{}, &fakeOwnership{}
		d := newDriver(t, e, ownership)
		ownership.mayOrder.Store(false)
		err, _ := serve(d, 10*time.Second)
		if n := e.orders.Load(); n != 0 || err.Verdict != judge.NotRun {
			t.Errorf("%d orders were sent, and the request ended with %v", n, err)
		}
	})
}

// An engine stops responding. Its published state says that it accepts no new
// requests, and that it does again once the engine answers.
func TestUnresponsiveEngineIsPublishedAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		d := newDriver(t, e, &fakeOwnership{})
		leaving := func() bool {
			_, states, _ := d.Loads(0)
			return len(states) == 1 && states[0].Leaving
		}
		for _, unresponsive := range []bool{false, true, false} {
			e.unresponsive.Store(unresponsive)
			time.Sleep(10 * time.Second)
			if leaving() != unresponsive {
				t.Errorf("unresponsive %v: published as leaving %v", unresponsive, leaving())
			}
		}
	})
}
