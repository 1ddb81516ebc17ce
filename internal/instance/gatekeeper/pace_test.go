package gatekeeper

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A pacedChain is a chain with two runners, i-1 and i-2, that state their pace, and what each
// receiver was sent.
type pacedChain struct {
	*chain

	sentToRelay, sentToMember publishedPaces
}

func newPacedChain() *pacedChain {
	c := &pacedChain{chain: newChain(), sentToRelay: make(publishedPaces), sentToMember: make(publishedPaces)}
	for _, g := range []*Gatekeeper{c.leader, c.relay, c.member} {
		addPacedRunners(g)
	}
	return c
}

func addPacedRunners(g *Gatekeeper) {
	for _, id := range []string{"i-1", "i-2"} {
		g.setRunner(tracker.Runner{ID: id, Domain: "b", Service: "llm", Slots: 2, Revision: 1}, fromStore)
	}
}

// hear makes an instance receive a response in which a runner states a pace; 0 for none.
func hear(g *Gatekeeper, runner string, percent int) {
	known, _ := g.Fleet.Get(runner)
	g.ObserveNotice(known, tracker.Notice{Limit: tracker.RateLimit{AsOf: time.Now()}, Pace: percent})
}

// publish delivers the paces, as the leader and the relay publish them with the loads.
func (c *pacedChain) publish() {
	now := time.Now()
	c.relay.adoptPaces(c.leader.controllers["b"].pacesFor(c.sentToRelay, false, now), now)
	c.member.adoptPaces(c.relay.controllers["b"].pacesFor(c.sentToMember, false, now), now)
}

// factors returns the factors of the two runners at the leader, the relay and the member.
func (c *pacedChain) factors() [][]float64 {
	var all [][]float64
	for _, g := range []*Gatekeeper{c.leader, c.relay, c.member} {
		all = append(all, factorsAt(g))
	}
	return all
}

func factorsAt(g *Gatekeeper) []float64 {
	now := time.Now()
	return []float64{g.Fleet.PaceFactor("i-1", now), g.Fleet.PaceFactor("i-2", now)}
}

// Guards against paces that are known only to the instance that received the response: a member
// in another failure domain receives it, and all instances on the way estimate alike.
func TestPacesReachTheLeaderAndTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		hear(c.member, "i-1", 70)
		hear(c.member, "i-2", 170)
		if diff := cmp.Diff([][]float64{{1, 1}, {1, 1}, {70. / 120, 170. / 120}}, c.factors()); diff != "" {
			t.Errorf("factors before any report (-want +got):\n%s", diff)
		}
		time.Sleep(updateInterval)
		c.memberToRelay()
		c.relayToLeader()
		want := []float64{70. / 120, 170. / 120}
		if diff := cmp.Diff([][]float64{want, want, want}, c.factors()); diff != "" {
			t.Errorf("factors after the reports (-want +got):\n%s", diff)
		}
		other := newDomainGatekeeper("a-3", "a")
		addPacedRunners(other)
		now := time.Now()
		other.adoptPaces(c.relay.controllers["b"].pacesFor(make(publishedPaces), true, now), now)
		if diff := cmp.Diff(want, factorsAt(other)); diff != "" {
			t.Errorf("factors at an instance that received a snapshot (-want +got):\n%s", diff)
		}
		if demand := c.relay.links["b"].demand(); len(demand.Paces) > 0 {
			t.Errorf("statements are reported twice: %v", demand.Paces)
		}
	})
}

// Guards against an update of all paces every 150 ms, which is billed between failure domains, and
// against a slow runner that the others learn of too late, or never.
func TestOnlyChangedAndSlowPacesArePublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("b-1", "b")
		addPacedRunners(g)
		makeLeader(g, "b")
		c, sent := g.controllers["b"], make(publishedPaces)
		published := func(all bool) []relayer.RunnerPace {
			paces := c.pacesFor(sent, all, time.Now())
			slices.SortFunc(paces, func(a, b relayer.RunnerPace) int { return strings.Compare(a.Runner, b.Runner) })
			return paces
		}
		check := func(when string, all bool, want ...relayer.RunnerPace) {
			t.Helper()
			if diff := cmp.Diff(want, published(all), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		check("before any statement", true)
		for range 4 {
			hear(g, "i-1", 70)
			hear(g, "i-2", 100)
			time.Sleep(gauger.Fresh)
		}
		first := []relayer.RunnerPace{{Runner: "i-1", Usual: 70, Mean: 70}, {Runner: "i-2", Usual: 100, Mean: 100}}
		check("new", false, first...)
		check("unchanged", false)
		check("snapshot", true, first...)
		hear(g, "i-1", 103)
		hear(g, "i-2", 103)
		check("both slower, but by less than half", false)
		time.Sleep(gauger.Fresh)
		hear(g, "i-2", 250)
		time.Sleep(updateInterval)
		slow := relayer.RunnerPace{Runner: "i-2", Usual: 100, Mean: 126, Percent: 250, Age: updateInterval}
		check("slow now", false, slow)
		time.Sleep(updateInterval)
		slow.Age += updateInterval
		check("still slow", false, slow)
		time.Sleep(gauger.Fresh)
		check("not known to be slow any more", false)
		time.Sleep(paceRefresh)
		check("refreshed", false, relayer.RunnerPace{Runner: "i-1", Usual: 70, Mean: 77}, relayer.RunnerPace{Runner: "i-2", Usual: 100, Mean: 126})
		g.removeRunnerNow("i-1", 2, "test", whyPublished)
		check("runner removed", true, relayer.RunnerPace{Runner: "i-2", Usual: 100, Mean: 126})
		if len(sent) != 1 {
			t.Errorf("%d runners are remembered, want 1", len(sent))
		}
	})
}

// Guards against any effect on a deployment whose runners state three figures, and on one that has
// switched the part off: the messages must be equal byte by byte, and so must the factors.
func TestMessagesWithoutPacesAreUnchanged(t *testing.T) {
	messages := func(pace configurer.Switch, percent int) (encoded [][]byte, factors []float64) {
		synctest.Test(t, func(t *testing.T) {
			c := newPacedChain()
			for _, g := range []*Gatekeeper{c.leader, c.relay, c.member} {
				g.Config.Load.Pace = pace
			}
			done := c.member.AcquireCopy("i-1", testCopyKey.Copy)
			defer done()
			hear(c.member, "i-1", percent)
			hear(c.relay, "i-2", 2*percent)
			time.Sleep(updateInterval)
			demand := c.member.links["b"].demand()
			c.memberToRelay()
			relayed := c.relay.links["b"].demand()
			c.leader.HandleDemand(heartbeater.Instance{ID: "a-1", Domain: "a"}, relayed)
			update, _, _ := c.leader.controllers["b"].updateFor("a-1", -1, true)
			update.Paces = c.leader.controllers["b"].pacesFor(make(publishedPaces), true, time.Now())
			update.Age = 0 // of the lease, by the clock of the machine
			slices.SortFunc(update.Runners, func(a, b tracker.Runner) int { return strings.Compare(a.ID, b.ID) })
			slices.SortFunc(update.SlotWaits, func(a, b relayer.SlotWait) int { return strings.Compare(a.Runner, b.Runner) })
			for _, m := range []relayer.Message{demand, relayed, update} {
				data, err := encoder.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				encoded = append(encoded, data)
			}
			factors = slices.Concat(c.factors()...)
		})
		return encoded, factors
	}
	wantMessages, wantFactors := messages(configurer.Off, 0)
	for _, tc := range []struct {
		pace    configurer.Switch
		percent int
		same    bool
	}{{configurer.Auto, 0, true}, {configurer.On, 0, true}, {configurer.Off, 170, true}, {configurer.Auto, 170, false}, {configurer.On, 170, false}} {
		got, factors := messages(tc.pace, tc.percent)
		if same := cmp.Equal(wantMessages, got) && cmp.Equal(wantFactors, factors); same != tc.same {
			t.Errorf("pace %s, stated %d: messages and factors are the same: %t, want %t (-want +got):\n%s", tc.pace, tc.percent, same, tc.same, cmp.Diff(wantMessages, got))
		}
	}
}

// Guards against a new leader that takes long to know the paces: the old one ends without a word,
// and a new one that knows nothing receives the reports of the members.
func TestNewLeaderLearnsPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		hear(c.member, "i-1", 70)
		hear(c.member, "i-2", 170)
		c.memberToRelay()
		c.relayToLeader()
		c.publish()
		c.leader = newDomainGatekeeper("b-2", "b")
		addPacedRunners(c.leader)
		makeLeader(c.leader, "b")
		c.sentToRelay = make(publishedPaces)
		began := time.Now()
		for time.Since(began) < time.Second {
			time.Sleep(updateInterval)
			hear(c.member, "i-1", 70)
			hear(c.member, "i-2", 170)
			c.memberToRelay()
			c.relayToLeader()
			c.publish()
		}
		want := []float64{70. / 120, 170. / 120}
		if diff := cmp.Diff([][]float64{want, want, want}, c.factors(), cmpopts.EquateApprox(1e-6, 0)); diff != "" {
			t.Errorf("factors a second after the change of leader (-want +got):\n%s", diff)
		}
	})
}

// Guards against members that do not know the paces for ten seconds: a relay that receives nothing
// from the leader counted them as sent, while members ignore all but the runners in its updates.
func TestPacesAreSentOnceTheRelayHearsTheLeaderAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		hear(c.leader, "i-1", 70)
		hear(c.leader, "i-2", 170)
		c.publish()
		c.sentToMember = make(publishedPaces)
		for _, tc := range []struct {
			silent   time.Duration
			due, all bool
			want     int
		}{
			{2 * updateTimeout, true, true, 0},
			{2 * updateTimeout, true, false, 0},
			{0, false, false, 0},
			{0, true, false, 2},
			{0, true, false, 0},
			{0, false, true, 2},
		} {
			update := relayer.News{SinceLeaderUpdate: tc.silent, Snapshot: tc.all}
			c.relay.controllers["b"].addPaces(&update, c.sentToMember, tc.due, time.Now())
			if len(update.Paces) != tc.want {
				t.Errorf("leader silent for %v, due %t, snapshot %t: %d paces, want %d", tc.silent, tc.due, tc.all, len(update.Paces), tc.want)
			}
		}
	})
}

// Guards against statements that accumulate while a domain has no leader, as its runners restart.
func TestUnreportedPacesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("a-1", "a")
		addPacedRunners(g)
		hear(g, "i-1", 70)
		time.Sleep(gauger.Memory)
		hear(g, "i-2", 170)
		time.Sleep(updateInterval)
		l := g.links["b"]
		l.report(t.Context())
		if len(l.pendingDemand.paces) != 1 {
			t.Errorf("pending statements: %v, want that of i-2 only", l.pendingDemand.paces)
		}
	})
}

// Guards against a usual pace of 2.5 times the real one at a member that receives hardly any
// responses of a runner: what it is sent of passing slowness would be most of its samples.
func TestPublishedSlownessDoesNotMoveTheUsualPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		for range 3 {
			for range 20 {
				hear(c.leader, "i-1", 100)
				time.Sleep(gauger.Fresh / 2)
			}
			for range 6 {
				hear(c.leader, "i-1", 250)
				c.publish()
				time.Sleep(gauger.Fresh / 2)
			}
		}
		hear(c.leader, "i-1", 100)
		c.publish()
		for _, g := range []*Gatekeeper{c.leader, c.relay, c.member} {
			if pace, ok := g.Fleet.Pace("i-1", time.Now()); !ok || pace.Usual != 100 {
				t.Errorf("%s: usual pace %v, want 100", g.Config.ID, pace.Usual)
			}
		}
	})
}

// Guards against a partition that makes members keep to a slowness that is over, or forget which
// runners are fast as soon as the leader is silent: the reports end while i-2 is slow.
func TestPacesWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		for range 4 {
			hear(c.leader, "i-1", 100)
			hear(c.leader, "i-2", 100)
			time.Sleep(gauger.Fresh)
		}
		hear(c.leader, "i-1", 100)
		hear(c.leader, "i-2", 300)
		c.publish()
		var got [][]float64
		for _, pass := range []time.Duration{0, gauger.Fresh, gauger.Memory} {
			time.Sleep(pass)
			got = append(got, factorsAt(c.member))
		}
		want := [][]float64{{100. / 120, 300. / 120}, {100. / 120, 140. / 120}, {1, 1}}
		if diff := cmp.Diff(want, got, cmpopts.EquateApprox(1e-6, 0)); diff != "" {
			t.Errorf("factors at once, when the statement is old, and when it is forgotten (-want +got):\n%s", diff)
		}
	})
}

// Guards against reports and updates of another version, or of a faulty instance, that name unknown
// runners, invalid paces, or ages that no clock has measured.
func TestMalformedPacesOfPeersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPacedChain()
		hear(c.leader, "i-1", 70)
		hear(c.leader, "i-2", 170)
		time.Sleep(time.Millisecond)
		c.leader.HandleDemand(heartbeater.Instance{ID: "a-1", Domain: "a"}, relayer.Demand{Domain: "b", Paces: []relayer.Pace{
			{Runner: "i-1"}, {Runner: "i-1", Percent: -70}, {Runner: "i-2", Percent: 1 << 40}, {Runner: "unknown", Percent: 70}, {Runner: "i-1", Percent: 500, Age: time.Hour},
		}})
		want := []float64{70. / 120, 170. / 120}
		if diff := cmp.Diff(want, factorsAt(c.leader)); diff != "" {
			t.Errorf("factors after a report (-want +got):\n%s", diff)
		}
		c.leader.adoptPaces([]relayer.RunnerPace{{Runner: "i-1"}, {Runner: "i-1", Usual: -1, Mean: 1}, {Runner: "i-2", Usual: 1 << 40, Mean: 1, Percent: -5}, {Runner: "unknown", Usual: 70, Mean: 70}}, time.Now())
		if diff := cmp.Diff(want, factorsAt(c.leader)); diff != "" {
			t.Errorf("factors after an update (-want +got):\n%s", diff)
		}
		if _, known := c.leader.Fleet.Pace("unknown", time.Now()); known {
			t.Error("the pace of an unknown runner is kept")
		}
		hear(c.leader, "i-1", 70)
		c.leader.HandleDemand(heartbeater.Instance{ID: "a-1", Domain: "a"}, relayer.Demand{Domain: "b", Paces: []relayer.Pace{{Runner: "i-1", Percent: 140, Age: -time.Hour}}})
		time.Sleep(time.Millisecond)
		hear(c.leader, "i-1", 70)
		if pace, _ := c.leader.Fleet.Pace("i-1", time.Now()); pace.Latest.Percent != 70 {
			t.Errorf("the latest statement is %+v, which an earlier report dated into the future", pace.Latest)
		}
	})
}

// Guards against a leader that plans the prompts and the slots of a slow runner like those of a fast
// one: prompts between the tokens of its streams cause gaps beyond the maximum.
func TestLeaderPlansAtThePaceOfTheRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("b-1", "b")
		addPacedRunners(g)
		makeLeader(g, "b")
		hear(g, "i-1", 50)
		hear(g, "i-2", 150)
		c := g.controllers["b"]
		var backlogs, waits []time.Duration
		for _, runner := range []string{"i-1", "i-2"} {
			reserved, err := c.reserve("b-1", relayer.Reserve{Domain: "b", Runner: runner, Tokens: 2000, MaxGap: 300 * time.Millisecond, Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			backlogs = append(backlogs, reserved.PrefillBacklog)
			for range 3 {
				wait, _, err := c.acquireSlot(runner, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				waits = append(waits, wait)
			}
		}
		ms := time.Millisecond
		if diff := cmp.Diff([]time.Duration{30 * ms, 90 * ms}, backlogs); diff != "" {
			t.Errorf("backlogs with a prompt of 60 ms at the mean pace (-want +got):\n%s", diff)
		}
		// A run takes 100 ms at the mean pace, and each runner has two slots. The slow runner
		// needs 50 ms more for the request itself.
		if diff := cmp.Diff([]time.Duration{0, 0, 25 * ms, 50 * ms, 50 * ms, 125 * ms}, waits); diff != "" {
			t.Errorf("waits of three requests at each runner (-want +got):\n%s", diff)
		}
	})
}

// Guards against paces that cannot be seen: the gauge of a runner exists where its domain is led and
// as long as the runner does, and a change of the usual pace is logged once.
func TestPacesAreExportedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("b-1", "b")
		log := &simLog{}
		g.Recorder.Out = log
		addPacedRunners(g)
		makeLeader(g, "b")
		c := g.controllers["b"]
		c.orderingFence = 1
		for range 6 {
			hear(g, "i-1", 70)
			hear(g, "i-2", 170)
			time.Sleep(gauger.Fresh)
		}
		hear(g, "i-2", 425)
		known, _ := g.Fleet.Get("i-1")
		g.ObserveNotice(known, tracker.Notice{PaceInvalid: true})
		c.logPaces()
		metrics := func() []string {
			var page bytes.Buffer
			g.Metrics.WritePrometheus(&page)
			return regexp.MustCompile(`(?m)^sardinetiller_runner_pace.*$`).FindAllString(page.String(), -1)
		}
		want := []string{`sardinetiller_runner_pace{runner="i-1"} 70`, `sardinetiller_runner_pace{runner="i-2"} 170`, "sardinetiller_runner_pace_ignored_total 1"}
		if diff := cmp.Diff(want, metrics()); diff != "" {
			t.Errorf("metrics (-want +got):\n%s", diff)
		}
		g.removeRunnerNow("i-1", 2, "test", whyPublished)
		if diff := cmp.Diff(want[1:], metrics()); diff != "" {
			t.Errorf("metrics after a removal (-want +got):\n%s", diff)
		}
		c.mu.Lock()
		c.stopOrdering()
		c.mu.Unlock()
		if diff := cmp.Diff(want[2:], metrics()); diff != "" {
			t.Errorf("metrics of an instance that leads no more (-want +got):\n%s", diff)
		}
		stop := make(chan struct{})
		close(stop)
		g.Recorder.Run(stop)
		wantLines := []string{
			`msg="runner pace" runner=i-1 usual=70 before=0 mean=70`,
			`msg="runner pace" runner=i-2 usual=170 before=0 mean=170`,
			`msg=pace domain=b service=llm runners=2 least=70 most=170 fast=1 middle=0 slow=1 slowed=1`,
		}
		lines := regexp.MustCompile(`(?m)msg="?(runner )?pace\b.*$`).FindAllString(log.buf.String(), -1)
		if diff := cmp.Diff(wantLines, lines); diff != "" {
			t.Errorf("log lines (-want +got):\n%s\n%s", diff, log.buf.String())
		}
	})
}

// Guards against a gauge that remains at an instance that loses the lease before it may send orders:
// stopOrdering has nothing to drop there.
func TestPaceIsNotExportedBeforeOrdersAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("b-1", "b")
		addPacedRunners(g)
		makeLeader(g, "b")
		hear(g, "i-1", 70)
		g.HandleDemand(heartbeater.Instance{ID: "b-2", Domain: "b"}, relayer.Demand{Domain: "b", Paces: []relayer.Pace{{Runner: "i-2", Percent: 170}}})
		c := g.controllers["b"]
		c.mu.Lock()
		c.elector.Leave(uptime())
		c.stopOrdering()
		c.mu.Unlock()
		if names := g.Metrics.ListMetricNames(); slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, "sardinetiller_runner_pace{") }) {
			t.Errorf("an instance that leads no more exports %q", names)
		}
	})
}

// Measures the cost of what is published every 150 ms to each subscriber, of a domain with 90
// runners.
func BenchmarkPacesFor(b *testing.B) {
	g := newDomainGatekeeper("b-1", "b")
	makeLeader(g, "b")
	for n := range 90 {
		id := fmt.Sprint("r-", n)
		g.setRunner(tracker.Runner{ID: id, Domain: "b", Service: "llm", Slots: 2, Revision: 1}, fromStore)
		hear(g, id, 70+n)
	}
	c, sent := g.controllers["b"], make(publishedPaces)
	b.ReportAllocs()
	for b.Loop() {
		c.pacesFor(sent, false, time.Now())
	}
}
