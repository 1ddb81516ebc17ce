package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A script determines when a source does not publish.
type script struct {
	mute  moment // the source is partitioned from its members until then
	still moment // the source is paused until then
}

// publishes reports whether the source publishes now.
func (s *script) speaks(now time.Time) bool {
	for _, m := range []*moment{&s.mute, &s.still} {
		if until, ok := m.get(); ok && now.Before(until) {
			return false
		}
	}
	return true
}

// publishRows returns a loop in which a source publishes the operator's rows to a member.
func tellRowsOf(teller, member *Gatekeeper, s *script) func(ctx context.Context) {
	return func(ctx context.Context) {
		after := map[string]uint64{member.operator.name: member.operator.upTo()}
		for ctx.Err() == nil {
			now := time.Now()
			if s.speaks(now) {
				member.takeTables(teller.tellTables(after, true), now)
			} else {
				after[member.operator.name] = 0 // the subscription is restarted
			}
			pause(ctx, beat)
		}
	}
}

// newPair returns a source, a member that follows it, and the store of each.
func newTold() (teller, member *Gatekeeper, tellers, members *feedStore) {
	teller, tellers = newFedGatekeeper()
	member, members = newFedGatekeeper()
	teller.setViews()
	member.setViews()
	hold(teller, "a")
	return teller, member, tellers, members
}

// Hundreds of instances serve the operator's configuration, and each call to the store is
// billed. Guards against calls of any instance but the source, and against changes that take
// longer than one update to be in force at a member.
func TestMembersAreToldWhatTheOperatorWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		teller, member, store, none := newTold()
		none.set(turnsAway)
		defer start(t, teller.watchOperator)()
		defer start(t, tellRowsOf(teller, member, &script{}))()
		time.Sleep(time.Second)
		before := none.made()
		defer start(t, member.watchOperator)()
		for version := uint64(2); version < 12; version++ {
			store.configure(version)
			time.Sleep(2 * beat)
			if got := member.version(); got != version {
				t.Errorf("version %d in force, want %d", got, version)
			}
			time.Sleep(3 * time.Second)
		}
		if calls := none.made() - before; calls > 0 {
			t.Errorf("%d calls to the store for what the source publishes", calls)
		}
	})
}

// The source stops publishing, or goes on without reaching the store. Guards against members
// that rely on it and serve an old configuration for longer than allowed, in place of polling
// the store themselves.
func TestMembersAskWhenNobodyTellsWhatIsNew(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(s *script, tellers *feedStore)
	}{
		{"it is partitioned from its members", func(s *script, _ *feedStore) { s.mute.set(time.Now().Add(time.Hour)) }},
		{"it is paused", func(s *script, _ *feedStore) { s.still.set(time.Now().Add(time.Hour)) }},
		{"the store rejects it", func(_ *script, tellers *feedStore) { tellers.set(turnsAway) }},
		{"the store does not answer it", func(_ *script, tellers *feedStore) {
			tellers.set(swallows)
			tellers.deafen()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				teller, member, tellers, members := newTold()
				var s script
				defer start(t, teller.watchOperator, teller.watchRunners)()
				defer start(t, tellRowsOf(teller, member, &s), member.watchOperator)()
				time.Sleep(5 * time.Second)
				tc.happen(&s, tellers)
				for version := uint64(2); version < 6; version++ {
					members.configure(version)
					time.Sleep(inForce + 500*time.Millisecond) // one call more than without a source
					if got := member.version(); got != version {
						t.Errorf("version %d in force, want %d", got, version)
					}
				}
			})
		})
	}
}

// The published age counts from the call to the store that confirmed the rows. Counted from the
// update, a source that has lost the store would keep all its members from polling for as long
// as it publishes.
func TestAgeOfWhatIsToldGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		teller, member, _, _ := newTold()
		teller.operator.reached([]tabler.Row{{Key: "operator/config", Value: make([]byte, 8), Version: 5}}, 5, time.Now())
		time.Sleep(1500 * time.Millisecond)
		after := map[string]uint64{teller.operator.name: 0}
		member.takeTables(teller.tellTables(after, true), time.Now())
		if age := member.operator.state(time.Now()).Age; age != 1500*time.Millisecond {
			t.Errorf("age %s, want 1.5s", age)
		}
		if !member.operator.isSpared(time.Now()) {
			t.Error("polls the store for what was just published")
		}
		time.Sleep(patience)
		member.takeTables(teller.tellTables(after, true), time.Now())
		if member.operator.isSpared(time.Now()) {
			t.Error("does not poll the store for old rows")
		}
		if told := member.tellOperator(time.Now()); told.Newest != 0 {
			t.Errorf("confirms %+v, which another instance published", told)
		}
	})
}

// Large values are compressed for publication: a configuration of 64 KB would occupy a link of
// 20 Mbit/s for nearly a second on its way to the instances of a domain.
func TestRowsComeAsTheyWere(t *testing.T) {
	for _, row := range []tabler.Row{
		{Key: "op/small", Value: []byte("{}"), Version: 3},
		{Key: "op/none", Version: 4, Removed: true},
		{Key: "op/large", Value: []byte(strings.Repeat(`{"prefix":"/v1/","service":"llm"},`, 2000)), Version: 5},
	} {
		packed := pack(row)
		if len(packed.Value) > packLeast {
			t.Errorf("%s has %d bytes when packed", row.Key, len(packed.Value))
		}
		got, err := unpack(packed)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(row, got); diff != "" {
			t.Error(diff)
		}
	}
	if _, err := unpack(relayer.Row{Packed: true, Value: []byte("no such thing")}); err == nil {
		t.Error("accepts data that cannot be decompressed")
	}
	if _, err := unpack(pack(tabler.Row{Value: bytes.Repeat([]byte{0}, rowLimit+1)})); err == nil {
		t.Error("accepts a row over the limit")
	}
}

// Two sources, one of which may have an older view, are partitioned, paused and lose the store,
// the store fails the member too, and the operator changes the configuration all the while.
// Guards against a member that serves an older configuration later than three seconds after the
// last fault, or a change that is not in force in time from then on.
func TestConfigurationIsCurrentWhoeverTellsIt(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTellers(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

func playTellers(t *testing.T, rng *rand.Rand) {
	first, member, ownStore, members := newTold()
	second, _, otherStore, _ := newTold()
	stores := []*feedStore{ownStore, otherStore, members}
	scripts := []*script{{}, {}}
	defer start(t, first.watchOperator, first.watchRunners, second.watchOperator, second.watchRunners, member.watchOperator, member.watchRunners)()
	defer start(t, tellRowsOf(first, member, scripts[0]), tellRowsOf(second, member, scripts[1]))()
	version := uint64(1)
	change := func() {
		version++
		for _, s := range stores {
			s.configure(version)
		}
	}
	for range 3 + rng.IntN(12) {
		store, s := stores[rng.IntN(len(stores))], scripts[rng.IntN(len(scripts))]
		until := time.Now().Add(time.Duration(rng.Int64N(int64(6 * time.Second))))
		switch rng.IntN(8) {
		case 0:
			store.set(swallows)
		case 1:
			store.set(turnsAway)
		case 2, 3:
			store.set(serves)
		case 4:
			store.deafen()
		case 5:
			s.mute.set(until)
		case 6:
			s.still.set(until)
		default:
			change()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	for _, s := range stores {
		s.set(serves)
	}
	change()
	time.Sleep(settledAfter)
	for range 5 {
		if got := member.version(); got != version {
			t.Fatalf("version %d in force, want %d", got, version)
		}
		change()
		time.Sleep(inForce)
	}
}
