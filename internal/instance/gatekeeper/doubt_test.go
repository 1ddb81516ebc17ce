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

// inForce is how long after its acknowledgement a change has to be in force at an
// instance to which nothing has happened.
const inForce = 2 * time.Second

// The store falls silent, turns calls away, forgets its history, and connections
// fall silent under calls that wait; another instance tells what it knows, or does
// not; the operator changes the configuration all the while. Whatever came in which
// order: three seconds after the last trouble callers are served by the newest
// configuration, and from then on by each new one in time.
func TestConfigurationIsCurrentSoonAfterAnyTrouble(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTroubles(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

func playTroubles(t *testing.T, rng *rand.Rand) {
	g, store := newFedGatekeeper()
	defer start(t, g.watchOperator, g.watchRunners)()
	if rng.IntN(2) == 0 {
		defer start(t, tellFrom(g, store))()
	}
	version := uint64(1)
	change := func() {
		version++
		store.configure(version)
	}
	for range 3 + rng.IntN(12) {
		switch rng.IntN(6) {
		case 0:
			store.set(swallows)
		case 1:
			store.set(turnsAway)
		case 2:
			store.set(serves)
		case 3:
			store.deafen()
		case 4:
			store.forget()
		default:
			change()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Second))))
	}
	store.set(serves)
	change()
	time.Sleep(settledAfter)
	for range 5 {
		if got := g.version(); got != version {
			t.Fatalf("version %d in force, want %d", got, version)
		}
		change()
		time.Sleep(inForce)
	}
}

// tellFrom returns a loop that tells an instance what another one that reaches the
// store knows.
func tellFrom(g *Gatekeeper, store *feedStore) func(ctx context.Context) {
	return func(ctx context.Context) {
		for ctx.Err() == nil {
			store.mu.Lock()
			newest, serving := store.rows["operator/config"].Version, store.mode == serves
			store.mu.Unlock()
			n := relayer.News{Fresh: serving, Tenure: elector.Tenure{Holder: "front-1", Fence: 1}, Renewal: 1}
			if serving {
				n.Operator = relayer.Known{Newest: newest}
			}
			g.links["a"].take(n)
			pause(ctx, farBeat)
		}
	}
}

// start runs loops of an instance until the function that it returns is called.
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

// The store is back after seconds in which it answered nobody. The call for changes
// that was sent meanwhile is forgotten there; were it kept, each change would take
// until the next doubt to come into force, for half a minute.
func TestCallsSentIntoAnOutageAreReplacedAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		defer start(t, g.watchOperator, g.watchRunners)()
		time.Sleep(time.Second)
		store.set(swallows)
		store.configure(2)
		time.Sleep(7 * time.Second)
		store.set(serves)
		time.Sleep(settledAfter)
		store.configure(3)
		time.Sleep(20 * time.Millisecond)
		if got := g.version(); got != 3 {
			t.Errorf("version %d in force 20 ms after it was written, want 3", got)
		}
	})
}

// The store was away and is back while calls are under way. Those that wait long are
// replaced; were that taken for a failure of the store, it would count as lost again,
// and its return would replace the next ones, again and again.
func TestReturnOfTheStoreDoesNotMakeItLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newFedGatekeeper()
		defer start(t, g.watchOperator, g.watchRunners)()
		for range 40 {
			time.Sleep(130 * time.Millisecond)
			g.sawStore(time.Now(), errNoAnswer)
			g.sawStore(time.Now(), nil)
			synctest.Wait()
			if _, down := g.storeUp.back(); down {
				t.Fatal("the store counts as lost")
			}
		}
	})
}

// All rows are being read, as the changes were forgotten. No call about changes is
// made beside that, and none that was not made counts as an answer of the store.
func TestNothingIsDoubtedWhileAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		g.setViews()
		g.operator.reached(nil, 1, time.Now())
		time.Sleep(time.Minute)
		if !g.operator.doubtful(time.Now()) {
			t.Fatal("an old view is not doubted; the test shows nothing")
		}
		g.operator.forget()
		end := start(t, func(ctx context.Context) { g.doubt(ctx, &g.operator) })
		time.Sleep(10 * time.Second)
		end()
		if n := store.made(); n != 0 {
			t.Errorf("%d calls", n)
		}
	})
}

// The connection of the call for changes falls silent, and nothing else. Another
// instance tells of a row that has not come here: callers wait for it as long as it
// may be on its way and one call takes, not until this instance doubts by itself.
func TestInstanceThatIsToldOfANewerRowAsksForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		defer start(t, g.watchOperator)()
		time.Sleep(time.Second)
		store.deafen()
		store.configure(2)
		g.links["a"].take(relayer.News{Operator: relayer.Known{Newest: 2}})
		time.Sleep(onTheWay + 2*toldEvery)
		if got := g.version(); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
		store.configure(3) // the call that fell silent was replaced
		time.Sleep(20 * time.Millisecond)
		if got := g.version(); got != 3 {
			t.Errorf("version %d, want 3", got)
		}
	})
}

// Two instances that cannot reach the store tell each other what they know. Were
// that a sign that it is current, they would find each other current for ever, and
// their callers would be served by what held before the store was lost.
func TestWhatOthersToldIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newFedGatekeeper()
		g.setViews()
		g.operator.reached([]tabler.Row{{Version: 5}}, 5, time.Now())
		time.Sleep(time.Minute)
		g.links["a"].take(relayer.News{Operator: relayer.Known{Newest: 5}})
		if s := g.operator.state(time.Now()); s.Age != 0 {
			t.Errorf("age %s after it was told, want 0", s.Age)
		}
		if told := g.tellOperator(time.Now()); told.Age < time.Minute {
			t.Errorf("tells an age of %s that it was told itself", told.Age)
		}
	})
}

// Each call to the store is paid for. While nothing fails, an instance that tells
// others makes about one call a second for them all, and one that is told makes
// none but the long call.
func TestDoubtCostsLittleWhileNothingFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		holds bool
		most  int // calls in a minute
	}{
		{"tells others", true, 64},
		{"is told", false, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, store := newFedGatekeeper()
				if tc.holds {
					hold(g, "a")
				}
				defer start(t, g.watchOperator)()
				if !tc.holds {
					defer start(t, tellFrom(g, store))()
				}
				time.Sleep(time.Minute)
				if n := store.made(); n > tc.most {
					t.Errorf("%d calls in a minute, want %d at most", n, tc.most)
				}
			})
		})
	}
}

// Several instances tell others. The one that holds the first domain asks the store;
// the others hear of the answer before it is their turn, and take over when it is
// gone.
func TestOneOfThoseThatTellAsks(t *testing.T) {
	g := newTestGatekeeper()
	g.Config.Domains = []string{"a", "b", "c", "d", "e", "f"}
	for _, tc := range []struct {
		holds string
		want  time.Duration
	}{
		{"", patience}, {"f", patience}, {"c", patienceHolder + 2*stagger}, {"a", patienceHolder},
	} {
		g.init()
		if tc.holds != "" {
			hold(g, tc.holds)
		}
		if got := g.operatorPatience(); got != tc.want {
			t.Errorf("holder of %q asks after %s, want %s", tc.holds, got, tc.want)
		}
	}
}

// The holder of a tenure dies and another instance takes over while the call that
// waits for changes of the holders is one that nobody answers. This instance has to
// follow the new one: until then its requests in that domain get no adapter loaded.
func TestNewHolderIsKnownFromTheRowOfItsTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newFedGatekeeper()
		g.links["a"].setHolder(elector.Tenure{Holder: "front-1", Fence: 1})
		value, err := encoder.Marshal(elector.Tenure{Holder: "front-3", Fence: 2})
		if err != nil {
			t.Fatal(err)
		}
		store.put(tabler.Row{Key: tableTenures + "/a", Value: value})
		g.controllers["a"].read(t.Context())
		if got := g.links["a"].holder.Holder; got != "front-3" {
			t.Errorf("follows %s, want front-3", got)
		}
	})
}
