package forwarder

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A Forwarder serves requests by forwarding them to runners. Its fields are set before use;
// it is safe for concurrent use.
type Forwarder struct {
	Instances         func() int        // number of instances
	InstancesKnown    func() bool       // the number of instances has been reported; until then it is assumed to be large
	RetryBurst        func() float64    // this instance's share of the retries allowed beyond RetriesPerRequest
	StoppingSoon      func() bool       // this instance stops too soon for waiting requests to be served
	Bodies            bodyreader.Budget // of responses that are not streamed
	Detours           Detours           // nil for none
	Fleet             *tracker.Fleet
	LoadTime          func() time.Duration            // expected time of an adapter load from the weight store
	NewestVersion     func(model, adapter string) int // adapter version that new executions use
	RetriesPerRequest float64                         // retries allowed per request
	Ordered           bool                            // the Placement and the runners serve more urgent requests first
	Placement         Placement
	Quarantine        Quarantine
	Recorder          *recorder.Recorder
	Streams           Streams                // nil: streams are not remembered
	ReloadTime        func() time.Duration   // expected load time of an adapter that the runner held before
	OnRetry           func(err *judge.Error) // called with the error that caused a retry
	Upstream          Upstream
	RetryWindow       time.Duration // in which the burst of retries refills

	mu        sync.Mutex
	budgets   map[string]*retrier.Budget // by service
	watchdogs map[*watchdog]bool         // of attempts that may be retried
}

// crossDomainCost is the cost of a runner in another failure domain, in seconds. It exceeds
// the round trip between domains, so that a request leaves its domain only for a real gain:
// traffic between domains is billed.
const crossDomainCost = 0.015

// An exchange is the state of one request in the forwarder.
type exchange struct {
	*Forwarder
	request  *Request
	response response
	budget   *retrier.Budget
	ref      copyRef // to the copy in use

	loadRunner   string          // where the adapter load was requested
	peer         string          // that served the request over a detour
	failedPeers  map[string]bool // that failed while they served the request
	eligible     eligibility
	staysLocal   bool                      // no peer has accepted it
	lastRunner   string                    // of the last attempt
	lastVersion  string                    // software version of that runner
	lastRun      *tracker.Run              // of the last attempt
	queueWait    time.Duration             // estimated wait at that runner
	queued       time.Duration             // spent waiting for a turn at runners
	connecting   time.Duration             // spent waiting for connections to runners
	lastEventID  int                       // of the last event passed to the caller
	delivered    int                       // attempts that reached a runner
	lastFull     *judge.Error              // the last refusal of a runner for lack of capacity
	cachedDigest quarantiner.Digest        // empty until digest is called
	cachedParts  []quarantiner.Digest      // nil until parts is called
	writesSince  time.Time                 // when something was first received in the current attempt
	sound        bool                      // the parts of the prompt have been reported as sound
	trialOf      quarantiner.Digest        // quarantined part of the prompt that the request may try; empty for none
	timeToFirst  time.Duration             // from arrival to the first event of the response
	lastEventAt  time.Time                 // when the last event was passed on
	longestGap   time.Duration             // between two events
	slot         RequestSlot               // held at a runner of a plain service
	token        token                     // to send one request to a runner
	denied       []string                  // runners for which there was no token
	retryPaid    atomic.Bool               // the next retry has already been withdrawn from the budget
	endedAt      atomic.Pointer[time.Time] // when an attempt was ended because its runner was silent; nil if none was
	recorded     bool                      // the software version of the stream has been recorded
	retryWait    time.Duration             // spent waiting for the last retry to be allowed
	executions   int                       // delivered attempts that may have run
	sentAt       time.Time                 // of the last attempt
	brokenAt     time.Time                 // when the connection to a runner broke last
	splitter     streamer.Splitter
	status       int           // of the response passed to the caller; 0 if none
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
	x := &exchange{Forwarder: f, request: r, response: response{sink: sink, continues: r.Resumed}, budget: f.budget(r.Service), lastEventID: r.LastEventID, failedPeers: make(map[string]bool), eligible: newEligibility(r)}
	if r.Via == "" {
		x.budget.Deposit() // for a detour, the instance that received the request has done so
	}
	defer x.abandonSlot()
	defer x.releaseCopy()
	err := x.run(ctx)
	r.Arrivals, r.Executions = x.delivered, x.executions
	x.log(err)
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
		b = &retrier.Budget{PerRequest: f.RetriesPerRequest, Share: f.RetryBurst, Window: f.RetryWindow}
		f.budgets[service] = b
	}
	return b
}

func (x *exchange) run(ctx context.Context) *judge.Error {
	if refused := x.findVersion(ctx); refused != nil {
		return x.finalError(refused)
	}
	for {
		failed, mayRetry := x.attempt(ctx)
		if failed == nil {
			return nil
		}
		if !mayRetry {
			return x.finalError(failed)
		}
		x.announceRetry()
		x.useNewestVersion()
		x.OnRetry(failed)
		x.Recorder.Log(recorder.Retry, "request", x.request.ID, "digest", x.digest(), "copy", x.request.Copy, "runner", x.lastRunner, "version", x.lastVersion, "peer", x.peer, "reason", failed.Reason, "err", failed.Message,
			"verdict", failed.Verdict, "after", x.lastEventID, "arrivals", x.delivered, "wait", x.retryWait)
	}
}

// attempt makes one attempt at a runner, or over a detour.
func (x *exchange) attempt(ctx context.Context) (failed *judge.Error, mayRetry bool) {
	x.awaitProbes(ctx)
	for {
		if !x.takesDetour() {
			runner, refused := x.choose(ctx)
			switch {
			case refused == nil:
				failed = x.try(ctx, runner)
				return failed, failed != nil && x.mayRetry(ctx, failed)
			case !errors.Is(refused, errDetour):
				return refused, false
			}
		}
		failed = x.detour(ctx)
		switch {
		case failed == nil:
			return nil, false
		case x.retriesDetour(ctx, failed):
			return failed, true
		case x.peer != "" && failed.Verdict != judge.NotRun, !x.awaitRunner(ctx, failed):
			return failed, false
		}
	}
}

// announceRetry announces that the request may be executed once more.
func (x *exchange) announceRetry() {
	if x.executions > 0 && x.request.OnRetry != nil {
		x.request.OnRetry(x.executions + 1)
	}
}

// useNewestVersion makes the next execution use the newest version of the adapter. A stream
// may break off seconds after it started, when its version must no longer be used; the
// runner reports the version change in the stream.
func (x *exchange) useNewestVersion() {
	c := &x.request.Copy
	if c.Adapter != "" {
		c.Version = x.NewestVersion(c.Model, c.Adapter)
	}
}

// finalError returns the error with a verdict that covers all attempts: a refusal of the
// last attempt says nothing about the earlier ones.
func (x *exchange) finalError(err *judge.Error) *judge.Error {
	if err.Verdict != judge.NotRun {
		return err
	}
	if x.executions == 0 {
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
func (x *exchange) reportHit(runner string, sent time.Time) {
	if x.request.Copy != (placer.Copy{}) {
		x.Placement.ReportHit(runner, x.request.Copy, sent)
	}
}

func (x *exchange) log(err *judge.Error) {
	r := x.request
	fields := []any{
		"request", r.ID, "account", r.Account, "route", r.Route.Name, "service", r.Service, "copy", r.Copy, "via", r.Via, "peer", x.peer, "runner", x.lastRunner, "version", x.lastVersion, "resumes", r.Resumes, "progress", x.progress(), "tokens", r.Tokens,
		"queue", x.queueWait, "denied", strings.Join(x.denied, ","), "arrivals", x.delivered, "runs", x.executions, "after", x.lastEventID, "waited", x.adapterWait, "connecting", x.connecting, "first", x.timeToFirst, "pause", x.longestGap, "took", time.Since(r.Arrived),
	}
	if err == nil {
		x.Recorder.Log(recorder.Completed, append(fields, "status", x.status)...)
		return
	}
	fields = append(fields, "digest", x.digest(), "verdict", err.Verdict, "reason", err.Reason, "retry", err.RetryAfter, "err", err.Message)
	x.Recorder.Log(recorder.Failed, fields...)
}
