package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A Forwarder answers requests. Its fields are set before use; it is safe for
// concurrent use.
type Forwarder struct {
	Burst      func() float64 // this instance's share of the retries beyond the part
	Ending     func() bool    // the instance ends so soon that a request which still waits cannot be answered
	Fleet      *tracker.Fleet
	LoadTime   func() time.Duration            // that an adapter takes from the weight store
	Newest     func(model, adapter string) int // version of an adapter that a run is to begin on
	Part       float64                         // retries that a request pays for
	Placement  Placement
	Quarantine Quarantine
	Recorder   *recorder.Recorder
	ReturnTime func() time.Duration   // that one takes which the runner held before
	Retried    func(err *judge.Error) // counts what made a request go out again
	Upstream   Upstream
	Window     time.Duration // in which the burst of retries comes back

	mu      sync.Mutex
	budgets map[string]*retrier.Budget // by service
}

// crossDomainCost is what a runner in another failure domain costs in the choice, in
// seconds: more than the way there and back, so that a request leaves its domain
// only for a real difference, as bytes between domains are paid for.
const crossDomainCost = 0.015

// An exchange is one request on its way through the forwarder.
type exchange struct {
	*Forwarder
	request *Request
	sink    Sink
	budget  *retrier.Budget
	ref     copyRef // of a copy now

	loadRunner   string          // runner where the adapter was asked for
	lastRunner   string          // runner that it was sent to last
	queueWait    time.Duration   // of work that was thought to be before it there
	lastEventID  int             // last event that the caller was given
	headSent     bool            // the caller has the head of an answer
	delivered    int             // sendings that reached a runner
	fullRunners  map[string]bool // runners that refused it for want of room
	lastFull     *judge.Error    // what the last of them said
	cachedDigest quarantiner.Digest
	timeToFirst  time.Duration // from the arrival to the first part of the answer
	lastEventAt  time.Time     // when the last event was passed on
	longestGap   time.Duration // the longest between two events
	slot         Place         // at a runner of a plain service
	retryPaid    atomic.Bool   // the next retry is withdrawn already
	executions   int           // of the arrivals, the ones that may have run
	sentAt       time.Time     // to that runner
	splitter     streamer.Splitter
	status       int // of the answer that the caller was given; 0 for none
	tried        map[string]bool
	adapterWait  time.Duration // for an adapter
}

// Forward answers a request. It returns nil after a whole answer, else an error
// whose verdict holds for everything that was tried.
func (f *Forwarder) Forward(ctx context.Context, r *Request, sink Sink) *judge.Error {
	end := r.Deadline
	if limit := r.Arrived.Add(r.Route.Timeout); r.Route.Timeout > 0 && limit.Before(end) {
		end = limit
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	p := &exchange{Forwarder: f, request: r, sink: sink, budget: f.budget(r.Service), lastEventID: r.After, fullRunners: make(map[string]bool), tried: make(map[string]bool)}
	p.budget.Deposit()
	err := p.run(ctx)
	p.releaseCopy()
	p.releaseSlot()
	p.log(err)
	return err
}

func (f *Forwarder) budget(service string) *retrier.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*retrier.Budget)
	}
	b, ok := f.budgets[service]
	if !ok {
		b = &retrier.Budget{Part: f.Part, Window: f.Window}
		f.budgets[service] = b
	}
	b.SetBurst(f.Burst())
	return b
}

func (p *exchange) run(ctx context.Context) *judge.Error {
	for {
		runner, refused := p.choose(ctx)
		if refused != nil {
			return p.finalError(refused)
		}
		failed := p.try(ctx, runner)
		if failed == nil {
			return nil
		}
		if !p.mayRetry(ctx, failed) {
			return p.finalError(failed)
		}
		p.useNewestVersion()
		p.Retried(failed)
		p.Recorder.Log(recorder.Retry, "request", p.request.ID, "digest", p.digest(), "copy", p.request.Copy, "runner", runner.ID, "reason", failed.Reason,
			"verdict", failed.Verdict, "after", p.lastEventID, "arrivals", p.delivered)
	}
}

// useNewestVersion makes the next run begin on the newest version of the adapter. A stream
// may be cut seconds after it began, when its version is no longer to be used;
// the runner says in the stream that the version has changed.
func (p *exchange) useNewestVersion() {
	c := &p.request.Copy
	if c.Adapter != "" {
		c.Version = p.Newest(c.Model, c.Adapter)
	}
}

// mayRetry reports whether the request may be sent once more.
func (p *exchange) mayRetry(ctx context.Context, failed *judge.Error) bool {
	switch {
	case ctx.Err() != nil, errors.Is(failed, errCallerGone):
		return false
	case failed.Verdict == judge.NotRun:
	case !p.request.Route.Repeatable(), p.executions >= p.request.Route.Attempts:
		return false
	}
	return p.delivered == 0 || p.retryPaid.Swap(false) || p.budget.Withdraw()
}

// finalError returns the error with a verdict that covers all attempts: a refusal of
// the last one says nothing of those before it.
func (p *exchange) finalError(err *judge.Error) *judge.Error {
	if err.Verdict != judge.NotRun {
		return err
	}
	if p.executions == 0 {
		if err.Retry == 0 && err.Reason != judge.ReasonCancelled {
			return err.After(retryAfter(0))
		}
		return err
	}
	after := *err
	after.Verdict = judge.MayHaveRun
	return &after
}

// reportHit tells that a copy is where it was expected.
func (p *exchange) reportHit(runner string, sent time.Time) {
	if p.request.Copy != (placer.Copy{}) {
		p.Placement.There(runner, p.request.Copy, sent)
	}
}

func (p *exchange) log(err *judge.Error) {
	r := p.request
	fields := []any{
		"request", r.ID, "account", r.Account, "route", r.Route.Name, "service", r.Service, "copy", r.Copy, "runner", p.lastRunner, "tokens", r.Tokens,
		"queue", p.queueWait, "arrivals", p.delivered, "runs", p.executions, "after", p.lastEventID, "waited", p.adapterWait, "first", p.timeToFirst, "pause", p.longestGap, "took", time.Since(r.Arrived),
	}
	if err == nil {
		p.Recorder.Log(recorder.Answered, append(fields, "status", p.status)...)
		return
	}
	fields = append(fields, "digest", p.digest(), "verdict", err.Verdict, "reason", err.Reason, "retry", err.Retry, "err", err.Message)
	p.Recorder.Log(recorder.Failed, fields...)
}
