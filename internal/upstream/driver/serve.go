package driver

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
)

// A waiter is a queued request.
type waiter struct {
	start  chan keeper.Handle
	failed chan *judge.Error
}

// Serve runs a request on a runner that this instance owns and writes the response
// to the sink. It returns after the last byte, or with a *judge.Error if the
// request failed.
func (d *Driver) Serve(ctx context.Context, call *streamer.Call, sink streamer.Sink) error {
	arrived := time.Now()
	w, e, err := d.enqueue(call, arrived)
	if err != nil {
		return err
	}
	d.Pump(ctx, arrived)
	select {
	case handle := <-w.start:
		if refusal := d.Quarantine.Refusal(call); refusal != nil {
			d.releaseUnsent(ctx, e, handle)
			return refusal
		}
		return d.run(ctx, e, handle, call, sink, arrived)
	case refusal := <-w.failed:
		return refusal
	case <-ctx.Done():
		return d.withdraw(ctx, e, w, call)
	}
}

// Pump starts the queued requests that can run and orders the loads that are needed.
func (d *Driver) Pump(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.names {
		e := d.runners[name]
		for _, s := range e.Starts(now) {
			e.waiters[s.Item.ID].start <- s.Handle
			delete(e.waiters, s.Item.ID)
		}
	}
	needs := d.needs()
	if len(needs) == 0 || d.budget == nil {
		return
	}
	if d.Permits == nil {
		d.budget.Grant(needs, now, func(n loader.Need) bool { return d.sendNextOrder(ctx, n, now) })
		return
	}
	d.requestPermits(ctx, d.budget.Order(needs, now), now)
}

// sendNextOrder sends the next order for a needed adapter. It returns whether that
// order is a load.
func (d *Driver) sendNextOrder(ctx context.Context, n loader.Need, now time.Time) bool {
	e, action := d.orderFor(n, now)
	if action == nil {
		return false
	}
	_, isLoad := action.(keeper.Load)
	go d.sendAndPump(ctx, e, n, action)
	return isLoad
}

// orderFor returns the next order for a needed adapter, an eviction or the load, or nil
// if none may be sent. The caller holds the lock.
func (d *Driver) orderFor(n loader.Need, now time.Time) (*engine, keeper.Action) {
	e := d.runners[n.Runner]
	if !d.Ownership.MayOrder(n.Runner) {
		return e, nil
	}
	action := e.Keeper.NextOrder(n.Adapter, now)
	if action != nil {
		d.markChanged(e)
	}
	return e, action
}

// sendAndPump sends an order, records its outcome and starts what is possible next.
func (d *Driver) sendAndPump(ctx context.Context, e *engine, n loader.Need, action keeper.Action) {
	d.send(ctx, e, n, action)
	d.Pump(ctx, time.Now())
}

// send sends an order and records its outcome.
func (d *Driver) send(ctx context.Context, e *engine, n loader.Need, action keeper.Action) {
	began := time.Now()
	answer := caller.Answer{Outcome: keeper.Failed}
	// Checked immediately before the order is sent: a process that was paused after
	// the decision may have lost the runner.
	if d.Ownership.MayOrder(e.Name) {
		answer = d.Engine.Order(context.WithoutCancel(ctx), e.address(), action)
	} else {
		d.countReason("sardinetiller_orders_withheld_total", "lease")
	}
	now := time.Now()
	d.mu.Lock()
	if err := e.Keeper.Finish(action, answer.Outcome, now); err != nil {
		d.warn("order is inconsistent with the slots", e.Name, err)
	}
	d.recordOutcome(n, action, answer, now, now.Sub(began))
	d.markChanged(e)
	d.mu.Unlock()
}

func (d *Driver) recordOutcome(n loader.Need, action keeper.Action, answer caller.Answer, now time.Time, took time.Duration) {
	outcome := "done"
	switch {
	case answer.Fenced:
		outcome = "fenced"
	case answer.Outcome == keeper.Failed:
		outcome = "failed"
	case answer.Outcome == keeper.Lost:
		outcome = "lost"
	}
	switch action.(type) {
	case keeper.Evict:
		d.countReason("sardinetiller_evictions_total", outcome)
	case keeper.Load:
		d.countReason("sardinetiller_loads_total", outcome)
		d.budget.Finish(n, answer.Outcome == keeper.Done, now)
		if answer.Outcome == keeper.Done {
			d.loadTime.add(took)
			return
		}
		d.rejectUnloadable(n, now)
	}
}

// maxLoadFailures is the number of consecutive failed loads of an adapter after which the
// requests that wait for it are refused at once, not near their deadline.
const maxLoadFailures = 3

// rejectUnloadable refuses the requests that wait for an adapter whose loads keep failing.
// Another runner may serve them; a new request causes another load after the
// backoff.
func (d *Driver) rejectUnloadable(n loader.Need, now time.Time) {
	if d.budget.Failures(n.Adapter) < maxLoadFailures {
		return
	}
	retry := max(0, d.budget.Backoff(n.Adapter).Sub(now))
	refusal := judge.Refuse(judge.ReasonLoad, "the adapter could not be loaded %d times in a row", maxLoadFailures).WithRetryAfter(retry)
	d.runners[n.Runner].rejectQueued(refusal, func(i admitter.Item) bool { return i.Adapter == n.Adapter })
}

func (d *Driver) enqueue(call *streamer.Call, now time.Time) (*waiter, *engine, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.runners[call.Runner]
	if !ok || !e.Keeper.Owned() {
		return nil, nil, ownerRefusal()
	}
	if e.Leaving() {
		return nil, nil, leavingRefusal(e)
	}
	if !e.Keeper.Servable(call.Adapter) && !slices.Contains(e.pendingAdapters(), call.Adapter) {
		d.markChanged(e) // one more adapter is queued for a load
	}
	if err := d.checkDeadline(e, call, now); err != nil {
		return nil, nil, err
	}
	displaced, err := e.Queue.Offer(admitter.Item{
		ID: call.ID, Account: call.Account, Adapter: call.Adapter, Priority: call.Priority,
		Arrived: now, Deadline: call.Deadline,
	})
	if err != nil {
		return nil, nil, err
	}
	if displaced != nil {
		e.refuse(displaced.ID, admitter.Displaced(displaced))
	}
	w := &waiter{start: make(chan keeper.Handle, 1), failed: make(chan *judge.Error, 1)}
	e.waiters[call.ID] = w
	return w, e, nil
}

// checkDeadline refuses a request at once if it would not start before its deadline. The
// owner can decide this because it has the queue and knows that an account with few
// queued requests does not wait behind one with many.
func (d *Driver) checkDeadline(e *engine, call *streamer.Call, now time.Time) error {
	if call.Deadline.IsZero() {
		return nil
	}
	turnsAhead := float64(e.Queue.Ahead(call.Account)) / float64(e.Batch)
	wait := time.Duration(turnsAhead * float64(d.runTime.duration()))
	if left := call.Deadline.Sub(now); wait > left {
		return judge.Refuse(judge.ReasonDeadline, "the queue takes about %s and %s is left",
			wait.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(wait - left)
	}
	return nil
}

// minRunDivisor divides the average duration of a run to give a minimum: hardly any run
// is shorter, so a request with less time left cannot complete.
const minRunDivisor = 4

// refuseExpired refuses the queued requests that cannot complete before their deadlines.
func (d *Driver) refuseExpired(e *engine, now time.Time) {
	for _, item := range e.Queue.Expired(now, d.runTime.duration()/minRunDivisor) {
		e.refuse(item.ID, judge.Refuse(judge.ReasonDeadline, "the deadline passed while the request waited"))
	}
	if e.Leaving() {
		e.rejectQueued(leavingRefusal(e), anyItem)
	}
}

// refuse passes the refusal to a request that was removed from the queue.
func (e *engine) refuse(id string, refusal *judge.Error) {
	e.waiters[id].failed <- refusal
	delete(e.waiters, id)
}

// rejectQueued removes the matching requests from the queue and refuses them.
func (e *engine) rejectQueued(refusal *judge.Error, match func(admitter.Item) bool) {
	for _, item := range slices.Clone(e.Queue.Items()) {
		if match(item) {
			e.Queue.Remove(item.ID)
			e.refuse(item.ID, refusal)
		}
	}
}

func anyItem(admitter.Item) bool { return true }

// releaseUnsent releases the slot and the pin of a started request that is not sent.
func (d *Driver) releaseUnsent(ctx context.Context, e *engine, handle keeper.Handle) {
	d.mu.Lock()
	e.Finish(handle)
	d.mu.Unlock()
	d.Pump(context.WithoutCancel(ctx), time.Now())
}

func (d *Driver) run(ctx context.Context, e *engine, handle keeper.Handle, call *streamer.Call, sink streamer.Sink, arrived time.Time) error {
	began := time.Now()
	head := streamer.Head{Runner: e.Name, Queued: began.Sub(arrived)}
	head.Stall = d.stallTime(e, call.Adapter, arrived, began)
	err := caller.Run(ctx, e.address(), handle.String(), call, head, sink)
	if err != nil && judge.As(err).Verdict != judge.NotRun {
		d.mu.Lock()
		e.releasing++
		d.mu.Unlock()
		d.recordBroken(ctx, e, call, began)
		go d.cancelAndRelease(context.WithoutCancel(ctx), e, handle, call)
		return err
	}
	now := time.Now()
	d.mu.Lock()
	e.Finish(handle)
	if err == nil {
		d.runTime.add(now.Sub(began))
	} else {
		e.reportRequested = time.Time{} // it refused: request a report at once
	}
	d.mu.Unlock()
	d.Pump(context.WithoutCancel(ctx), now)
	return err
}

// cancelInterval is the interval between attempts to cancel a request.
const cancelInterval = 100 * time.Millisecond

// cancelAndRelease releases the pin of a request that may still run after a failure. The
// engine may not have noticed the closed connection, and an eviction would then hit
// the running request; so the pin is kept until the engine confirms that the request
// does not run. While the engine cannot be reached the pin stays: no eviction can be
// sent to it either.
func (d *Driver) cancelAndRelease(ctx context.Context, e *engine, handle keeper.Handle, call *streamer.Call) {
	for !d.Engine.Cancel(ctx, e.address(), call.ID) {
		d.countReason("sardinetiller_cancel_failures_total", "cancel")
		time.Sleep(cancelInterval)
	}
	d.mu.Lock()
	e.releasing--
	e.Finish(handle)
	d.mu.Unlock()
	d.Pump(ctx, time.Now())
}

// stallTime returns the time in the queue during which the adapter was not resident.
func (d *Driver) stallTime(e *engine, adapter string, arrived, began time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := e.Keeper.Since(adapter)
	if since.Before(arrived) {
		return 0
	}
	return min(since.Sub(arrived), began.Sub(arrived))
}

// withdraw removes a request whose caller disconnected or whose deadline passed
// before it started.
func (d *Driver) withdraw(ctx context.Context, e *engine, w *waiter, call *streamer.Call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(e.waiters, call.ID)
	if !e.Queue.Remove(call.ID) {
		select {
		case handle := <-w.start: // it started concurrently and is not sent
			e.Finish(handle)
		default:
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return judge.Refuse(judge.ReasonDeadline, "the deadline passed while the request waited")
	}
	return judge.Refuse(judge.ReasonCancelled, "withdrawn before it was sent")
}

func leavingRefusal(e *engine) *judge.Error {
	return judge.Refuse(judge.ReasonUpstream, "runner %s is leaving", e.Name)
}

func ownerRefusal() *judge.Error {
	return judge.Refuse(judge.ReasonOwner, "this instance does not own the runner")
}
