package gatekeeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A view is what this instance knows of a table of the store, and as of when.
// The fields before mu are set before its loop begins.
type view struct {
	name   string
	whole  func(rows []tabler.Row) // nil: each row is a change
	change func(row tabler.Row)

	at moment // as of when it is known, at the earliest

	mu     sync.Mutex
	known  bool
	after  uint64    // the version up to which it is known
	asked  time.Time // when the call under way was sent; zero if there is none
	failed int       // calls that failed since the last one that succeeded
	err    error     // of the last of them
}

// A viewState tells how old a view is, and why.
type viewState struct {
	After  uint64        // the version up to which it is known
	Age    time.Duration // since it was known to be current; never if it was not yet
	Failed int           // calls that failed since the last one that succeeded
	Err    error         // of the last of them
	Waits  time.Duration // for the answer to the call under way; 0 if there is none
}

// never is the age of what was not known yet.
const never = -time.Second

// state returns how old the view is at now, and why.
func (v *view) state(now time.Time) viewState {
	s := viewState{Age: never}
	if at, ok := v.at.get(); ok {
		s.Age = max(0, now.Sub(at))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s.After, s.Failed, s.Err = v.after, v.failed, v.err
	if !v.asked.IsZero() {
		s.Waits = now.Sub(v.asked)
	}
	return s
}

// began notes that a call is sent, and returns from which version it is to ask;
// known is false if all is to be read.
func (v *view) began(now time.Time) (after uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked = now
	return v.after, v.known
}

// reached notes up to which version the table is known; known is false if all has
// to be read anew.
func (v *view) reached(after uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.after, v.known = after, known
}

// ended notes how a call ended.
func (v *view) ended(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked = time.Time{}
	if err != nil {
		v.failed++
		v.err = err
		return
	}
	v.failed, v.err = 0, nil
}

// take takes in all rows of the table.
func (v *view) take(rows []tabler.Row) {
	if v.whole != nil {
		v.whole(rows)
		return
	}
	for _, row := range rows {
		v.change(row)
	}
}

// setViews sets what the views are of.
func (g *Gatekeeper) setViews() {
	g.viewsSet.Do(func() {
		operator, runners := g.Decoder.Tables()
		g.operator.name, g.operator.change = operator, g.operatorRow
		g.holders.name, g.holders.change = tableHolders, g.holderRow
		g.runners.name, g.runners.change, g.runners.whole = runners, g.runnerRow, g.allRunners
	})
}

// refresh reads a table whole, or waits for its changes.
func (g *Gatekeeper) refresh(ctx context.Context, v *view, wait time.Duration) error {
	err := g.ask(ctx, v, wait)
	v.ended(err)
	return err
}

func (g *Gatekeeper) ask(ctx context.Context, v *view, wait time.Duration) error {
	asked := time.Now()
	after, known := v.began(asked)
	if !known {
		rows, version, err := g.Store.Scan(ctx, v.name)
		if err != nil {
			return err
		}
		v.take(rows)
		v.reached(version, true)
		v.at.set(asked)
		return nil
	}
	rows, version, err := g.Store.Watch(ctx, v.name, after, wait)
	if errors.Is(err, tabler.ErrForgotten) {
		g.Recorder.Log(recorder.Belief, "msg", "changes forgotten by the store; reading all", "table", v.name, "after", after)
		v.reached(after, false)
		return nil
	}
	if err != nil {
		return err
	}
	for _, row := range rows {
		v.change(row)
	}
	v.reached(version, true)
	if len(rows) == 0 {
		asked = asked.Add(wait) // the store answers without a change only when the wait is over
	}
	v.at.set(asked)
	return nil
}
