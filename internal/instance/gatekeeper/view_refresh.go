package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// watchTimeout is the timeout of a watch call on the operator's rows and the leases: they
	// change rarely, and each call costs money.
	watchTimeout = 29 * time.Second
	// minRetryDelay is the pause between two failed calls. It doubles up to maxRetryDelay: rejected
	// calls are billed like others, and a third of the instances, rejected for seconds, made
	// half of a day's calls. maxRetryDelay also bounds when an instance that the store serves
	// again catches up; time limits apply to it again three seconds after the store's return.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxCallInterval is more than the time between two calls while the store is unavailable.
	maxCallInterval = maxRetryDelay + time.Second

	// maxAge is the age at which an instance polls the store to check that its view of the
	// operator's rows is current. A change has to be in force two seconds after its
	// acknowledgement.
	maxAge = 2 * time.Second
	// maxAgeLeader is the same for an instance that publishes to others, and maxAgeStagger how
	// much longer it is for the leader of each further failure domain. Others learn of an
	// answer within 250 ms, so one call a second serves a whole deployment, and the next leader
	// makes it when the first is gone. Without the stagger all of them poll at the same moment.
	maxAgeLeader  = time.Second
	maxAgeStagger = 300 * time.Millisecond
	// maxAgeLeases is the same for the leases, which are known to be current while updates of
	// all leaders are received. Half of a lease's duration is enough, as no request waits for one.
	maxAgeLeases = leaseDuration / 2
	// tableReadInterval is the minimum time between two reads of a whole table. A store that has
	// no changes after any version would be read without end.
	tableReadInterval = time.Second
	// deliveryTime is how long a row that another instance knows may take to arrive here. Rows
	// reach all instances within some 50 ms; a configuration of 64 KB takes as long on a link
	// of 10 Mbit/s.
	deliveryTime = 200 * time.Millisecond
)

// maintainView keeps a view up to date with watch calls until ctx ends.
//
// A watch call may never be answered although its connection is alive: the store lost it in an
// outage, or the connection hangs. Callers then got 404 for half a minute on routes that all
// other instances served. So the view is also polled whenever it may be stale: it exceeds its
// maximum age for no longer than one short call takes, even if the watch call never ends.
func (g *Gatekeeper) maintainView(ctx context.Context, v *view, wait time.Duration) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { g.pollWhenStale(ctx, v) })
	failed := newBackOff()
	for ctx.Err() == nil {
		if v.isPublished(time.Now()) {
			pause(ctx, checkInterval)
			continue
		}
		began := time.Now()
		err := g.refresh(ctx, v, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReplaced) {
			continue
		}
		g.recordStoreCall(began, err)
		pause(ctx, retryDelay(err, failed)-time.Since(began))
	}
}

// pollWhenStale polls the store whenever nothing shows that the view is current, until ctx
// ends.
func (g *Gatekeeper) pollWhenStale(ctx context.Context, v *view) {
	failed := newBackOff()
	alarm := staleAlarm{gatekeeper: g, view: v}
	for ctx.Err() == nil {
		pause(ctx, checkInterval)
		now := time.Now()
		alarm.check(now)
		if !v.needsCheck(now) || g.skipStoreCall() {
			continue
		}
		err := g.poll(ctx, v)
		if ctx.Err() != nil {
			return
		}
		g.recordStoreCall(now, err)
		pause(ctx, retryDelay(err, failed)-time.Since(now))
	}
}

// skipStoreCall reports whether a call to the store would only fail again: the store is unavailable,
// and the calls for the runners show when it is back. Without this check the calls during an
// outage would double.
func (g *Gatekeeper) skipStoreCall() bool {
	_, down := g.storeUp.status()
	return down && !g.runnersPublished() && g.runners.calledRecently(time.Now())
}

// poll fetches the changes without waiting for any. If there are some, the watch call has
// missed them and is replaced.
func (g *Gatekeeper) poll(ctx context.Context, v *view) error {
	sentAt := time.Now()
	after := v.upTo()
	rows, version, err := g.Store.Watch(ctx, v.name, after, 0)
	if errors.Is(err, tabler.ErrCompacted) {
		g.resetView(v, after)
		v.replace(time.Now())
		return nil
	}
	v.callEnded(err)
	if err != nil {
		return err
	}
	g.applyChanges(v, rows, version, sentAt)
	if len(rows) > 0 {
		g.Recorder.Log(recorder.View, "msg", "changes missed by the watch call; replacing it", "table", v.name, "rows", len(rows), "waited", v.state(sentAt).Waits)
		v.replace(sentAt)
	}
	return nil
}

// refresh reads a whole table, or waits for its changes.
func (g *Gatekeeper) refresh(ctx context.Context, v *view, wait time.Duration) error {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := g.fetch(call, v, wait, cancel)
	v.watchEnded()
	if errors.Is(context.Cause(call), errReplaced) {
		return errReplaced
	}
	v.callEnded(err)
	return err
}

func (g *Gatekeeper) fetch(ctx context.Context, v *view, wait time.Duration, cancel context.CancelCauseFunc) error {
	pause(ctx, v.untilTableRead(time.Now()))
	sentAt := time.Now()
	after, known := v.watchBegan(sentAt, cancel)
	if !known {
		rows, version, err := g.Store.Scan(ctx, v.name)
		if err != nil {
			return err
		}
		v.recordTableRead(sentAt)
		v.applyAll(rows, version)
		v.recordCall(rows, version, sentAt)
		return nil
	}
	rows, version, err := g.Store.Watch(ctx, v.name, after, wait)
	if errors.Is(err, tabler.ErrCompacted) {
		g.resetView(v, after)
		return nil
	}
	if err != nil {
		return err
	}
	if waited := sentAt.Add(wait); len(rows) == 0 && !time.Now().Before(waited) {
		sentAt = waited // the store answers without a change only after the full wait
	}
	g.applyChanges(v, rows, version, sentAt)
	return nil
}

// applyChanges applies the answer to a call for changes.
func (g *Gatekeeper) applyChanges(v *view, rows []tabler.Row, version uint64, at time.Time) {
	v.applyChanges(rows, version)
	v.recordCall(rows, version, at)
}

func (g *Gatekeeper) resetView(v *view, after uint64) {
	g.Recorder.Log(recorder.View, "msg", "changes no longer available in the store; reading the whole table", "table", v.name, "after", after)
	v.invalidate()
}

// newBackOff returns the pauses between consecutive failed calls.
func newBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, Multiplier: 2, MaxInterval: maxRetryDelay}
}

// retryDelay returns the time from the beginning of a call to that of the next one: none after
// a success. It counts from the beginning, as a failed call may have taken a good part of it:
// counted from its end, an instance polled an unresponsive store only every 3.7 s, and noticed
// its recovery too late.
func retryDelay(err error, failed *backoff.ExponentialBackOff) time.Duration {
	if err == nil {
		failed.Reset()
		return 0
	}
	return failed.NextBackOff()
}
