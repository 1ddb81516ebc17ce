package gatekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A livesEngine answers the question whether a runner lives as its script says.
type livesEngine struct {
	Engine
	lives []tracker.Life // the last one again and again
	asked int
}

func (e *livesEngine) Lives(context.Context, tracker.Runner) tracker.Life {
	e.asked++
	return e.lives[min(e.asked, len(e.lives))-1]
}

// Answers break off for many reasons, and a request that is suspected three times is
// rejected. Only a runner that takes no connection any more, or another incarnation in
// its place, is a crash; a reset, a cut link, a pause and a planned end are not.
func TestWhatCountsAsACrash(t *testing.T) {
	const (
		unknown, lives, refuses, replaced = tracker.Unknown, tracker.Lives, tracker.Refuses, tracker.Replaced
	)
	for _, tc := range []struct {
		name  string
		lives []tracker.Life
		set   func(g *Gatekeeper, r tracker.Runner) // before the answer breaks off
		later func(g *Gatekeeper, r tracker.Runner) // right after
		want  bool
	}{
		{"the runner takes no connection", []tracker.Life{refuses}, nil, nil, true},
		{"it answers once more as it dies", []tracker.Life{unknown, refuses}, nil, nil, true},
		{"another incarnation answers", []tracker.Life{replaced}, nil, nil, true},
		{"one connection was reset, or an answer lost or spoiled", []tracker.Life{lives}, nil, nil, false},
		{"it has no connection to spare for a moment", []tracker.Life{refuses, lives}, nil, nil, false},
		{"its link is cut, or it is paused", []tracker.Life{unknown}, nil, nil, false},
		{"it refuses now and then behind a bad link", []tracker.Life{refuses, unknown, refuses, unknown, lives}, nil, nil, false},
		{"it had said that it leaves", []tracker.Life{refuses}, func(g *Gatekeeper, r tracker.Runner) {
			r.Leaving, r.Revision = true, 2
			g.setRunner(r, fromStore)
		}, nil, false},
		{"it says so just then", []tracker.Life{refuses}, nil, func(g *Gatekeeper, r tracker.Runner) {
			r.Leaving, r.Revision = true, 2
			g.setRunner(r, fromStore)
		}, false},
		{"it had left", []tracker.Life{refuses}, func(g *Gatekeeper, r tracker.Runner) { g.removeNow(r.ID, r.Revision, fromStore, whyRow) }, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newChained("a-1", "a")
				g.Engine = &livesEngine{lives: tc.lives}
				r := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
				g.setRunner(r, fromStore)
				if tc.set != nil {
					tc.set(g, r)
				}
				g.Broke("d", r, time.Now())
				if tc.later != nil {
					tc.later(g, r)
				}
				time.Sleep(checkTime + time.Second)
				synctest.Wait()
				if diff := cmp.Diff(tc.want, g.Suspects()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Twenty requests of one instance break off as a runner crashes, some later than others.
// All are suspects, the runner is asked once for all of them, and one that breaks off
// after the answer needs no further question. What is sent to the dead runner is none.
func TestRunnerIsAskedOnceForAllThatBrokeOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newChained("a-1", "a")
		engine := &livesEngine{lives: []tracker.Life{tracker.Refuses}}
		g.Engine = engine
		r := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
		g.setRunner(r, fromStore)
		sent := time.Now()
		time.Sleep(time.Second)
		for n := range 20 {
			g.Broke(quarantiner.Digest(rune('a'+n)), r, sent)
		}
		time.Sleep(time.Second)
		g.Broke("late", r, sent)
		g.Broke("sent after the crash", r, time.Now())
		synctest.Wait()
		if got := len(g.quarantine.ledger.Cases()); got != 21 {
			t.Errorf("%d requests are suspected, want 21", got)
		}
		if engine.asked != refusals {
			t.Errorf("the runner was asked %d times, want %d", engine.asked, refusals)
		}
		time.Sleep(crashKept) // for the timer
	})
}
