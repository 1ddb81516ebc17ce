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

// A Forwarder serves requests by forwarding them to runners. Its fields are set before use;
// it is safe for concurrent use.
type Forwarder struct {
	RetryBurst        func() float64 // this instance's share of the retries allowed beyond RetriesPerRequest
	StoppingSoon      func() bool    // this instance stops too soon for waiting requests to be served
	Fleet             *tracker.Fleet
	LoadTime          func() time.Duration            // expected time of an adapter load from the weight store
	NewestVersion     func(model, adapter string) int // adapter version that new executions use
	RetriesPerRequest float64                         // retries allowed per request
	Placement         Placement
	Quarantine        Quarantine
	Recorder          *recorder.Recorder
	ReloadTime        func() time.Duration   // expected load time of an adapter that the runner held before
	OnRetry           func(err *judge.Error) // called with the error that caused a retry
	Upstream          Upstream
	RetryWindow       time.Duration // in which the burst of retries refills

	mu      sync.Mutex
	budgets map[string]*retrier.Budget // by service
}

// crossDomainCost is the cost of a runner in another failure domain, in seconds. It exceeds
// the round trip between domains, so that a request leaves its domain only for a real gain:
// traffic between domains is billed.
const crossDomainCost = 0.015

// An exchange is the state of one request in the forwarder.
type exchange struct {
	*Forwarder
	request *Request
	sink    Sink
	budget  *retrier.Budget
	ref     copyRef // to the copy in use

	loadRunner   string             // where the adapter load was requested
	lastRunner   string             // of the last attempt
	queueWait    time.Duration      // estimated wait at that runner
	lastEventID  int                // of the last event passed to the caller
	headSent     bool               // the caller has received a response head
	delivered    int                // attempts that reached a runner
	fullRunners  map[string]bool    // runners that refused it for lack of capacity
	lastFull     *judge.Error       // the last of these refusals
	cachedDigest quarantiner.Digest // empty until digest is called
	timeToFirst  time.Duration      // from arrival to the first event of the response
	lastEventAt  time.Time          // when the last event was passed on
	longestGap   time.Duration      // between two events
	slot         RequestSlot        // held at a runner of a plain service
	retryPaid    atomic.Bool        // the next retry has already been withdrawn from the budget
	executions   int                // delivered attempts that may have run
	sentAt       time.Time          // of the last attempt
	splitter     streamer.Splitter
	status       int // of the response passed to the caller; 0 if none
	tried        map[string]bool
	adapterWait  time.Duration // from the start of each choice of a runner to its end, mostly waiting for the adapter
}

// Forward serves a request. It returns nil after a complete response, otherwise an error
// whose verdict covers all attempts.
func (f *Forwarder) Forward(ctx context.Context, r *Request, sink Sink) *judge.Error {
	end := r.Deadline
	if limit := r.Arrived.Add(r.Route.Timeout); r.Route.Timeout > 0 && limit.Before(end) {
		end = limit
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	p := &exchange{Forwarder: f, request: r, sink: sink, budget: f.budget(r.Service), lastEventID: r.LastEventID, fullRunners: make(map[string]bool), tried: make(map[string]bool)}
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
		b = &retrier.Budget{PerRequest: f.RetriesPerRequest, Window: f.RetryWindow}
		f.budgets[service] = b
	}
	b.SetBurst(f.RetryBurst())
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
		p.OnRetry(failed)
		p.Recorder.Log(recorder.Retry, "request", p.request.ID, "digest", p.digest(), "copy", p.request.Copy, "runner", runner.ID, "reason", failed.Reason,
			"verdict", failed.Verdict, "after", p.lastEventID, "arrivals", p.delivered)
	}
}

// useNewestVersion makes the next execution use the newest version of the adapter. A stream
// may break off seconds after it started, when its version must no longer be used; the
// runner reports the version change in the stream.
func (p *exchange) useNewestVersion() {
	c := &p.request.Copy
	if c.Adapter != "" {
		c.Version = p.NewestVersion(c.Model, c.Adapter)
	}
}

// mayRetry reports whether the request may be retried.
func (p *exchange) mayRetry(ctx context.Context, failed *judge.Error) bool {
	switch {
	case ctx.Err() != nil, errors.Is(failed, errCallerGone):
		return false
	case failed.Verdict == judge.NotRun:
	case !p.request.Route.Repeatable(), p.executions >= p.request.Route.MaxExecutions:
		return false
	}
	return p.delivered == 0 || p.retryPaid.Swap(false) || p.budget.Withdraw()
}

// finalError returns the error with a verdict that covers all attempts: a refusal of the
// last attempt says nothing about the earlier ones.
func (p *exchange) finalError(err *judge.Error) *judge.Error {
	if err.Verdict != judge.NotRun {
		return err
	}
	if p.executions == 0 {
		if err.RetryAfter == 0 && err.Reason != judge.ReasonCancelled {
			return err.WithRetryAfter(retryAfter(0))
		}
		return err
	}
	after := *err
	after.Verdict = judge.MayHaveRun
	return &after
}

// reportHit reports that the runner held the copy as expected.
func (p *exchange) reportHit(runner string, sent time.Time) {
	if p.request.Copy != (placer.Copy{}) {
		p.Placement.ReportHit(runner, p.request.Copy, sent)
	}
}

func (p *exchange) log(err *judge.Error) {
	r := p.request
	fields := []any{
		"request", r.ID, "account", r.Account, "route", r.Route.Name, "service", r.Service, "copy", r.Copy, "runner", p.lastRunner, "tokens", r.Tokens,
		"queue", p.queueWait, "arrivals", p.delivered, "runs", p.executions, "after", p.lastEventID, "waited", p.adapterWait, "first", p.timeToFirst, "pause", p.longestGap, "took", time.Since(r.Arrived),
	}
	if err == nil {
		p.Recorder.Log(recorder.Completed, append(fields, "status", p.status)...)
		return
	}
	fields = append(fields, "digest", p.digest(), "verdict", err.Verdict, "reason", err.Reason, "retry", err.RetryAfter, "err", err.Message)
	p.Recorder.Log(recorder.Failed, fields...)
}
