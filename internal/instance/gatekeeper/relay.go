package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A leader relays to the instances of its own failure domain the updates that it receives from
// the leaders of the others, and reports to each of those the sum of the demand of its
// instances. So between two failure domains there is one stream each way, however many
// instances they have.
//
// Updates are relayed complete, and each instance relays only what it received directly from a
// leader: there is at most one relay on the way.

// A relayedState is the state that the leader of another failure domain published last.
type relayedState struct {
	mayOrder   bool
	reloadTime time.Duration // load time of an adapter that the runner held before
	queueWait  tracker.LoadQueueWait
	loadTime   time.Duration           // load time of an adapter from the weight store
	loads      map[string]tracker.Load // of the instances that do not report through this one
	members    int
}

// recordUpdate records an update of the leader, for the instances to which this one relays the
// domain.
func (c *controller) recordUpdate(update relayer.News, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed.mayOrder, c.relayed.queueWait = update.Acting, update.QueueWait()
	c.relayed.loadTime, c.relayed.reloadTime = update.LoadTime, update.ReloadTime
	if update.HasLoads {
		c.relayed.loads, c.relayed.members = update.Loads, update.Members
	}
	if c.subscribers == 0 {
		return
	}
	if update.Snapshot {
		c.changes.reset()
		return
	}
	for _, h := range update.Held {
		for _, s := range h.Copies {
			c.changes.add(event{copyChange: &copyEvent{runner: h.Runner, copy: h.Copy(s), at: now.Add(s.ReadyIn), present: s.ReadyIn >= 0}})
		}
	}
	for _, r := range update.SlotWaits {
		c.changes.add(event{slotWait: &slotEvent{runner: r.Runner, wait: r.Wait}})
	}
}

// addSubscriber counts a member that subscribes to the domain here, until done is called.
func (c *controller) addSubscriber() (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.subscribers--
	}
}

// addRelayedState adds the state that the leader of the domain published last.
func (c *controller) addRelayedState(update *relayer.News, member string, due bool, now time.Time) {
	l := c.gatekeeper.links[c.domain]
	update.Lease = c.elector.Row()
	update.Renewal, update.Age = c.elector.Renewal(uptime())
	update.SinceLeaderUpdate = l.sinceUpdate()
	if lacksLeaderState(*update) {
		return
	}
	update.Acting = c.relayed.mayOrder
	update.SetQueueWait(c.relayed.queueWait)
	update.LoadTime, update.ReloadTime = c.relayed.loadTime, c.relayed.reloadTime
	if !due {
		return
	}
	update.HasLoads = true
	update.Loads = c.loadsExcept(member, now)
	addLoads(update.Loads, c.relayed.loads)
	addLoads(update.Loads, c.gatekeeper.Fleet.LoadsIn(c.domain))
	update.Members = c.relayed.members
}

// relayedDemand returns the sum of the demand that is relayed to the leader of the domain.
func (c *controller) relayedDemand(now time.Time) aggregator.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aggregator.Remove(c.gatekeeper.Config.ID) // recorded while this instance was leader
	c.aggregator.Expire(now)
	return c.aggregator.Sum()
}

// relayedLoads returns the load that is relayed to the leader of the domain.
func (c *controller) relayedLoads(now time.Time) map[string]tracker.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadsExcept(c.gatekeeper.Config.ID, now)
}

// lacksLeaderState reports whether an update carries no leader state, as its sender receives no
// updates from the domain's leader. It only lists the runners, which the sender reads from the
// store itself.
func lacksLeaderState(update relayer.News) bool { return update.SinceLeaderUpdate > updateTimeout }

func addLoads(sum, more map[string]tracker.Load) {
	for runner, load := range more {
		sum[runner] = sum[runner].Plus(load)
	}
}

// relayDemand merges a member's demand into this instance's next report to the leader, which is
// sent at once if the member's demand is urgent.
func (l *link) relayDemand(demand relayer.Demand) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingDemand.shortGaps += demand.ShortGaps
	l.pendingDemand.longGaps += demand.LongGaps
	for _, u := range demand.Hits {
		l.pendingDemand.recordHits(keyOf(u.Runner, u.Copy), hitCount{requests: u.Requests, sent: now.Add(-u.Age)})
	}
	for _, u := range demand.Refused {
		l.pendingDemand.recordRefusals(keyOf(u.Runner, u.Copy), u.Requests)
	}
	for _, u := range demand.Spare {
		l.pendingDemand.spare = mark(l.pendingDemand.spare, keyOf(u.Runner, u.Copy))
	}
	for _, p := range demand.Paces {
		l.pendingDemand.recordPace(p.Runner, p.Statement(now))
	}
	urgent := len(demand.Misses) > 0
	for _, u := range demand.Misses {
		l.pendingDemand.misses = mark(l.pendingDemand.misses, keyOf(u.Runner, u.Copy))
	}
	for _, w := range demand.Waits {
		if l.newlyRequested(keyOf(w.Runner, w.Copy), now) {
			urgent = true
		}
	}
	if urgent {
		l.reportNow()
	}
}

// reportFreed requests an urgent report when the last use of a relayed copy has ended and others
// wait for its adapter slot.
func (c *controller) reportFreed(k aggregator.Key) {
	if c.orderingFence == 0 && c.gatekeeper.Fleet.AdapterSlotsFull(k.Runner) {
		c.gatekeeper.links[c.domain].reportNow()
	}
}

// copyState returns which copies a runner holds and from when on, and how long a copy that it
// does not hold waits for an adapter slot.
func (c *controller) copyState(state *runnerState) (map[placer.Copy]time.Time, time.Duration) {
	if c.elector.IsLeader(uptime()) {
		return state.published, state.publishedWait
	}
	return c.gatekeeper.Fleet.HeldCopies(state.runner.ID)
}
