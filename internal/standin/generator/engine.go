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

// An Engine is the stand-in. Its fields are set before Run.
type Engine struct {
	Batch    int  // requests in a step
	Fencing  bool // whether orders with an old fencing number are refused
	Listener net.Listener
	Name     string
	Slots    int
	Step     time.Duration
	Weights  string // address of the weight store; empty for loads that take no time

	mu           sync.Mutex
	record       Record
	faults       Faults
	highestFence uint64
	loading      map[string]bool
	history      []timedReport // reports, the oldest first
	resident     map[string]bool
	running      []*sequence
	starts       int
	waiting      []*sequence
}

// A dated report is given out once it is as old as the lag.
type timedReport struct {
	at     time.Time
	report Report
}

// reportInterval is how often the engine notes its state for lagging reports.
const reportInterval = 50 * time.Millisecond

// Record returns what was done so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Batch = e.Batch
	record.Runs = slices.Clone(e.record.Runs)
	return record
}

// Run serves until ctx ends.
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
	r.GET(PathReport, func(c *fasthttp.RequestCtx) { listener.JSON(c, fasthttp.StatusOK, e.report()) })
	r.GET(PathBooks, func(c *fasthttp.RequestCtx) { listener.JSON(c, fasthttp.StatusOK, e.Record()) })
	r.POST(PathControl, e.handleControl)
	server := listener.Server{Listener: e.Listener, Handler: r.Handler}
	return server.Run(ctx)
}

// Set changes the faults.
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

// handleCancel ends a request, if it runs.
func (e *Engine) handleCancel(c *fasthttp.RequestCtx) {
	var received Cancel
	if !listener.Decode(c, &received) {
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
	if !listener.Decode(c, &f) {
		return
	}
	e.Set(f)
}

// evict drops a copy, running requests or not, as an engine does that is told
// to.
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
			e.record.EvictedRunning = append(e.record.EvictedRunning, RunningEviction{
				Handle: o.Handle, Fence: o.Fence, Marker: run.Marker, RunningFor: time.Since(run.StartedAt),
			})
			s.abort()
		}
	}
	return fasthttp.StatusOK, ""
}

// load brings a copy in. A slot is taken while the weights arrive.
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
	status, _, seen := r.Whole(context.Background(), e.Weights, request)
	if seen != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("weight store: status %d, %v", status, seen)
	}
	return nil
}

// handleOrder decodes an order, checks its fencing number and carries it out.
func (e *Engine) handleOrder(carryOut func(Order) (int, string)) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		var o Order
		if !listener.Decode(c, &o) {
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
		status, message := carryOut(o)
		if e.dropResponse() {
			_ = c.Conn().Close()
			return
		}
		listener.JSON(c, status, map[string]string{"message": message})
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

// report returns the newest report that is as old as the lag.
func (e *Engine) report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Lag == 0 || len(e.history) == 0 {
		return e.currentReport()
	}
	until := time.Now().Add(-e.faults.Lag)
	report := e.history[0].report
	for _, d := range e.history {
		if d.at.Before(until) {
			report = d.report
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

// CrashMarker is what a caller says last whose request crashes the engine.
const CrashMarker = "crash"

// crash ends all requests and starts the engine anew.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// restart empties the engine: a cold start.
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

// recordReport keeps reports for as long as any lag reaches back.
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

// runSteps gives every running request one token a step.
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

// Resident returns the handles that the engine holds, sorted.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.resident))
}
