package generator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// An Engine is a stand-in for a model engine. Its fields are set before Run.
type Engine struct {
	Batch    int  // maximum number of requests in a step
	Fencing  bool // whether orders with a lower fencing token than seen before are rejected
	Listener net.Listener
	Name     string
	Slots    int
	Step     time.Duration
	Weights  string // address of the weight store; if empty, loads take no time

	mu           sync.Mutex
	record       Record
	faults       Faults
	highestFence uint64
	loading      map[string]bool
	history      []timedReport // oldest first
	resident     map[string]bool
	running      []*sequence
	starts       int
	waiting      []*sequence
}

// A timedReport is a report that is returned once it is older than the lag.
type timedReport struct {
	at     time.Time
	report Report
}

// reportInterval is the minimum time between two recorded reports.
const reportInterval = 50 * time.Millisecond

// Record returns what the engine has executed so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Batch = e.Batch
	record.Runs = slices.Clone(e.record.Runs)
	return record
}

// Run serves until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	e.mu.Lock()
	e.restart()
	e.mu.Unlock()
	go e.runSteps(ctx)
	r := router.New()
	r.POST(PathChat, e.handleCompletion)
	r.POST(PathCompletions, e.handleCompletion)
	r.POST(PathCancel, e.handleCancel)
	r.POST(PathEvict, e.handleOrder(e.evict))
	r.POST(PathFence, e.handleOrder(e.acceptFence))
	r.POST(PathLoad, e.handleOrder(e.load))
	r.GET(PathReport, func(c *fasthttp.RequestCtx) { listener.WriteJSON(c, fasthttp.StatusOK, e.report()) })
	r.GET(PathBooks, func(c *fasthttp.RequestCtx) { listener.WriteJSON(c, fasthttp.StatusOK, e.Record()) })
	r.POST(PathControl, e.handleControl)
	server := listener.Server{Listener: e.Listener, Handler: r.Handler}
	return server.Run(ctx)
}

// Set replaces the faults to inject.
func (e *Engine) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && e.record.LeavingSince.IsZero() {
		e.record.LeavingSince = time.Now()
	}
	if f.Restart {
		f.Restart = false
		e.restart()
	}
	e.faults = f
}

// handleCancel aborts a request if it is running or queued.
func (e *Engine) handleCancel(c *fasthttp.RequestCtx) {
	var received Cancel
	if !listener.DecodeJSON(c, &received) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		if e.record.Runs[s.recordIndex].Request == received.Request {
			s.abort()
		}
	}
}

func (e *Engine) handleControl(c *fasthttp.RequestCtx) {
	var f Faults
	if !listener.DecodeJSON(c, &f) {
		return
	}
	e.Set(f)
}

// evict removes an adapter and aborts the requests that use it, as a real engine
// does on such an order.
func (e *Engine) evict(o Order) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident[o.Handle] {
		return fasthttp.StatusNotFound, "not resident"
	}
	delete(e.resident, o.Handle)
	e.record.Evictions++
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		if s.handle == o.Handle && !s.ended() {
			run := e.record.Runs[s.recordIndex]
			e.record.EvictedInUse = append(e.record.EvictedInUse, InUseEviction{
				Handle: o.Handle, Fence: o.Fence, Marker: run.Marker, RequestAge: time.Since(run.AcceptedAt),
			})
			s.abort()
		}
	}
	return fasthttp.StatusOK, ""
}

// load loads an adapter. It occupies a slot while the weights are fetched.
func (e *Engine) load(o Order) (int, string) {
	if status, message := e.reserve(o); status != fasthttp.StatusAccepted {
		return status, message
	}
	err := e.fetch(adapterOf(o.Handle))
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loading[o.Handle] {
		return fasthttp.StatusServiceUnavailable, "the engine restarted"
	}
	delete(e.loading, o.Handle)
	if e.faults.Fail > 0 {
		e.faults.Fail--
		err = fmt.Errorf("load failed")
	}
	if err != nil {
		return fasthttp.StatusServiceUnavailable, err.Error()
	}
	e.resident[o.Handle] = true
	e.record.Loads++
	return fasthttp.StatusOK, ""
}

func (e *Engine) fetch(adapter string) error {
	if e.Weights == "" {
		return nil
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + e.Weights + "/weights/" + adapter)
	var r requester.Requester
	status, _, observation := r.ReadAll(context.Background(), e.Weights, request)
	if observation != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("weight store: status %d, %v", status, observation)
	}
	return nil
}

// handleOrder decodes an order, checks its fencing token and executes it.
func (e *Engine) handleOrder(execute func(Order) (int, string)) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		var o Order
		if !listener.DecodeJSON(c, &o) {
			return
		}
		e.mu.Lock()
		stall := e.faults.Stall
		e.mu.Unlock()
		time.Sleep(stall)
		if !e.checkFence(o.Fence) {
			c.Error("old fencing number", fasthttp.StatusPreconditionFailed)
			return
		}
		status, message := execute(o)
		if e.dropResponse() {
			_ = c.Conn().Close()
			return
		}
		listener.WriteJSON(c, status, map[string]string{"message": message})
	}
}

func (e *Engine) checkFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fencing && fence < e.highestFence {
		e.record.StaleOrders++
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

func (e *Engine) dropResponse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Lose == 0 {
		return false
	}
	e.faults.Lose--
	return true
}

func (e *Engine) acceptFence(Order) (int, string) { return fasthttp.StatusOK, "" }

// report returns the newest recorded report that is older than the lag, if one is
// set.
func (e *Engine) report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Lag == 0 || len(e.history) == 0 {
		return e.currentReport()
	}
	until := time.Now().Add(-e.faults.Lag)
	report := e.history[0].report
	for _, entry := range e.history {
		if entry.at.Before(until) {
			report = entry.report
		}
	}
	return report
}

func (e *Engine) currentReport() Report {
	return Report{
		Engine:   e.incarnation(),
		Resident: slices.Sorted(maps.Keys(e.resident)),
		Loading:  slices.Sorted(maps.Keys(e.loading)),
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		Leaving:  e.faults.Leaving,
		Fence:    e.highestFence,
	}
}

func (e *Engine) incarnation() string { return fmt.Sprintf("%s-%d", e.Name, e.starts) }

func (e *Engine) reserve(o Order) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident[o.Handle] {
		return fasthttp.StatusOK, ""
	}
	if len(e.resident)+len(e.loading) >= e.Slots {
		return fasthttp.StatusConflict, "no free slot"
	}
	e.loading[o.Handle] = true
	return fasthttp.StatusAccepted, ""
}

// CrashMarker as the content of the caller's last message crashes the engine.
const CrashMarker = "crash"

// crash aborts all requests and restarts the engine.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// restart aborts all requests and removes all adapters, as a cold start does.
func (e *Engine) restart() {
	for _, s := range append(e.running, e.waiting...) {
		s.abort()
	}
	e.starts++
	e.highestFence = 0
	e.loading = make(map[string]bool)
	e.history = nil
	e.resident = make(map[string]bool)
	e.running = nil
	e.waiting = nil
}

// recordReport records the current state for lagging reports. It keeps the latest
// 200, about 10 s.
func (e *Engine) recordReport(now time.Time) {
	const maxReports = 200
	if n := len(e.history); n > 0 && now.Sub(e.history[n-1].at) < reportInterval {
		return
	}
	e.history = append(e.history, timedReport{at: now, report: e.currentReport()})
	if len(e.history) > maxReports {
		e.history = e.history[1:]
	}
}

// runSteps runs one step every Step.
func (e *Engine) runSteps(ctx context.Context) {
	repeater.Every(ctx, e.Step, nil, func() { e.step(time.Now()) })
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport(now)
	e.running = slices.DeleteFunc(e.running, (*sequence).ended)
	e.waiting = slices.DeleteFunc(e.waiting, (*sequence).ended)
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return cmp.Compare(b.priority, a.priority) })
	for len(e.running) < e.Batch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return
	}
	e.record.Steps++
	e.record.FilledSlots += len(e.running)
	for _, s := range e.running {
		if s.emit() {
			e.record.Runs[s.recordIndex].Complete = true
		}
	}
}

func adapterOf(handle string) string {
	adapter, _, _ := strings.Cut(handle, "#")
	return adapter
}

// Resident returns the handles of the resident adapters, sorted.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.resident))
}
