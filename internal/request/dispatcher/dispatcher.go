package dispatcher

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
	"github.com/sardinetiller/sardinetiller/internal/upstream/monitor"
)

// A Server runs a request on a runner that this instance owns.
type Server interface {
	Estimates() (load, run time.Duration)
	Serve(ctx context.Context, call *streamer.Call, sink streamer.Sink) error
}

// Peers forwards requests to other instances.
type Peers interface {
	// Alive reports whether an instance accepts new requests.
	Alive(incarnation string) bool
	// Forward forwards a call to an instance and writes the response to the sink.
	Forward(ctx context.Context, incarnation string, call *streamer.Call, sink streamer.Sink) error
	// RemotePeers returns live instances of other failure domains, one for each
	// domain, in the order in which to try them.
	RemotePeers() []string
}

// A Quarantine refuses requests that crash the engines that run them.
type Quarantine interface {
	// Refusal returns the refusal of a quarantined request; nil if it may run.
	Refusal(call *streamer.Call) *judge.Error
	// ReportCompleted records that a request ran to completion.
	ReportCompleted(call *streamer.Call)
}

// A Dispatcher dispatches requests. Its fields are set before use; it is safe
// for concurrent use.
type Dispatcher struct {
	Domain     string
	Drained    func(upstream string) bool
	Fleet      *monitor.Fleet
	Settings   func() *resolver.Resolver // current settings; nil if there are none yet
	Local      Server
	Metrics    *metrics.Set
	Peers      Peers
	Quarantine Quarantine
	Self       string // own incarnation

	budget    retrier.Budget
	journal   journal
	nextPlain atomic.Uint64 // round-robin counter for upstreams of plain services
}

// Dispatch serves a request. It returns nil after a complete response, else a
// *judge.Error whose verdict holds for all attempts.
func (d *Dispatcher) Dispatch(ctx context.Context, call *streamer.Call, sink streamer.Sink) error {
	settings := d.Settings()
	if settings == nil {
		return judge.Refuse(judge.ReasonStarting, "no settings are in force here yet").WithRetryAfter(time.Second)
	}
	a := &attempts{
		startedAt:  time.Now(),
		dispatcher: d, call: call, values: settings.Values(call.Account, call.Service, d.Domain, call.Desk),
		settings: settings, sink: &watchedSink{sink: sink},
	}
	d.budget.Deposit()
	err := a.run(ctx)
	d.journal.add(call.ID, a.steps)
	return err
}

// Choose returns the runner that a request for the adapter would be sent to now,
// and the owner of the runner.
func (d *Dispatcher) Choose(adapter resolver.Adapter) (Step, bool) {
	settings := d.Settings()
	candidates := d.Fleet.Candidates(adapter.Service, adapter.Name, nil, d.Peers.Alive)
	if settings == nil || len(candidates) == 0 {
		return Step{}, false
	}
	a := &attempts{
		call: &streamer.Call{Adapter: adapter.Name, Service: adapter.Service}, dispatcher: d,
		values: settings.Values(adapter.Account, adapter.Service, d.Domain, ""),
	}
	terms := a.rank(candidates)
	return Step{Runner: terms[0].Runner, Owner: d.Fleet.Owner(terms[0].Runner), Terms: terms}, true
}

// Explain returns the steps of a request that this instance dispatched recently.
func (d *Dispatcher) Explain(id string) ([]Step, bool) { return d.journal.find(id) }

// attempts is the state of the dispatch of one request.
type attempts struct {
	startedAt  time.Time
	call       *streamer.Call
	dispatcher *Dispatcher
	mayHaveRun *judge.Error // error of an attempt that may have run
	settings   *resolver.Resolver
	sink       *watchedSink
	steps      []Step
	tried      []string
	values     resolver.Effective
}

// run makes attempts until one succeeds or no further attempt is safe or allowed.
func (a *attempts) run(ctx context.Context) error {
	backoff := retrier.Backoff()
	for retries := 0; ; {
		step, err := a.try(ctx)
		a.steps = append(a.steps, step)
		if err == nil {
			a.dispatcher.Quarantine.ReportCompleted(a.call)
			return nil
		}
		judged := judge.As(err)
		a.steps[len(a.steps)-1].Error = judged.Error()
		if judged.Verdict != judge.NotRun {
			a.mayHaveRun = judged
		}
		a.dispatcher.count("sardinetiller_attempt_failures_total", judged)
		if !a.redirected(judged) {
			if retries >= a.values.Retries || !retrier.Retryable(judged, a.call.NonIdempotent, a.sink.started) || !a.dispatcher.budget.Withdraw() {
				return a.finalError(judged)
			}
			retries++
		}
		select {
		case <-ctx.Done():
			return a.finalError(judged)
		case <-time.After(backoff.NextBackOff()):
		}
		a.dispatcher.count("sardinetiller_retries_total", judged)
	}
}

// redirectTimeout bounds how long a request follows a runner to new owners.
const redirectTimeout = 5 * time.Second

// redirected reports whether the attempt was only sent to the wrong instance: the
// runner has a new owner, as it gets in every rolling replacement. Such a response
// costs no work upstream, so it does not count as a retry.
func (a *attempts) redirected(err *judge.Error) bool {
	if err.Reason != judge.ReasonOwner || err.Verdict != judge.NotRun || time.Since(a.startedAt) > redirectTimeout {
		return false
	}
	step := &a.steps[len(a.steps)-1]
	a.dispatcher.Fleet.ClearOwner(step.Runner, step.Owner)
	a.tried = slices.DeleteFunc(a.tried, func(name string) bool { return name == step.Runner })
	return true
}

// finalError returns the error for the caller: not run only if that holds for every
// attempt.
func (a *attempts) finalError(last *judge.Error) error {
	if a.mayHaveRun != nil && last.Verdict == judge.NotRun {
		return a.mayHaveRun
	}
	return last
}

func (a *attempts) try(ctx context.Context) (Step, error) {
	if refusal := a.dispatcher.Quarantine.Refusal(a.call); refusal != nil {
		return Step{}, refusal
	}
	service, ok := a.settings.Service(a.call.Service)
	if !ok {
		return Step{}, judge.Refuse(judge.ReasonUpstream, "service %q is not declared", a.call.Service)
	}
	if service.Type == parser.TypePlain {
		return a.tryPlain(ctx, service)
	}
	return a.tryEngine(ctx)
}

func (a *attempts) tryEngine(ctx context.Context) (Step, error) {
	d := a.dispatcher
	candidates := a.candidates(ctx)
	if len(candidates) == 0 {
		a.tried = nil // the next attempt may use any runner again
		return a.tryOtherDomain(ctx)
	}
	terms := a.rank(candidates)
	best := terms[0]
	step := Step{Runner: best.Runner, Terms: terms[:min(len(terms), maxShownTerms)]}
	if err := a.checkDeadline(best); err != nil {
		return step, err
	}
	a.tried = append(a.tried, best.Runner)
	call := *a.call
	call.Runner = best.Runner
	d.Fleet.RecordSent(best.Runner, a.call.Adapter)
	step.Owner = d.Fleet.Owner(best.Runner)
	if step.Owner == d.Self {
		return step, d.Local.Serve(ctx, &call, a.sink)
	}
	return step, d.Peers.Forward(ctx, step.Owner, &call, a.sink)
}

// Bounds of the wait for a runner whose owner is changing, as in a rolling
// replacement. The wait is far shorter than any deadline.
const (
	handoverTimeout      = 1500 * time.Millisecond
	handoverPollInterval = 20 * time.Millisecond
)

// candidates returns the runners to choose from. If none has a live owner but
// some are about to get one, it waits briefly for the handover.
func (a *attempts) candidates(ctx context.Context) []router.Candidate {
	d := a.dispatcher
	for until := time.Now().Add(handoverTimeout); ; {
		candidates := d.Fleet.Candidates(a.call.Service, a.call.Adapter, a.tried, d.Peers.Alive)
		if len(candidates) > 0 || !d.Fleet.HasUntried(a.call.Service, a.tried) || time.Now().After(until) {
			return candidates
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(handoverPollInterval):
		}
	}
}

func (a *attempts) rank(candidates []router.Candidate) []router.Terms {
	load, run := a.dispatcher.Local.Estimates()
	r := router.Router{Policy: policy(a.values), LoadTime: load, ExecutionTime: run}
	return r.Choose(router.Request{Adapter: a.call.Adapter, TimeLeft: a.left()}, candidates)
}

// checkDeadline refuses a request whose adapter cannot be loaded before its
// deadline, at once, so that the caller can react. The wait in the queue is
// checked by the owner, which knows the requests in it.
func (a *attempts) checkDeadline(best router.Terms) error {
	wait := time.Duration(best.Stall * float64(time.Second))
	if left := a.left(); left > 0 && wait > left {
		return judge.Refuse(judge.ReasonDeadline, "the adapter takes about %s to load and %s is left", wait.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(wait - left)
	}
	return nil
}

// left returns the time until the deadline; 0 if there is none.
func (a *attempts) left() time.Duration {
	if a.call.Deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Until(a.call.Deadline))
}

// tryOtherDomain forwards a request to another failure domain. A request is forwarded
// only once, so that it cannot loop between domains.
func (a *attempts) tryOtherDomain(ctx context.Context) (Step, error) {
	if a.call.Hops > 0 {
		return Step{}, judge.Refuse(judge.ReasonUpstream, "no upstream of %s can serve in domain %s", a.call.Service, a.dispatcher.Domain).WithRetryAfter(time.Second)
	}
	call := *a.call
	call.Hops++
	for _, peer := range a.dispatcher.Peers.RemotePeers() {
		if slices.Contains(a.tried, peer) {
			continue
		}
		a.tried = append(a.tried, peer)
		return Step{Owner: peer}, a.dispatcher.Peers.Forward(ctx, peer, &call, a.sink)
	}
	return Step{}, judge.Refuse(judge.ReasonUpstream, "no upstream of %s can serve", a.call.Service).WithRetryAfter(time.Second)
}

// tryPlain sends a call to an upstream of a plain service in this failure domain,
// chosen by round robin.
func (a *attempts) tryPlain(ctx context.Context, service *parser.Service) (Step, error) {
	d := a.dispatcher
	var local []parser.Upstream
	for _, u := range service.Upstreams {
		if u.Domain == d.Domain && !d.Drained(u.Name) && !slices.Contains(a.tried, u.Name) {
			local = append(local, u)
		}
	}
	if len(local) == 0 {
		return a.tryOtherDomain(ctx)
	}
	u := local[d.nextPlain.Add(1)%uint64(len(local))]
	a.tried = append(a.tried, u.Name)
	call := *a.call
	call.Runner = u.Name
	return Step{Runner: u.Name}, caller.RunPlain(ctx, u.Address, &call, a.sink)
}

func (d *Dispatcher) count(name string, err *judge.Error) {
	d.Metrics.GetOrCreateCounter(name + `{reason="` + string(err.Reason) + `",verdict="` + string(err.Verdict) + `"}`).Inc()
}

func policy(v resolver.Effective) router.Policy {
	switch v.Policy {
	case "hash":
		return router.Hash{}
	case "least":
		return router.Least{}
	default:
		return router.Cost{StallWeight: v.Stall, BatchWeight: v.Batch}
	}
}

// errStarted ends an attempt whose response must not follow another one that has started.
var errStarted = &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCut, Message: "the caller has received a part of another response"}

// A watchedSink records whether a response to the caller has started, and refuses a second one.
type watchedSink struct {
	sink    streamer.Sink
	started bool
}

// Data implements streamer.Sink.
func (w *watchedSink) Data(data []byte) error { return w.sink.Data(data) }

// Head implements streamer.Sink.
func (w *watchedSink) Head(head streamer.Head) error {
	if w.started {
		return errStarted
	}
	w.started = true
	return w.sink.Head(head)
}
