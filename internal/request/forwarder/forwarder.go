package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/retrier"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A Forwarder answers requests. Its fields are set before use; it is safe for
// concurrent use.
type Forwarder struct {
	Burst     func() float64 // this instance's share of the retries beyond the part
	Fleet     *tracker.Fleet
	LoadTime  func() time.Duration // that an adapter takes to be loaded
	Part      float64              // retries that a request pays for
	Placement Placement
	Recorder  *recorder.Recorder
	Upstream  Upstream
	Window    time.Duration // in which the burst of retries comes back

	mu      sync.Mutex
	budgets map[string]*retrier.Budget // by service
}

// away is what a runner in another failure domain costs in the choice, in
// seconds: more than the way there and back, so that a request leaves its domain
// only for a real difference, as bytes between domains are paid for.
const away = 0.015

// A passage is one request on its way through the forwarder.
type passage struct {
	*Forwarder
	request *Request
	sink    Sink
	budget  *retrier.Budget

	asked    string          // runner where the adapter was asked for
	at       string          // runner that it was sent to last
	queue    time.Duration   // of work that was thought to be before it there
	after    int             // last event that the caller was given
	answered bool            // the caller has the head of an answer
	arrivals int             // sendings that reached a runner
	full     map[string]bool // runners that refused it for want of room
	first    time.Duration   // from the arrival to the first part of the answer
	last     time.Time       // when the last event was passed on
	pause    time.Duration   // the longest between two events
	paid     atomic.Bool     // the next retry is withdrawn already
	runs     int             // of the arrivals, the ones that may have run
	split    streamer.Splitter
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
	p := &passage{Forwarder: f, request: r, sink: sink, budget: f.budget(r.Service), after: r.After, full: make(map[string]bool), tried: make(map[string]bool)}
	p.budget.Deposit()
	err := p.run(ctx)
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

func (p *passage) run(ctx context.Context) *judge.Error {
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
		p.Recorder.Log(recorder.Retry, "request", p.request.ID, "copy", p.request.Copy, "runner", runner.ID, "reason", failed.Reason,
			"verdict", failed.Verdict, "after", p.after, "arrivals", p.arrivals)
	}
}

// again reports whether the request may be sent once more.
func (p *passage) again(ctx context.Context, failed *judge.Error) bool {
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
func (p *passage) final(err *judge.Error) *judge.Error {
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

// choose returns the runner to send to, when it holds the adapter.
func (p *passage) choose(ctx context.Context) (tracker.Runner, *judge.Error) {
	began := time.Now()
	for {
		now := time.Now()
		best, refused := p.best(now)
		if refused != nil {
			return tracker.Runner{}, refused
		}
		if best.Stall == 0 {
			p.waited += now.Sub(began)
			runner, ok := p.Fleet.Get(best.Runner)
			if !ok {
				continue
			}
			p.queue = time.Duration(best.Queue * float64(time.Second))
			refused := p.reserve(ctx, runner)
			if refused != nil && refused.Reason == judge.ReasonQueue && len(p.full) < otherRunners {
				p.full[runner.ID] = true
				continue
			}
			return runner, refused
		}
		stall := time.Duration(best.Stall * float64(time.Second))
		if waited := now.Sub(p.request.Arrived); waited > p.patience() || waited+stall > hopeless*p.patience() {
			return tracker.Runner{}, judge.Refuse(judge.ReasonLoad, "the adapter comes in %s", stall.Round(time.Millisecond)).After(comeBack(stall))
		}
		p.asked = best.Runner
		p.Placement.Want(best.Runner, p.request.Copy, p.request.Route.Priority)
		if !p.rest(ctx) {
			return tracker.Runner{}, p.over(ctx)
		}
	}
}

// reserve asks for room at the runner and holds the request back as long as it
// is told to. Without anybody to ask the request goes at once.
func (p *passage) reserve(ctx context.Context, runner tracker.Runner) *judge.Error {
	r := p.request
	if r.Engine == nil || p.answered {
		return nil
	}
	wait, refused, ok := p.Placement.Reserve(ctx, Ask{
		Runner: runner.ID, Tokens: r.Tokens, Pause: p.request.Route.Gap, Within: p.within(time.Now()),
	})
	switch {
	case !ok:
		return nil
	case refused != nil:
		return refused.After(comeBack(refused.Retry))
	case wait <= 0:
		return nil
	}
	p.queue = wait
	hold := time.NewTimer(wait)
	defer hold.Stop()
	select {
	case <-ctx.Done():
		return p.over(ctx)
	case <-hold.C:
		return nil
	}
}

// within returns the time in which a prompt has to be read to be on time. One
// that waited for its adapter until it was late is served late: the adapter is
// there for it now.
func (p *passage) within(now time.Time) time.Duration {
	left := p.limit() - now.Sub(p.request.Arrived) - p.Fleet.Base(p.request.Service)
	if p.waited > 0 && left < p.limit()/2 || p.arrivals > 0 {
		return p.limit()
	}
	return left
}

func (p *passage) crowd() time.Duration {
	return time.Duration(crowdPart * float64(p.request.Route.Gap))
}

// rest waits for the next look. It returns false if ctx has ended.
func (p *passage) rest(ctx context.Context) bool {
	wait := time.NewTimer(look)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}

const (
	// crowdPart is the part of the longest pause between events that a runner
	// may spend on prompts: it reads them between the tokens of its runs, and an
	// event is several tokens, which take the rest. On the calm day of the
	// Association, pauses beyond made 207 of 1,900 answers late without it.
	crowdPart = 0.75
	// look is how often a request that waits for its adapter looks whether it
	// is there: small beside the time of a load.
	look = 10 * time.Millisecond
	// patiencePart is the part of the time that a caller has that its request
	// may wait for an adapter. What is left is enough to come back once.
	patiencePart = 3
	// otherRunners is how many more runners are asked for room after one has
	// none: a much wanted adapter has several copies, and may get one more.
	otherRunners = 2
	// hopeless is by how much an adapter may be expected too late before its
	// request is refused at once: others ahead in the line may leave it.
	hopeless = 2
	// giveUpLeast, giveUpGoals and giveUpGaps say when callers of streams give
	// up that have seen nothing: after the longest of that time, so many goals,
	// and so many of the pauses that are allowed. stayPart is the part of it
	// after which a request that still waits is told to come back instead.
	giveUpLeast = 2 * time.Second
	giveUpGoals = 4
	giveUpGaps  = 8
	stayPart    = 0.8
	// admitPart is the part of the goal that the wait for the first token may
	// take as far as it can be foreseen. Beyond it the request would be late and
	// would make those after it late as well.
	admitPart = 0.9
	// admitStep is how much less a less urgent request may wait, as a part of
	// the goal for each step of priority.
	admitStep = 0.1
)

func (p *passage) patience() time.Duration {
	route := p.request.Route
	limit := p.request.Deadline.Sub(p.request.Arrived) / patiencePart
	if route.Kind != matcher.Streaming {
		return limit
	}
	return min(limit, time.Duration(stayPart*float64(p.giveUp())))
}

// giveUp returns how long callers of a stream wait without seeing anything.
func (p *passage) giveUp() time.Duration {
	route := p.request.Route
	return max(giveUpLeast, giveUpGoals*route.Goal, giveUpGaps*route.Gap)
}

// demand returns what the choice of a runner depends on.
func (p *passage) demand(tried map[string]bool) tracker.Demand {
	r := p.request
	return tracker.Demand{
		Asked: p.asked, Copy: r.Copy, Crowd: p.crowd(), Full: p.full, Load: p.LoadTime(), Service: r.Service, Tokens: r.Tokens,
		Tried: tried,
	}
}

// best returns the runner that is expected to answer first, or refuses the
// request at once if that would be too late.
func (p *passage) best(now time.Time) (router.Terms, *judge.Error) {
	r := p.request
	candidates := p.Fleet.Candidates(p.demand(p.tried), now)
	if len(candidates) == 0 && len(p.tried) > 0 && p.after > r.After {
		clear(p.tried) // a stream that has begun is worth trying anywhere
	}
	if len(candidates) == 0 {
		return router.Terms{}, judge.Refuse(judge.ReasonUpstream, "no runner of service %s takes requests", r.Service).After(comeBack(noneWait))
	}
	choice := router.Router{Policy: router.First{Away: away}}
	terms := choice.Choose(router.Request{Adapter: r.Copy.Adapter, Left: r.Deadline.Sub(now)}, candidates)
	best := terms[0]
	if limit := p.limit(); best.Queue > limit.Seconds() && p.arrivals == 0 {
		over := time.Duration(best.Queue*float64(time.Second)) - limit
		return best, judge.Refuse(judge.ReasonQueue, "%.0f ms of work are before it", best.Queue*1000).After(comeBack(over))
	}
	return best, nil
}

// limit returns how much work may be before the request when it is admitted.
func (p *passage) limit() time.Duration {
	route := p.request.Route
	part := admitPart - admitStep*float64(min(route.Priority, 5))
	return time.Duration(part * float64(route.Goal))
}

const (
	// noneWait is when asking again makes sense if no runner takes requests: a
	// runner that restarts needs about that long.
	noneWait = time.Second
	// shortest is the least time that a caller is told to wait: less would
	// bring it back into the same second.
	shortest = 200 * time.Millisecond
)

// over returns the error of a request whose time is up or whose caller left.
func (p *passage) over(ctx context.Context) *judge.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return judge.Refuse(judge.ReasonDeadline, "the deadline passed before the request was sent")
	}
	return judge.Refuse(judge.ReasonCancelled, "the caller went away")
}

// used tells that a copy is in use, for plain services nothing.
func (p *passage) used(runner string) {
	if p.request.Copy != (placer.Copy{}) {
		p.Placement.Used(runner, p.request.Copy)
	}
}

// there tells that a copy is where it was expected.
func (p *passage) there(runner string) {
	if p.request.Copy != (placer.Copy{}) {
		p.Placement.There(runner, p.request.Copy)
	}
}

func (p *passage) log(err *judge.Error) {
	r := p.request
	fields := []any{
		"request", r.ID, "route", r.Route.Name, "service", r.Service, "copy", r.Copy, "runner", p.at, "tokens", r.Tokens, "queue", p.queue, "arrivals", p.arrivals, "runs", p.runs,
		"after", p.after, "waited", p.waited, "first", p.first, "pause", p.pause, "took", time.Since(r.Arrived),
	}
	if err == nil {
		p.Recorder.Log(recorder.Answered, fields...)
		return
	}
	fields = append(fields, "verdict", err.Verdict, "reason", err.Reason, "retry", err.Retry, "err", err.Message)
	p.Recorder.Log(recorder.Failed, fields...)
}
