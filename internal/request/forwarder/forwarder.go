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

// away is what a runner in another failure domain costs in the choice, in
// seconds: more than the way there and back, so that a request leaves its domain
// only for a real difference, as bytes between domains are paid for.
const away = 0.015

// An exchange is one request on its way through the forwarder.
type exchange struct {
	*Forwarder
	request *Request
	sink    Sink
	budget  *retrier.Budget
	using   use // of a copy now

	asked    string          // runner where the adapter was asked for
	at       string          // runner that it was sent to last
	queue    time.Duration   // of work that was thought to be before it there
	after    int             // last event that the caller was given
	answered bool            // the caller has the head of an answer
	arrivals int             // sendings that reached a runner
	full     map[string]bool // runners that refused it for want of room
	noRoom   *judge.Error    // what the last of them said
	identity quarantiner.Digest
	first    time.Duration // from the arrival to the first part of the answer
	last     time.Time     // when the last event was passed on
	pause    time.Duration // the longest between two events
	place    Place         // at a runner of a plain service
	paid     atomic.Bool   // the next retry is withdrawn already
	runs     int           // of the arrivals, the ones that may have run
	sent     time.Time     // to that runner
	split    streamer.Splitter
	status   int // of the answer that the caller was given; 0 for none
	tried    map[string]bool
	waited   time.Duration // for an adapter
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
	p := &exchange{Forwarder: f, request: r, sink: sink, budget: f.budget(r.Service), after: r.After, full: make(map[string]bool), tried: make(map[string]bool)}
	p.budget.Deposit()
	err := p.run(ctx)
	p.unuse()
	p.leavePlace()
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
			return p.final(refused)
		}
		failed := p.try(ctx, runner)
		if failed == nil {
			return nil
		}
		if !p.again(ctx, failed) {
			return p.final(failed)
		}
		p.renew()
		p.Retried(failed)
		p.Recorder.Log(recorder.Retry, "request", p.request.ID, "digest", p.digest(), "copy", p.request.Copy, "runner", runner.ID, "reason", failed.Reason,
			"verdict", failed.Verdict, "after", p.after, "arrivals", p.arrivals)
	}
}

// renew makes the next run begin on the newest version of the adapter. A stream
// may be cut seconds after it began, when its version is no longer to be used;
// the runner says in the stream that the version has changed.
func (p *exchange) renew() {
	c := &p.request.Copy
	if c.Adapter != "" {
		c.Version = p.Newest(c.Model, c.Adapter)
	}
}

// again reports whether the request may be sent once more.
func (p *exchange) again(ctx context.Context, failed *judge.Error) bool {
	switch {
	case ctx.Err() != nil, errors.Is(failed, errGone):
		return false
	case failed.Verdict == judge.NotRun:
	case !p.request.Route.Repeatable(), p.runs >= p.request.Route.Attempts:
		return false
	}
	return p.arrivals == 0 || p.paid.Swap(false) || p.budget.Withdraw()
}

// final returns the error with a verdict that covers all attempts: a refusal of
// the last one says nothing of those before it.
func (p *exchange) final(err *judge.Error) *judge.Error {
	if err.Verdict != judge.NotRun {
		return err
	}
	if p.runs == 0 {
		if err.Retry == 0 && err.Reason != judge.ReasonCancelled {
			return err.After(comeBack(0))
		}
		return err
	}
	after := *err
	after.Verdict = judge.MayHaveRun
	return &after
}

// there tells that a copy is where it was expected.
func (p *exchange) there(runner string, sent time.Time) {
	if p.request.Copy != (placer.Copy{}) {
		p.Placement.There(runner, p.request.Copy, sent)
	}
}

func (p *exchange) log(err *judge.Error) {
	r := p.request
	fields := []any{
		"request", r.ID, "account", r.Account, "route", r.Route.Name, "service", r.Service, "copy", r.Copy, "runner", p.at, "tokens", r.Tokens,
		"queue", p.queue, "arrivals", p.arrivals, "runs", p.runs, "after", p.after, "waited", p.waited, "first", p.first, "pause", p.pause, "took", time.Since(r.Arrived),
	}
	if err == nil {
		p.Recorder.Log(recorder.Answered, append(fields, "status", p.status)...)
		return
	}
	fields = append(fields, "digest", p.digest(), "verdict", err.Verdict, "reason", err.Reason, "retry", err.Retry, "err", err.Message)
	p.Recorder.Log(recorder.Failed, fields...)
}
