package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// A chain is a leader of domain b, a leader of domain a that relays, and a member of a that
// receives updates of b from it. Messages are delivered by calls of the test.
type chain struct {
	leader, relay, member *Gatekeeper
	relaySeq, memberSeq   int // sequence number up to which each received the changes
}

func newChain() *chain {
	c := &chain{leader: newDomainGatekeeper("b-1", "b"), relay: newDomainGatekeeper("a-1", "a"), member: newDomainGatekeeper("a-2", "a")}
	c.begin()
	return c
}

func newDomainGatekeeper(id, domain string) *Gatekeeper {
	g := newTestGatekeeper()
	g.Config.ID, g.Config.Domain, g.Config.Domains = id, domain, []string{"a", "b"}
	g.Fleet = &tracker.Fleet{Domain: domain}
	g.Pool = &pooler.Pool{}
	g.Store, g.Decoder = newFeedStore(), feedDecoder{}
	g.init()
	g.setViews()
	return g
}

func (c *chain) begin() {
	makeLeader(c.leader, "b")
	makeLeader(c.relay, "a")
	c.relaySeq, c.memberSeq = -1, -1
	for _, g := range []*Gatekeeper{c.relay, c.member} {
		g.links["a"].setLeader(elector.Lease{Leader: "a-1", Address: "a-1", Fence: 1})
		g.links["b"].setLeader(elector.Lease{Leader: "b-1", Address: "b-1", Fence: 1})
	}
}

// leaderToRelay delivers an update of the leader to the relay, and relayToMember one of the
// relay to the member.
func (c *chain) leaderToRelay() {
	update, next, _ := c.leader.controllers["b"].updateFor("a-1", c.relaySeq, true)
	c.relaySeq = next
	l := c.relay.links["b"]
	l.recordSource(source{"b-1", "b-1"}, update)
	l.apply(update)
}

func (c *chain) relayToMember() {
	defer c.relay.controllers["b"].addSubscriber()()
	update, next, _ := c.relay.controllers["b"].updateFor("a-2", c.memberSeq, true)
	c.memberSeq = next
	l := c.member.links["b"]
	l.recordSource(source{"a-1", "a-1"}, update)
	l.apply(update)
}

// memberToRelay delivers the member's report to the relay, and relayToLeader the sums of the
// relay to the leader.
func (c *chain) memberToRelay() {
	c.relay.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, c.member.links["b"].demand())
}

func (c *chain) relayToLeader() {
	c.leader.HandleDemand(heartbeater.Instance{ID: "a-1", Domain: "a"}, c.relay.links["b"].demand())
}

var testCopyKey = aggregator.Key{Runner: "i-1", Copy: placer.Copy{Model: "m", Adapter: "a1", Version: 1}}

func (c *chain) addRunner() {
	for _, g := range []*Gatekeeper{c.leader, c.relay, c.member} {
		g.setRunner(tracker.Runner{ID: "i-1", Domain: "b", Service: "llm", Revision: 1}, fromStore)
	}
}

// A request uses a copy in another failure domain, and its instance reports that to the leader
// there through the leader of its own domain. The copy must stay as long as the request runs,
// and its slot must become free afterwards, whichever instance has failed or missed a message
// meanwhile.
func TestUsesAreRelayed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(c *chain, done func())
		want  int
	}{
		{"begins", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
		}, 1},
		{"a slot was reserved, and neither report has arrived yet", func(c *chain, _ func()) {
			c.leader.controllers["b"].recordUse("a-1", testCopyKey)
		}, 1},
		{"a slot was reserved, and both reports have arrived", func(c *chain, _ func()) {
			c.leader.controllers["b"].recordUse("a-1", testCopyKey)
			c.memberToRelay()
			c.relayToLeader()
		}, 1},
		{"ends", func(c *chain, done func()) {
			c.memberToRelay()
			c.relayToLeader()
			done()
			c.memberToRelay()
			c.relayToLeader()
		}, 0},
		{"ends, and that report is lost", func(c *chain, done func()) {
			c.memberToRelay()
			c.relayToLeader()
			done()
			_ = c.member.links["b"].demand()
			c.memberToRelay()
			c.relayToLeader()
		}, 0},
		{"goes on while the relay misses a report", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
			time.Sleep(memberTimeout / 2)
			c.relayToLeader()
		}, 1},
		{"the member fails", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
			for range 30 {
				time.Sleep(updateInterval)
				c.relayToLeader()
			}
		}, 0},
		{"the relay fails", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
			time.Sleep(memberTimeout + time.Second)
			c.leader.controllers["b"].loadsExcept("", time.Now())
		}, 0},
		{"the relay loses its lease, and the member has not noticed", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
			c.relay.controllers["a"].elector.Leave(uptime())
			c.memberToRelay()
			c.relayToLeader()
		}, 1},
		{"the relay loses its lease, and the member reports to the leader itself", func(c *chain, _ func()) {
			c.memberToRelay()
			c.relayToLeader()
			c.relay.controllers["a"].elector.Leave(uptime())
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, c.member.links["b"].demand())
			c.relay.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, relayer.Demand{Domain: "b", Unsubscribed: true})
			c.relayToLeader()
		}, 1},
		{"the member reported to the leader itself before, and has unsubscribed since", func(c *chain, done func()) {
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, c.member.links["b"].demand())
			c.memberToRelay()
			c.relayToLeader()
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, relayer.Demand{Domain: "b", Unsubscribed: true})
			done()
			c.memberToRelay()
			c.relayToLeader()
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChain()
				c.addRunner()
				tc.event(c, c.member.AcquireCopy(testCopyKey.Runner, testCopyKey.Copy))
				if diff := cmp.Diff(tc.want, c.leader.controllers["b"].aggregator.Uses(testCopyKey)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// The members of a domain choose a runner of another one by the loads of all others there. With
// their own load left out, or counted twice, they would all send to the same runner or to none.
func TestLoadsOfAllOthersAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain()
		c.addRunner()
		loads := func(n int) relayer.Demand {
			return relayer.Demand{Domain: "b", Loads: map[string]tracker.Load{"i-1": {Running: n}}}
		}
		c.leader.HandleDemand(heartbeater.Instance{ID: "b-2", Domain: "b"}, loads(100))
		c.relay.Fleet.Begin("i-1", 0, time.Now())
		c.member.Fleet.Begin("i-1", 0, time.Now())
		c.member.Fleet.Begin("i-1", 0, time.Now())
		c.relay.HandleDemand(heartbeater.Instance{ID: "a-3", Domain: "a"}, loads(10))
		c.memberToRelay()
		c.relayToLeader()
		time.Sleep(countSettleTime)
		c.leaderToRelay()
		c.relayToMember()
		running := func(g *Gatekeeper) int {
			return g.Fleet.Candidates(tracker.Demand{Service: "llm"}, time.Now())[0].Running
		}
		got := map[string]int{"relay": running(c.relay), "member": running(c.member), "leader": c.leader.controllers["b"].aggregator.Loads("")["i-1"].Running}
		if diff := cmp.Diff(map[string]int{"relay": 113, "member": 113, "leader": 113}, got); diff != "" {
			t.Error(diff)
		}
		if got := c.member.headcount.reported(); got != 4 {
			t.Errorf("%d instances share the retries, want 4", got)
		}
	})
}

// A copy is loaded at a runner of another failure domain, and evicted again. Members that do not
// learn of it send requests there that are refused, or load it once more.
func TestCopiesOfRunnersAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain()
		c.addRunner()
		done := c.relay.controllers["b"].addSubscriber()
		defer done()
		holds := func() bool {
			held, _ := c.member.Fleet.HeldCopies("i-1")
			_, ok := held[testCopyKey.Copy]
			return ok
		}
		at := time.Now()
		c.leader.controllers["b"].changes.add(event{copyChange: &copyEvent{runner: "i-1", copy: testCopyKey.Copy, at: at, present: true}})
		c.leaderToRelay()
		c.relayToMember()
		c.leaderToRelay() // in case the first update was a snapshot
		c.relayToMember()
		c.leader.controllers["b"].changes.add(event{copyChange: &copyEvent{runner: "i-1", copy: testCopyKey.Copy, at: at, present: true}})
		c.leader.controllers["b"].changes.add(event{slotWait: &slotEvent{runner: "i-1", wait: time.Second}})
		c.leaderToRelay()
		c.relayToMember()
		if !holds() {
			t.Error("a new copy was not relayed")
		}
		if !c.member.Fleet.AdapterSlotsFull("i-1") {
			t.Error("a wait for a slot was not relayed")
		}
		c.leader.controllers["b"].changes.add(event{copyChange: &copyEvent{runner: "i-1", copy: testCopyKey.Copy}})
		c.leaderToRelay()
		c.relayToMember()
		if holds() {
			t.Error("the eviction of the copy was not relayed")
		}
	})
}

// The leader of another domain fails while the instance that relays its updates lives. Guards
// against members that treat the relay's updates as the leader's: they would wait for adapters
// that no instance loads. Runners that are added or removed are published all the same, as the
// relay reads them from the store.
func TestRelayDoesNotHideThatTheLeaderSendsNoUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain()
		c.relay.runners.recordCall(nil, 1, time.Now())
		c.leaderToRelay()
		c.relayToMember()
		if c.member.links["b"].sinceUpdate() > 0 {
			t.Fatal("no update from the leader; the test proves nothing")
		}
		c.relay.setRunner(tracker.Runner{ID: "i-9", Domain: "b", Service: "llm", Revision: 9}, fromStore)
		for range int((minRelayTimeout+relayTimeoutJitter)/updateInterval) + 2 {
			time.Sleep(updateInterval)
			c.relay.runners.recordCall(nil, 1, time.Now())
			c.relayToMember()
		}
		if age := c.member.links["b"].sinceUpdate(); age < updateTimeout {
			t.Errorf("the last update of a failed leader was received %s ago", age)
		}
		if _, ok := c.member.links["b"].directLeader(); !ok {
			t.Error("does not follow the leader directly")
		}
		if _, known := c.member.Fleet.Get("i-9"); !known {
			t.Error("a new runner was not relayed")
		}
		if c.member.links["b"].sinceFresh() > updateInterval {
			t.Error("the runners count as not current, and each member would poll the store")
		}
	})
}

// Requests of a member begin and end while messages are lost and late, and while the relay is
// paused, loses its lease or restarts. Guards against a leader that still counts uses that have
// ended some time after the last fault, or that counts a copy as free although a request has
// used it for longer than reports take.
func TestUsesAreCountedWhateverHappensToTheRelay(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChain(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

func runChain(t *testing.T, rng *rand.Rand) {
	c := newChain()
	c.addRunner()
	var running []func()
	pausedUntil, direct := time.Time{}, false
	used := time.Now() // start of the current use
	for range 400 {
		now := time.Now()
		switch n := rng.IntN(40); {
		case n < 3 && len(running) < 3:
			if len(running) == 0 {
				used = now
			}
			running = append(running, c.member.AcquireCopy(testCopyKey.Runner, testCopyKey.Copy))
			reporter := "a-1"
			if direct {
				reporter = "a-2"
			}
			c.leader.controllers["b"].recordUse(reporter, testCopyKey)
		case n < 6 && len(running) > 0:
			running[0]()
			running = running[1:]
		case n == 6:
			pausedUntil = now.Add(time.Duration(rng.Int64N(int64(5 * time.Second))))
		case n == 7: // restart without state
			c.relay = newDomainGatekeeper("a-1", "a")
			c.relay.links["a"].setLeader(elector.Lease{Leader: "a-1", Address: "a-1", Fence: 1})
			makeLeader(c.relay, "a")
			c.addRunner()
			pausedUntil = time.Time{}
		}
		paused := now.Before(pausedUntil)
		if !direct && paused && pausedUntil.Sub(now) > updateTimeout {
			direct = true // the missing updates are detected within that time
		}
		if direct && !paused {
			direct = false
			c.memberToRelay()
			c.relayToLeader()
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, relayer.Demand{Domain: "b", Unsubscribed: true})
		}
		lost := rng.IntN(10) == 0
		switch {
		case direct:
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-2", Domain: "a"}, c.member.links["b"].demand())
		case !paused && !lost:
			c.memberToRelay()
			c.relayToLeader()
		}
		c.leader.controllers["b"].loadsExcept("", now)
		if uses := c.leader.controllers["b"].aggregator.Uses(testCopyKey); uses == 0 && len(running) > 0 && now.Sub(used) > time.Second {
			t.Fatalf("%d requests use a copy that counts as free", len(running))
		}
		time.Sleep(updateInterval)
	}
	for _, done := range running {
		done()
	}
	for range 50 {
		c.memberToRelay()
		c.relayToLeader()
		c.leader.controllers["b"].loadsExcept("", time.Now())
		time.Sleep(updateInterval)
	}
	if uses := c.leader.controllers["b"].aggregator.Uses(testCopyKey); uses != 0 {
		t.Errorf("%d uses are counted after all have ended", uses)
	}
}
