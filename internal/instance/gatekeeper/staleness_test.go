package gatekeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// changeDeadline is how long after its acknowledgement a change has to be in force at an
// instance without recent faults.
const changeDeadline = 2 * time.Second

// The store hangs, rejects calls and drops its history, connections of watch calls hang,
// another instance may publish what it knows, and the operator changes the configuration all
// the while, in random order. Guards against an instance that serves an older
// configuration later than three seconds after the last fault, or a change that is not in force
// in time from then on.
func TestConfigurationIsCurrentSoonAfterAnyFault(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

func runFaults(t *testing.T, rng *rand.Rand) {
	g, store := newGatekeeperWithStore()
	defer start(t, g.watchOperator, g.watchRunners)()
	if rng.IntN(2) == 0 {
		defer start(t, publishFrom(g, store))()
	}
	version := uint64(1)
	change := func() {
		version++
		store.configure(version)
	}
	for range 3 + rng.IntN(12) {
		switch rng.IntN(6) {
		case 0:
			store.set(hangs)
		case 1:
			store.set(rejects)
		case 2:
			store.set(serves)
		case 3:
			store.hangCalls()
		case 4:
			store.compact()
		default:
			change()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Second))))
	}
	store.set(serves)
	change()
	time.Sleep(recoveryTime)
	for range 5 {
		if got := g.version(); got != version {
			t.Fatalf("version %d in force, want %d", got, version)
		}
		change()
		time.Sleep(changeDeadline)
	}
}

// publishFrom returns a loop that publishes to an instance what another one that reaches the
// store knows.
func publishFrom(g *Gatekeeper, store *feedStore) func(ctx context.Context) {
	return func(ctx context.Context) {
		for ctx.Err() == nil {
			store.mu.Lock()
			newest, serving := store.rows["operator/config"].Version, store.mode == serves
			store.mu.Unlock()
			n := relayer.News{Fresh: serving, Lease: elector.Lease{Leader: "front-1", Fence: 1}, Renewal: 1}
			if serving {
				n.Operator = relayer.TableVersion{Newest: newest}
			}
			g.links["a"].apply(n)
			pause(ctx, farUpdateInterval)
		}
	}
}

// start runs loops of an instance until the returned function is called.
func start(t *testing.T, loops ...func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, loop := range loops {
		go loop(ctx)
	}
	return func() {
		cancel()
		synctest.Wait()
	}
}

// The store is back after an outage in which it answered nothing. Guards against a watch call
// that was sent during the outage and is lost there: if it is not replaced, each change takes
// until the next staleness check to be in force, for half a minute.
func TestWatchCallsSentDuringAnOutageAreReplacedAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		defer start(t, g.watchOperator, g.watchRunners)()
		time.Sleep(time.Second)
		store.set(hangs)
		store.configure(2)
		time.Sleep(7 * time.Second)
		store.set(serves)
		time.Sleep(recoveryTime)
		store.configure(3)
		time.Sleep(20 * time.Millisecond)
		if got := g.version(); got != 3 {
			t.Errorf("version %d in force 20 ms after it was written, want 3", got)
		}
	})
}

// The store becomes unavailable and available again while calls are in progress, and the watch
// calls are replaced. Guards against counting that as a failure of the store: it would count as
// unavailable again, and its return would replace the next calls, over and over.
func TestReplacedWatchCallsAreNoStoreFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGatekeeperWithStore()
		defer start(t, g.watchOperator, g.watchRunners)()
		for range 40 {
			time.Sleep(130 * time.Millisecond)
			g.recordStoreCall(time.Now(), errNoAnswer)
			g.recordStoreCall(time.Now(), nil)
			synctest.Wait()
			if _, down := g.storeUp.status(); down {
				t.Fatal("the store counts as unavailable after its return")
			}
		}
	})
}

// The changes are no longer available and the whole table is being read. Guards against further
// calls for changes, and against counting a call that was not made as a response of the store.
func TestNoStalenessCheckDuringAFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		g.setViews()
		g.operator.recordCall(nil, 1, time.Now())
		time.Sleep(time.Minute)
		if !g.operator.needsCheck(time.Now()) {
			t.Fatal("an old view needs no check; the test proves nothing")
		}
		g.operator.invalidate()
		stop := start(t, func(ctx context.Context) { g.pollWhenStale(ctx, &g.operator) })
		time.Sleep(10 * time.Second)
		stop()
		if n := store.callCount(); n != 0 {
			t.Errorf("%d calls to the store, want none", n)
		}
	})
}

// The connection of the watch call hangs, and another instance reports a row that has not
// arrived here. Guards against a change that is not in force until this instance's own
// staleness check: it has to be read as soon as it should have arrived.
func TestReportOfANewerRowTriggersAPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		defer start(t, g.watchOperator)()
		time.Sleep(time.Second)
		store.hangCalls()
		store.configure(2)
		g.links["a"].apply(relayer.News{Operator: relayer.TableVersion{Newest: 2}})
		time.Sleep(deliveryTime + 2*checkInterval)
		if got := g.version(); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
		store.configure(3) // the hanging call was replaced
		time.Sleep(20 * time.Millisecond)
		if got := g.version(); got != 3 {
			t.Errorf("version %d, want 3", got)
		}
	})
}

// Two instances that cannot reach the store report to each other what they know. Guards against
// treating that as a confirmation: they would consider each other current forever, and serve
// callers by the configuration from before the outage.
func TestConfirmationsByOthersAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGatekeeperWithStore()
		g.setViews()
		g.operator.recordCall([]tabler.Row{{Version: 5}}, 5, time.Now())
		time.Sleep(time.Minute)
		g.links["a"].apply(relayer.News{Operator: relayer.TableVersion{Newest: 5}})
		if s := g.operator.state(time.Now()); s.Age != 0 {
			t.Errorf("age %s after the report, want 0", s.Age)
		}
		if reported := g.operatorVersion(time.Now()); reported.Age < time.Minute {
			t.Errorf("publishes an age of %s that another instance reported", reported.Age)
		}
	})
}

// Each call to the store is billed. Guards against more than about one call a second of an
// instance that publishes to others, and against any but the watch call of an instance that
// receives updates.
func TestStalenessChecksAreFewWithoutFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		leads    bool
		maxCalls int // calls in a minute
	}{
		{"publishes to others", true, 64},
		{"receives updates", false, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, store := newGatekeeperWithStore()
				if tc.leads {
					makeLeader(g, "a")
				}
				defer start(t, g.watchOperator)()
				if !tc.leads {
					defer start(t, publishFrom(g, store))()
				}
				time.Sleep(time.Minute)
				if n := store.callCount(); n > tc.maxCalls {
					t.Errorf("%d calls in a minute, want %d at most", n, tc.maxCalls)
				}
			})
		})
	}
}

// Several instances publish to others. The leader of the first domain polls the store; the
// others receive the result before their own poll is due, and poll when that leader is gone.
func TestLeadersPollOneAfterTheOther(t *testing.T) {
	g := newTestGatekeeper()
	g.Config.Domains = []string{"a", "b", "c", "d", "e", "f"}
	for _, tc := range []struct {
		leads string
		want  time.Duration
	}{
		{"", maxAge}, {"f", maxAge}, {"c", maxAgeLeader + 2*maxAgeStagger}, {"a", maxAgeLeader},
	} {
		g.init()
		if tc.leads != "" {
			makeLeader(g, tc.leads)
		}
		if got := g.operatorMaxAge(); got != tc.want {
			t.Errorf("leader of %q polls after %s, want %s", tc.leads, got, tc.want)
		}
	}
}

// A leader fails and another instance takes over while the watch call on the leaders hangs.
// Guards against an instance that does not follow the new leader: until it does, its requests
// in that domain get no adapter loaded.
func TestNewLeaderIsKnownFromItsLeaseRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		g.links["a"].setLeader(elector.Lease{Leader: "front-1", Fence: 1})
		value, err := encoder.Marshal(elector.Lease{Leader: "front-3", Fence: 2})
		if err != nil {
			t.Fatal(err)
		}
		store.put(tabler.Row{Key: tableLeases + "/a", Value: value})
		g.controllers["a"].readLeaseRow(t.Context())
		if got := g.links["a"].leader.Leader; got != "front-3" {
			t.Errorf("follows %s, want front-3", got)
		}
	})
}
