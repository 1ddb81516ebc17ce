package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const (
	// popularLasts is how long the set of popular adapters stays the same in the load tests.
	popularLasts = 2 * time.Second
	// domainRate is the requests per second of one of three failure domains.
	domainRate = 140
)

// steadily is a constant rate of requests.
func steadily(time.Duration) float64 { return domainRate }

// A changingLoad is the result of ten seconds with a set of popular adapters that changes every
// two.
type changingLoad struct {
	loads   loadCounts
	all     float64         // fraction of all requests in time
	popular float64         // fraction of the requests for the most popular adapter in time
	enough  []time.Duration // from each change until the most popular adapter had enough copies
}

// enoughCopies is how many copies carry the most popular adapter: 29 requests a second that take
// 1.6 s each, at half of 16 request slots a copy.
const enoughCopies = 6

func playChangingLoad(t *testing.T, ahead configurer.Switch, seed uint64) changingLoad {
	var result changingLoad
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newLoadSimulation(t, ahead)
		time.Sleep(time.Second) // until the runners' reports are known
		began := time.Now()
		p := newPopularity(rng, popularLasts)
		var counted chan struct{}
		result.enough, counted = s.timeUntilEnough(p, 10*time.Second)
		s.run(10*time.Second, rng, steadily, p.draw)
		<-counted
		s.finish()
		result.loads = s.counts()
		result.all = s.inTime(func(loadResult) bool { return true })
		result.popular = s.inTime(func(r loadResult) bool { return r.adapter == p.adapter(0, r.arrived.Sub(began)) })
	})
	return result
}

// popularSeeds are the seeds whose results TestPopularAdapterHasEnoughCopiesSoon adds up. The order
// of goroutines differs from run to run, and so do the figures of one seed.
var popularSeeds = []uint64{0, 1, 2}

// add adds the result of another seed.
func (l *changingLoad) add(other changingLoad) {
	l.all += other.all
	l.popular += other.popular
	l.enough = append(l.enough, other.enough...)
	l.loads.First += other.loads.First
	l.loads.Further += other.loads.Further
	l.loads.Reloads += other.loads.Reloads
	l.loads.Overfull += other.loads.Overfull
}

// playChangingLoads returns the sum of the results of popularSeeds.
func playChangingLoads(t *testing.T, ahead configurer.Switch) (sum changingLoad) {
	t.Helper()
	for _, seed := range popularSeeds {
		sum.add(playChangingLoad(t, ahead, seed))
	}
	return sum
}

// The popular adapters change every two seconds. Guards against copies that are requested one after
// the other, when requests queue already: the most popular adapter would not have enough copies
// before the next one is popular, and a quarter of its requests would be late.
func TestPopularAdapterHasEnoughCopiesSoon(t *testing.T) {
	t.Parallel()
	before, after := playChangingLoads(t, configurer.Off), playChangingLoads(t, configurer.On)
	t.Logf("without copies ahead of demand: %+v", before)
	t.Logf("with them: %+v", after)
	var total time.Duration
	for _, d := range after.enough {
		total += d
	}
	if mean := total / time.Duration(len(after.enough)); mean > 1500*time.Millisecond {
		t.Errorf("there were %d copies %s after a change on average", enoughCopies, mean)
	}
	seeds := float64(len(popularSeeds))
	if late, lateBefore := 1-after.popular/seeds, 1-before.popular/seeds; late > 0.1 || late > lateBefore/3 {
		t.Errorf("%.3f of the requests for the most popular adapter are late, %.3f without copies ahead of demand", late, lateBefore)
	}
	if after.all < before.all {
		t.Errorf("%.3f of all requests are in time, %.3f without copies ahead of demand", after.all/seeds, before.all/seeds)
	}
	if billed, limit := after.loads.First+after.loads.Further, before.loads.First+before.loads.Further; billed > limit+limit/50 {
		t.Errorf("%d loads from the weight store, %d without copies ahead of demand", billed, limit)
	}
	if after.loads.Overfull > 0 {
		t.Errorf("%d loads were ordered without a free adapter slot", after.loads.Overfull)
	}
}

// Demand for all adapters rises by half. Guards against copies that are loaded and evicted in
// turn, and against more of them than the demand needs.
func TestCopiesFollowRisingDemandWithoutOscillation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(2, 1))
		s := newLoadSimulation(t, configurer.On)
		time.Sleep(time.Second)
		p := newPopularity(rng, time.Minute)
		s.run(5*time.Second, rng, func(time.Duration) float64 { return 100 }, p.draw)
		popular := placer.Copy{Model: "m", Adapter: p.adapter(0, 0), Version: 1}
		settled, before := s.ready(popular), s.counts()
		lowest := settled
		for range 10 {
			s.run(500*time.Millisecond, rng, func(time.Duration) float64 { return 150 }, p.draw)
			lowest = min(lowest, s.ready(popular))
		}
		after := s.counts()
		t.Logf("%d copies before, %d after; further copies of all adapters %d before, %d after; reloads %d", settled, s.ready(popular), before.Further, after.Further, after.Reloads-before.Reloads)
		if lowest < settled-1 {
			t.Errorf("%d copies of the most popular adapter before demand rose, %d at the lowest since", settled, lowest)
		}
		// 150 requests a second, a fifth of them for this adapter, of 1.6 s each, 8 for each copy
		if n := s.ready(popular); n < 5 || n > 10 {
			t.Errorf("%d copies of the most popular adapter", n)
		}
		s.finish()
	})
}

// A new version of the most popular adapter is named every two seconds. Guards against requests
// that wait for the first copy of each version, or queue at it.
func TestNewVersionsInSuccessionAreLoadedAhead(t *testing.T) {
	t.Parallel()
	play := func(ahead configurer.Switch) (fraction float64, loads loadCounts) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 1))
			s := newLoadSimulation(t, ahead)
			time.Sleep(time.Second)
			p := newPopularity(rng, time.Minute)
			for version := 1; version <= 5; version++ {
				s.nameVersion(p.adapter(0, 0), version)
				s.run(2*time.Second, rng, steadily, p.draw)
			}
			s.finish()
			fraction = s.inTime(func(r loadResult) bool { return r.adapter == p.adapter(0, 0) && r.version > 1 })
			loads = s.counts()
		})
		return fraction, loads
	}
	before, loadsBefore := play(configurer.Off)
	after, loadsAfter := play(configurer.On)
	t.Logf("in time without copies ahead of demand %.3f (%+v), with them %.3f (%+v)", before, loadsBefore, after, loadsAfter)
	if after < 0.85 || after < before {
		t.Errorf("%.3f of the requests for new versions are in time, %.3f without copies ahead of demand", after, before)
	}
}

// A quarter of the runners is lost, and returns without adapters two seconds later. Guards against
// popular adapters that are left with fewer copies than they need.
func TestCopiesOfLostRunnersAreReplaced(t *testing.T) {
	t.Parallel()
	play := func(ahead configurer.Switch) (fraction float64, copies int, loads loadCounts) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(4, 1))
			s := newLoadSimulation(t, ahead)
			time.Sleep(time.Second)
			p := newPopularity(rng, time.Minute)
			s.run(4*time.Second, rng, steadily, p.draw)
			popular := placer.Copy{Model: "m", Adapter: p.adapter(0, 0), Version: 1}
			lost := s.holders(popular) // the ones that hurt most
			lost = lost[:min(len(lost)-1, loadRunners/4)]
			for _, id := range lost {
				s.removeRunner(id)
			}
			at := time.Now()
			s.run(time.Second, rng, steadily, p.draw)
			copies = s.ready(popular)
			s.run(time.Second, rng, steadily, p.draw)
			for n := range lost {
				s.addRunner(fmt.Sprint("again-", n), 2)
			}
			s.run(2*time.Second, rng, steadily, p.draw)
			s.finish()
			fraction = s.inTime(func(r loadResult) bool { return r.arrived.After(at) })
			loads = s.counts()
		})
		return fraction, copies, loads
	}
	before, copiesBefore, loadsBefore := play(configurer.Off)
	after, copiesAfter, loadsAfter := play(configurer.On)
	t.Logf("in time without copies ahead of demand %.3f (%d copies after a second, %+v), with them %.3f (%d, %+v)", before, copiesBefore, loadsBefore, after, copiesAfter, loadsAfter)
	if after < 0.85 || copiesAfter < enoughCopies-1 {
		t.Errorf("%.3f of the requests after the loss are in time; %d copies of the most popular adapter after a second", after, copiesAfter)
	}
}

// Another instance begins to lead while the popular adapters change. Guards against orders without
// the lease, and against a new leader that takes long to learn what is popular.
func TestNewLeaderLearnsWithinASecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(5, 1))
		s := newLoadSimulation(t, configurer.On)
		time.Sleep(time.Second)
		p := newPopularity(rng, 4500*time.Millisecond)
		s.run(4*time.Second, rng, steadily, p.draw)
		s.loseLease()
		time.Sleep(50 * time.Millisecond) // the orders that were being sent
		orders := s.ordered()
		s.run(450*time.Millisecond, rng, steadily, func(at time.Duration) string { return p.draw(at + 4*time.Second) })
		if n := s.ordered() - orders; n > 0 {
			t.Errorf("%d orders without the lease", n)
		}
		s.forget()
		s.lead()
		s.run(1200*time.Millisecond, rng, steadily, func(at time.Duration) string { return p.draw(at + 4500*time.Millisecond) })
		popular := placer.Copy{Model: "m", Adapter: p.adapter(0, 5*time.Second), Version: 1}
		if n := s.ready(popular); n < 4 {
			t.Errorf("%d copies of the new most popular adapter 1.2 s after the new leader began", n)
		}
		s.finish()
	})
}

// Guards against copies ahead of demand, or records of requests that nobody reads, where load.ahead
// is off.
func TestNothingIsRecordedOrRequestedWithCopiesAheadOff(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		ahead configurer.Switch
		want  bool
	}{{"unset", "", false}, {"off", configurer.Off, false}, {"auto without paces", configurer.Auto, false}, {"on", configurer.On, true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLoadSimulation(t, tc.ahead)
				time.Sleep(time.Second)
				s.run(3*time.Second, rand.New(rand.NewPCG(6, 1)), steadily, newPopularity(rand.New(rand.NewPCG(7, 1)), time.Minute).draw)
				c := s.g.controllers[loadDomain]
				c.mu.Lock()
				tracked, active, copies, counted := c.ahead.forecaster.Tracked(), c.ahead.active, len(c.ahead.copies), len(c.ahead.requests)
				c.mu.Unlock()
				if got := tracked > 0 || active || copies > 0 || counted > 0; got != tc.want {
					t.Errorf("%d adapters tracked, %d copies requested, %d counted, active: %v", tracked, copies, counted, active)
				}
				requested := s.g.Metrics.GetOrCreateCounter(`sardinetiller_copies_ahead_total{result="requested"}`).Get()
				if got := requested > 0; got != tc.want {
					t.Errorf("%d copies requested", requested)
				}
				s.finish()
			})
		})
	}
}

// Guards against copies ahead of demand that are loaded where the setting does not ask for them.
func TestCopiesAheadAreOffByDefault(t *testing.T) {
	t.Parallel()
	g := newTestGatekeeper()
	for _, tc := range []struct {
		name  string
		ahead configurer.Switch
		want  bool
	}{{"unset", "", false}, {"off", configurer.Off, false}, {"auto without paces", configurer.Auto, false}, {"on", configurer.On, true}} {
		t.Run(tc.name, func(t *testing.T) {
			g.Config.Load.Ahead = tc.ahead
			if diff := cmp.Diff(tc.want, g.aheadFor("llm")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a domain in which nobody requests further copies: the leader does where copies are
// loaded ahead of demand, and members where it does not or there is no leader.
func TestMembersRequestSpareCopiesWhereTheLeaderDoesNot(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		ahead  configurer.Switch
		leader bool
		want   int
	}{{"off", configurer.Off, true, 1}, {"on", configurer.On, true, 0}, {"on without a leader", configurer.On, false, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGatekeeper()
				g.Config.Load.Ahead = tc.ahead
				g.setRunner(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1}, "test")
				l := g.links["a"]
				if tc.leader {
					l.apply(relayer.News{Lease: elector.Lease{Leader: "front-1", Fence: 1}, Renewal: 5, Acting: true})
				}
				g.RequestSpareCopy("i-1", placer.Copy{Model: "m", Adapter: "a1", Version: 1})
				if diff := cmp.Diff(tc.want, len(l.pendingDemand.spare)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A step of the leader over 30 runners with 12 copies each and 400 tracked adapters.
func BenchmarkLoadAhead(b *testing.B) {
	g := newTestGatekeeper()
	g.Config.Load.Ahead = configurer.On
	c := g.controllers["a"]
	now := time.Now()
	adapterOf := func(n int) placer.Copy { return placer.Copy{Model: "m", Adapter: fmt.Sprint("a", n), Version: 1} }
	var uses []relayer.CopyUse
	for n := range loadRunners {
		r := tracker.Runner{ID: fmt.Sprint("i-", n), Service: "llm", Domain: "a", Slots: loadRequestSlots, Revision: 1}
		g.setRunner(r, "test")
		p := &placer.Placer{InUse: func(placer.Copy) bool { return true }, MayEvict: c.mayEvict, Model: "m", AdapterSlots: loadAdapterSlots}
		var held []placer.Copy
		for slot := range loadAdapterSlots {
			held = append(held, adapterOf(loadAdapterSlots*n+slot))
			uses = append(uses, relayer.CopyUse{Runner: r.ID, Copy: held[slot], Requests: 1})
		}
		p.ApplyReport(placer.Report{Models: []string{"m"}, Resident: held}, now)
		c.runners[r.ID].placer = p
	}
	c.applyDemand("front-1", relayer.Demand{Uses: uses})
	for n := range 400 {
		for arrival := range 1 + 100/(n+1) {
			c.ahead.forecaster.Arrive(adapterOf(n), now.Add(time.Duration(arrival)*5*time.Millisecond))
		}
	}
	now = now.Add(500 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		c.ahead.steppedAt = time.Time{}
		c.loadAhead(now)
	}
}
