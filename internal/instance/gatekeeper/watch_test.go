package gatekeeper

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A still store is one in which nothing changes. Each call takes a few
// milliseconds more than it waits.
type stillStore struct{ tabler.Feed }

func (stillStore) Scan(context.Context, string) ([]tabler.Row, uint64, error) { return nil, 1, nil }

func (stillStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]tabler.Row, uint64, error) {
	pause(ctx, wait+5*time.Millisecond)
	return nil, after, ctx.Err()
}

// stillDecoder names tables and decodes nothing.
type stillDecoder struct{ Decoder }

func (stillDecoder) Tables() (operator, runners string) { return "operator", "runners" }

// A holder asks the store for the runners all the time, and nothing changes.
// Were what it knows taken to be as old as the call that brought it, its members
// would not trust it between two calls, and each would ask the store itself.
func TestHolderThatReachesTheStoreIsFreshAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Store, g.Decoder = stillStore{}, stillDecoder{}
		hold(g, "a")
		if !g.holdsAny() {
			t.Fatal("does not hold the tenure; the test shows nothing")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go g.watchRunners(ctx)
		time.Sleep(time.Second)
		for range 60 {
			if !g.fresh() {
				t.Fatal("not fresh")
			}
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}

// hold makes an instance the holder of the tenure of a domain.
func hold(g *Gatekeeper, domain string) {
	d := g.controllers[domain]
	d.elector.Late = 0
	d.elector.Read(elector.Tenure{}, 0, uptime())
	w, _ := d.elector.Next(uptime())
	d.elector.Written(w, 1, uptime())
}

// Two configurations follow each other closely, and come by different ways at the same
// time. Whichever is looked at first, callers must be served by the newer one: the older
// stayed in force once, with nothing more to come that would have shown it.
func TestOlderConfigurationDoesNotReplaceANewerOneThatComesAtTheSameTime(t *testing.T) {
	g, store := newFedGatekeeper()
	row := func(version uint64) tabler.Row {
		store.configure(version)
		return store.rows["operator/config"]
	}
	for version := uint64(2); version < 20_000; version += 2 {
		older, newer := row(version), row(version+1)
		var both sync.WaitGroup
		both.Go(func() { g.operatorRow(older) })
		both.Go(func() { g.operatorRow(newer) })
		both.Wait()
		if got := g.version(); got != version+1 {
			t.Fatalf("version %d in force, want %d", got, version+1)
		}
	}
}

// A holder looks whether it needs the store while it tells its members what it knows.
// Each takes the lock of the other last; taken the other way round once, the instance
// stood still for good and its callers were served by what held then.
func TestTellingAndDoubtingDoNotBlockEachOther(t *testing.T) {
	g, _ := newFedGatekeeper()
	g.setViews()
	hold(g, "a")
	g.operator.reached([]tabler.Row{{Key: "operator/config", Version: 1}}, 1, time.Now())
	g.operator.spared = time.Now().Add(time.Hour)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var both sync.WaitGroup
		both.Go(func() {
			for range 20_000 {
				g.operator.isSpared(time.Now())
			}
		})
		both.Go(func() {
			for range 20_000 {
				g.controllers["a"].digest("front-1", -1, true)
			}
		})
		both.Wait()
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("they block each other")
	}
}
