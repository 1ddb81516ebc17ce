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

// A schedule determines when a source does not publish.
type schedule struct {
	partitioned atomicTime // the source is partitioned from its members until then
	paused      atomicTime // the source is paused until then
}

// publishes reports whether the source publishes now.
func (s *schedule) publishes(now time.Time) bool {
	for _, m := range []*atomicTime{&s.partitioned, &s.paused} {
		if until, ok := m.get(); ok && now.Before(until) {
			return false
		}
	}
	return true
}

// publishRows returns a loop in which a source publishes the operator's rows to a member.
func publishRows(source, member *Gatekeeper, s *schedule) func(ctx context.Context) {
	return func(ctx context.Context) {
		after := map[string]uint64{member.operator.name: member.operator.upTo()}
		for ctx.Err() == nil {
			now := time.Now()
			if s.publishes(now) {
				member.applyTables(source.tableUpdates(after, true), now)
			} else {
				after[member.operator.name] = 0 // the subscription is restarted
			}
			pause(ctx, updateInterval)
		}
	}
}

// newPair returns a source, a member that follows it, and the store of each.
func newPair() (source, member *Gatekeeper, sourceStore, memberStore *feedStore) {
	source, sourceStore = newGatekeeperWithStore()
	member, memberStore = newGatekeeperWithStore()
	source.setViews()
	member.setViews()
	makeLeader(source, "a")
	return source, member, sourceStore, memberStore
}

// Hundreds of instances serve the operator's configuration, and each call to the store is
// billed. Guards against calls of any instance but the source, and against changes that take
// longer than one update to be in force at a member.
func TestMembersReceiveTheOperatorsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, member, store, memberStore := newPair()
		memberStore.set(rejects)
		defer start(t, source.watchOperator)()
		defer start(t, publishRows(source, member, &schedule{}))()
		time.Sleep(time.Second)
		before := memberStore.callCount()
		defer start(t, member.watchOperator)()
		for version := uint64(2); version < 12; version++ {
			store.configure(version)
			time.Sleep(2 * updateInterval)
			if got := member.version(); got != version {
				t.Errorf("version %d in force, want %d", got, version)
			}
			time.Sleep(3 * time.Second)
		}
		if calls := memberStore.callCount() - before; calls > 0 {
			t.Errorf("%d calls to the store for what the source publishes", calls)
		}
	})
}

// The source stops publishing, or goes on without reaching the store. Guards against members
// that rely on it and serve an old configuration for longer than allowed, in place of polling
// the store themselves.
func TestMembersPollWhenTheSourceFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(s *schedule, sourceStore *feedStore)
	}{
		{"it is partitioned from its members", func(s *schedule, _ *feedStore) { s.partitioned.set(time.Now().Add(time.Hour)) }},
		{"it is paused", func(s *schedule, _ *feedStore) { s.paused.set(time.Now().Add(time.Hour)) }},
		{"the store rejects it", func(_ *schedule, sourceStore *feedStore) { sourceStore.set(rejects) }},
		{"the store does not answer it", func(_ *schedule, sourceStore *feedStore) {
			sourceStore.set(hangs)
			sourceStore.hangCalls()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, member, sourceStore, memberStore := newPair()
				var s schedule
				defer start(t, source.watchOperator, source.watchRunners)()
				defer start(t, publishRows(source, member, &s), member.watchOperator)()
				time.Sleep(5 * time.Second)
				tc.fail(&s, sourceStore)
				for version := uint64(2); version < 6; version++ {
					memberStore.configure(version)
					time.Sleep(changeDeadline + 500*time.Millisecond) // one call more than without a source
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
func TestPublishedAgeGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, member, _, _ := newPair()
		source.operator.recordCall([]tabler.Row{{Key: "operator/config", Value: make([]byte, 8), Version: 5}}, 5, time.Now())
		time.Sleep(1500 * time.Millisecond)
		after := map[string]uint64{source.operator.name: 0}
		member.applyTables(source.tableUpdates(after, true), time.Now())
		if age := member.operator.state(time.Now()).Age; age != 1500*time.Millisecond {
			t.Errorf("age %s, want 1.5s", age)
		}
		if !member.operator.isPublished(time.Now()) {
			t.Error("polls the store for what was just published")
		}
		time.Sleep(maxAge)
		member.applyTables(source.tableUpdates(after, true), time.Now())
		if member.operator.isPublished(time.Now()) {
			t.Error("does not poll the store for old rows")
		}
		if confirmed := member.operatorVersion(time.Now()); confirmed.Newest != 0 {
			t.Errorf("confirms %+v, which another instance published", confirmed)
		}
	})
}

// Large values are compressed for publication: a configuration of 64 KB would occupy a link of
// 20 Mbit/s for nearly a second on its way to the instances of a domain.
func TestPackedRowsAreRestored(t *testing.T) {
	for _, row := range []tabler.Row{
		{Key: "op/small", Value: []byte("{}"), Version: 3},
		{Key: "op/none", Version: 4, Deleted: true},
		{Key: "op/large", Value: []byte(strings.Repeat(`{"prefix":"/v1/","service":"llm"},`, 2000)), Version: 5},
	} {
		packed := pack(row)
		if len(packed.Value) > compressFrom {
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
func TestConfigurationIsCurrentWhicheverSourceFails(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSources(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

func runSources(t *testing.T, rng *rand.Rand) {
	first, member, firstStore, memberStore := newPair()
	second, _, secondStore, _ := newPair()
	stores := []*feedStore{firstStore, secondStore, memberStore}
	schedules := []*schedule{{}, {}}
	defer start(t, first.watchOperator, first.watchRunners, second.watchOperator, second.watchRunners, member.watchOperator, member.watchRunners)()
	defer start(t, publishRows(first, member, schedules[0]), publishRows(second, member, schedules[1]))()
	version := uint64(1)
	change := func() {
		version++
		for _, s := range stores {
			s.configure(version)
		}
	}
	for range 3 + rng.IntN(12) {
		store, s := stores[rng.IntN(len(stores))], schedules[rng.IntN(len(schedules))]
		until := time.Now().Add(time.Duration(rng.Int64N(int64(6 * time.Second))))
		switch rng.IntN(8) {
		case 0:
			store.set(hangs)
		case 1:
			store.set(rejects)
		case 2, 3:
			store.set(serves)
		case 4:
			store.hangCalls()
		case 5:
			s.partitioned.set(until)
		case 6:
			s.paused.set(until)
		default:
			change()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	for _, s := range stores {
		s.set(serves)
	}
	change()
	time.Sleep(recoveryTime)
	for range 5 {
		if got := member.version(); got != version {
			t.Fatalf("version %d in force, want %d", got, version)
		}
		change()
		time.Sleep(changeDeadline)
	}
}
