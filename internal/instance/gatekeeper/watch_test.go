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

// A staticStore is a store in which nothing changes. Each call takes a few milliseconds more
// than it waits.
type staticStore struct{ tabler.Feed }

func (staticStore) Scan(context.Context, string) ([]tabler.Row, uint64, error) { return nil, 1, nil }

func (staticStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]tabler.Row, uint64, error) {
	pause(ctx, wait+5*time.Millisecond)
	return nil, after, ctx.Err()
}

// A staticDecoder names tables and decodes nothing.
type staticDecoder struct{ Decoder }

func (staticDecoder) Tables() (operator, runners string) { return "operator", "runners" }

// A leader reads the runners from the store all the time, and nothing changes. Guards against
// an age of its view that counts from the start of the last call: its members would not rely on
// it between two calls, and each would poll the store itself.
func TestLeaderThatReachesTheStoreStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.Store, g.Decoder = staticStore{}, staticDecoder{}
		makeLeader(g, "a")
		if !g.leadsAny() {
			t.Fatal("is not leader; the test proves nothing")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go g.watchRunners(ctx)
		time.Sleep(time.Second)
		for range 60 {
			if !g.runnersFresh() {
				t.Fatal("not fresh")
			}
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}

// A forgetfulStore has no changes after any version.
type forgetfulStore struct {
	tabler.Feed

	scans *int
}

func (s forgetfulStore) Scan(ctx context.Context, _ string) ([]tabler.Row, uint64, error) {
	*s.scans++
	pause(ctx, 4*time.Millisecond)
	return nil, 1, ctx.Err()
}

func (forgetfulStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]tabler.Row, uint64, error) {
	pause(ctx, 4*time.Millisecond)
	return nil, 0, tabler.ErrCompacted
}

// Guards against whole tables that are read without end from a store that never has the changes that
// it is asked for.
func TestWholeTablesAreReadAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		scans := 0
		g.Store, g.Decoder = forgetfulStore{scans: &scans}, staticDecoder{}
		ctx, cancel := context.WithCancel(t.Context())
		go g.watchOperator(ctx)
		const span = 10 * time.Second
		time.Sleep(span)
		cancel()
		synctest.Wait()
		if most := int(span/tableReadInterval) + 1; scans == 0 || scans > most {
			t.Errorf("the table was read %d times in %s, want 1 to %d", scans, span, most)
		}
	})
}

// makeLeader makes an instance the leader of a domain.
func makeLeader(g *Gatekeeper, domain string) {
	d := g.controllers[domain]
	d.elector.TakeoverDelay = 0
	d.elector.ObserveRow(elector.Lease{}, 0, uptime())
	w, _ := d.elector.Next(uptime())
	d.elector.WriteSucceeded(w, 1, uptime())
}

// Two configurations follow each other closely, and arrive concurrently from different senders.
// Guards against the older one replacing the newer one: it stayed in force once, with no
// further row to correct it.
func TestOlderConfigurationDoesNotReplaceAConcurrentNewerOne(t *testing.T) {
	g, store := newGatekeeperWithStore()
	row := func(version uint64) tabler.Row {
		store.configure(version)
		return store.rows["operator/config"]
	}
	for version := uint64(2); version < 20_000; version += 2 {
		older, newer := row(version), row(version+1)
		var both sync.WaitGroup
		both.Go(func() { g.applyOperatorRow(older) })
		both.Go(func() { g.applyOperatorRow(newer) })
		both.Wait()
		if got := g.version(); got != version+1 {
			t.Fatalf("version %d in force, want %d", got, version+1)
		}
	}
}

// A leader checks whether it has to poll the store while it publishes to its members. The check
// must not hold the lock of the view while it acquires those of the controllers, as publishing
// acquires them in the other order: the instance deadlocked for good, and its callers were
// served an outdated configuration.
func TestPublishingAndStalenessChecksDoNotDeadlock(t *testing.T) {
	g, _ := newGatekeeperWithStore()
	g.setViews()
	makeLeader(g, "a")
	g.operator.recordCall([]tabler.Row{{Key: "operator/config", Version: 1}}, 1, time.Now())
	g.operator.publishedAt = time.Now().Add(time.Hour)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var both sync.WaitGroup
		both.Go(func() {
			for range 20_000 {
				g.operator.isPublished(time.Now())
			}
		})
		both.Go(func() {
			for range 20_000 {
				g.controllers["a"].updateFor("front-1", -1, true)
			}
		})
		both.Wait()
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("deadlock")
	}
}
