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
	// longWatch is how long a call for changes of the operator's and the
	// tenures' rows waits: they change seldom, and each call costs.
	longWatch = 29 * time.Second
	// again is the pause between two calls that fail. It doubles up to lastAgain:
	// calls that the store turns away are paid for like others, and a third of the
	// instances turned away for seconds made half of a day's calls. An instance that the store serves again has this long to catch up before
	// anything is asked of it in time, which is three seconds later.
	again     = 250 * time.Millisecond
	lastAgain = 2 * time.Second
	// nextCall is more than lies between two calls while the store is away.
	nextCall = lastAgain + time.Second

	// patience is the age at which an instance asks the store whether what it
	// knows of the operator's rows is current. A change has to be in force two
	// seconds after its acknowledgement.
	patience = 2 * time.Second
	// patienceHolder is the same for an instance that tells others, and stagger how
	// much longer that of the holder of each further failure domain is. Others hear of
	// an answer within 250 ms, so one call a second serves a whole deployment, and the
	// next holder makes it when the first is gone. Without the stagger all of them
	// ask at the same moment.
	patienceHolder = time.Second
	stagger        = 300 * time.Millisecond
	// patienceTenures is the same for the holders of tenures, which are known to be
	// current while all of them are heard. Half of a lease: nobody waits for one.
	patienceTenures = lease / 2
	// onTheWay is how long a row that another instance knows may still be on its
	// way here. It comes to all within some 50 ms; a configuration of 64 KB takes
	// as long on a link of 10 Mbit/s.
	onTheWay = 200 * time.Millisecond
)

// follow keeps a view up to date until ctx ends, by calls that wait for changes.
//
// Such a call may get no answer although its connection lives: a store that was
// away took it and forgot it, or the connection has fallen silent. Callers then got
// 404 for half a minute on routes that all other instances served. So the view is
// doubted at the same time: it is never older than patience for longer than one
// short call takes, whatever becomes of the long one.
func (g *Gatekeeper) follow(ctx context.Context, v *view, wait time.Duration) {
	var doubts sync.WaitGroup
	defer doubts.Wait()
	doubts.Go(func() { g.doubt(ctx, v) })
	failed := newPauses()
	for ctx.Err() == nil {
		if v.isSpared(time.Now()) {
			pause(ctx, toldEvery)
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
		g.sawStore(began, err)
		pause(ctx, pauseAfter(err, failed)-time.Since(began))
	}
}

// doubt asks the store about a view whenever nothing shows that it is current,
// until ctx ends.
func (g *Gatekeeper) doubt(ctx context.Context, v *view) {
	failed := newPauses()
	alarm := ageAlarm{gatekeeper: g, view: v}
	for ctx.Err() == nil {
		pause(ctx, toldEvery)
		now := time.Now()
		alarm.look(now)
		if !v.doubtful(now) || g.futile() {
			continue
		}
		err := g.probe(ctx, v)
		if ctx.Err() != nil {
			return
		}
		g.sawStore(now, err)
		pause(ctx, pauseAfter(err, failed)-time.Since(now))
	}
}

// futile reports whether a call to the store would only be one more that fails:
// the store is lost, and the calls about the runners show when it is back. Without
// this the calls of an outage would double.
func (g *Gatekeeper) futile() bool {
	_, down := g.storeUp.back()
	return down && !g.told() && g.runners.lately(time.Now())
}

// probe asks for changes and waits for none. If there are some, the call that
// waits for them has not told of them, and is not trusted any more.
func (g *Gatekeeper) probe(ctx context.Context, v *view) error {
	asked := time.Now()
	after := v.upTo()
	rows, version, err := g.Store.Watch(ctx, v.name, after, 0)
	if errors.Is(err, tabler.ErrForgotten) {
		g.forgotten(v, after)
		v.replace(time.Now())
		return nil
	}
	v.ended(err)
	if err != nil {
		return err
	}
	g.changed(v, rows, version, asked)
	if len(rows) > 0 {
		g.Recorder.Log(recorder.Belief, "msg", "changes that were not told", "table", v.name, "rows", len(rows), "waited", v.state(asked).Waits)
		v.replace(asked)
	}
	return nil
}

// refresh reads a table whole, or waits for its changes.
func (g *Gatekeeper) refresh(ctx context.Context, v *view, wait time.Duration) error {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := g.ask(call, v, wait, cancel)
	v.idle()
	if errors.Is(context.Cause(call), errReplaced) {
		return errReplaced
	}
	v.ended(err)
	return err
}

func (g *Gatekeeper) ask(ctx context.Context, v *view, wait time.Duration, cancel context.CancelCauseFunc) error {
	asked := time.Now()
	after, known := v.began(asked, cancel)
	if !known {
		rows, version, err := g.Store.Scan(ctx, v.name)
		if err != nil {
			return err
		}
		v.take(rows, version)
		v.reached(rows, version, asked)
		return nil
	}
	rows, version, err := g.Store.Watch(ctx, v.name, after, wait)
	if errors.Is(err, tabler.ErrForgotten) {
		g.forgotten(v, after)
		return nil
	}
	if err != nil {
		return err
	}
	if waited := asked.Add(wait); len(rows) == 0 && !time.Now().Before(waited) {
		asked = waited // the store answers without a change only when the wait is over
	}
	g.changed(v, rows, version, asked)
	return nil
}

// changed takes in the answer to a call for changes.
func (g *Gatekeeper) changed(v *view, rows []tabler.Row, version uint64, at time.Time) {
	v.takeChanges(rows, version)
	v.reached(rows, version, at)
}

func (g *Gatekeeper) forgotten(v *view, after uint64) {
	g.Recorder.Log(recorder.Belief, "msg", "changes forgotten by the store; reading all", "table", v.name, "after", after)
	v.forget()
}

// newPauses returns the pauses between calls that fail one after the other.
func newPauses() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: again, Multiplier: 2, MaxInterval: lastAgain}
}

// pauseAfter returns the time from the beginning of a call to that of the next one:
// none after one that succeeded. It counts from the beginning, as a call may have
// waited in vain for a good part of it: counted from its end, an instance asked a
// store that answers nobody every 3.7 s, and learned too late that it was back.
func pauseAfter(err error, failed *backoff.ExponentialBackOff) time.Duration {
	if err == nil {
		failed.Reset()
		return 0
	}
	return failed.NextBackOff()
}
