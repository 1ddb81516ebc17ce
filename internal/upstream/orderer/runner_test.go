package orderer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/check/seeder"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/upstream/orderer"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var start = time.Unix(1000, 0)

func newRunner(slots int) *orderer.Runner {
	k := &keeper.Keeper{Capacity: slots, Policy: keeper.LRU{}, Self: "b"}
	k.Acquire(1, nil)
	r := &orderer.Runner{Name: "r", Batch: 4, Keeper: k, Queue: &admitter.Queue{Limit: 50, Share: 1}}
	r.Warm()
	return r
}

func TestNeedsGroupWaitingRequests(t *testing.T) {
	r := newRunner(2)
	for i, adapter := range []string{"x@1", "x@1", "y@1"} {
		_, _ = r.Queue.Offer(admitter.Item{ID: fmt.Sprint(i), Adapter: adapter, Arrived: start})
	}
	want := []loader.Need{
		{Runner: "r", Adapter: "x@1", Waiting: 2, Oldest: start},
		{Runner: "r", Adapter: "y@1", Waiting: 1, Oldest: start},
	}
	if diff := cmp.Diff(want, r.Needs()); diff != "" {
		t.Error(diff)
	}
	r.Keeper.NextOrder("x@1", start)
	if diff := cmp.Diff(want[1:], r.Needs()); diff != "" {
		t.Error(diff)
	}
}

// A restarted engine first gets a quarter of its batch, and more with each finished
// request.
func TestRestartedEngineRampsUp(t *testing.T) {
	r := newRunner(1)
	_, _ = r.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e1"}, false)
	_, _ = r.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: start, Engine: "e2"}, false)
	if r.Ramp() != 0.25 {
		t.Errorf("ramp after restart = %v, want 0.25", r.Ramp())
	}
	order := r.Keeper.NextOrder("x@1", start)
	_ = r.Keeper.Finish(order, keeper.Done, start)
	for i := range 4 {
		_, _ = r.Queue.Offer(admitter.Item{ID: fmt.Sprint(i), Adapter: "x@1"})
	}
	starts := r.Starts(start)
	if len(starts) != 1 {
		t.Fatalf("started %d, want 1", len(starts))
	}
	r.Finish(starts[0].Handle)
	if got := len(r.Starts(start)); got != 2 {
		t.Errorf("then started %d, want 2", got)
	}
}

// An engine is the actual state of the simulated engine: its resident copies and
// running requests.
type engine struct {
	starts   int
	resident map[string]bool
	running  map[string]int
}

// A model runs a Runner against a simulated engine with random events.
type model struct {
	engine   engine
	now      time.Time
	orders   []keeper.Action // sent, no response yet
	delayed  []keeper.Action // timed out, may still be carried out
	runner   *orderer.Runner
	arrived  int
	started  []orderer.Start
	unpinned bool // disables the safeguard: running requests are not pinned
}

// carryOut has the engine carry out an order. It returns an error if a copy is
// evicted while a request runs on it, which violates the invariant.
func (m *model) carryOut(action keeper.Action) error {
	switch a := action.(type) {
	case keeper.Load:
		m.engine.resident[a.Handle.String()] = true
	case keeper.Evict:
		if n := m.engine.running[a.Handle.String()]; n > 0 {
			return fmt.Errorf("%s was evicted under %d requests", a.Handle, n)
		}
		delete(m.engine.resident, a.Handle.String())
	}
	return nil
}

func (m *model) arrive(t *rapid.T) {
	m.arrived++
	adapter := rapid.SampledFrom([]string{"x@1", "y@1", "z@1"}).Draw(t, "adapter")
	_, _ = m.runner.Queue.Offer(admitter.Item{ID: fmt.Sprint(m.arrived), Adapter: adapter, Arrived: m.now})
	for _, s := range m.runner.Starts(m.now) {
		m.start(s)
	}
}

// start runs a request, or has the engine refuse it if the copy is not resident.
func (m *model) start(s orderer.Start) {
	if !m.engine.resident[s.Handle.String()] {
		m.runner.Finish(s.Handle)
		return
	}
	m.engine.running[s.Handle.String()]++
	if m.unpinned {
		m.runner.Keeper.Unpin(s.Handle)
	}
	m.started = append(m.started, s)
}

func (m *model) finish() {
	if len(m.started) == 0 {
		return
	}
	handle := m.started[0].Handle
	m.started = m.started[1:]
	m.engine.running[handle.String()]--
	m.runner.Finish(handle)
}

func (m *model) sendOrders() {
	for _, need := range m.runner.Needs() {
		if action := m.runner.Keeper.NextOrder(need.Adapter, m.now); action != nil {
			m.orders = append(m.orders, action)
		}
	}
}

// answer ends an order: done, refused, or unanswered and carried out now, later or
// never.
func (m *model) answer(t *rapid.T) error {
	if len(m.orders) == 0 {
		return nil
	}
	order := m.orders[0]
	m.orders = m.orders[1:]
	var err error
	outcome := keeper.Lost
	switch rapid.SampledFrom([]string{"done", "done", "failed", "lost", "delayed"}).Draw(t, "outcome") {
	case "done":
		outcome = keeper.Done
		err = m.carryOut(order)
	case "failed":
		outcome = keeper.Failed
	case "lost":
		err = m.carryOut(order)
	case "delayed":
		m.delayed = append(m.delayed, order)
	}
	if err != nil {
		return err
	}
	return m.runner.Keeper.Finish(order, outcome, m.now)
}

func (m *model) report() error {
	resident := slices.Sorted(maps.Keys(m.engine.resident))
	_, err := m.runner.Reconcile(keeper.Report{LeaseValid: true, RequestedAt: m.now, Engine: fmt.Sprint("e", m.engine.starts), Resident: resident}, false)
	return err
}

func (m *model) step(t *rapid.T) error {
	m.now = m.now.Add(time.Millisecond)
	switch rapid.SampledFrom([]string{"arrive", "want", "answer", "report", "finish", "delayed", "restart"}).Draw(t, "event") {
	case "arrive":
		m.arrive(t)
	case "want":
		m.sendOrders()
	case "answer":
		return m.answer(t)
	case "report":
		return m.report()
	case "finish":
		m.finish()
	case "restart":
		m.engine.starts++
		clear(m.engine.resident)
		for len(m.started) > 0 { // the engine drops its running requests
			m.finish()
		}
	case "delayed":
		if len(m.delayed) > 0 {
			order := m.delayed[0]
			m.delayed = m.delayed[1:]
			return m.carryOut(order)
		}
	}
	return nil
}

func newModel(unpinned bool) *model {
	return &model{
		engine: engine{resident: make(map[string]bool), running: make(map[string]int)},
		now:    start, runner: newRunner(2), unpinned: unpinned,
	}
}

// Requests start and end while loads and evictions are answered, refused, lost, or
// carried out long after their time-out. No adapter may be evicted while a request
// runs on it, whatever the order of events.
func TestPinnedCopyIsNeverEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(false)
		for range 200 {
			if err := m.step(t); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Checks that the model above detects the eviction of a copy in use if running
// requests are not pinned.
func TestModelDetectsMissingPin(t *testing.T) {
	m := newModel(true)
	for _, adapter := range []string{"x@1", "y@1", "z@1"} {
		_, _ = m.runner.Queue.Offer(admitter.Item{ID: adapter, Adapter: adapter, Arrived: m.now})
	}
	var violation error
	for range 20 {
		m.now = m.now.Add(time.Millisecond)
		m.sendOrders()
		for _, order := range m.orders {
			if err := m.carryOut(order); err != nil {
				violation = err
			}
			_ = m.runner.Keeper.Finish(order, keeper.Done, m.now)
		}
		m.orders = nil
		for _, s := range m.runner.Starts(m.now) {
			m.start(s)
		}
	}
	if violation == nil {
		t.Error("an eviction under a running request was not reported")
	}
}
