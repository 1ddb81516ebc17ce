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
	queueWait  time.Duration
	loadTime   time.Duration           // load time of an adapter from the weight store
	loads      map[string]tracker.Load // of the instances that do not report through this one
	members    int
}

// recordUpdate records an update of the leader, for the instances to which this one relays the
// domain.
func (d *controller) recordUpdate(n relayer.News, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayed.mayOrder, d.relayed.queueWait = n.Acting, n.LoadQueueWait
	d.relayed.loadTime, d.relayed.reloadTime = n.LoadTime, n.ReloadTime
	if n.HasLoads {
		d.relayed.loads, d.relayed.members = n.Loads, n.Members
	}
	if d.subscribers == 0 {
		return
	}
	if n.Snapshot {
		d.changes.reset()
		return
	}
	for _, h := range n.Held {
		for _, s := range h.Copies {
			d.changes.add(event{copyChange: &copyEvent{runner: h.Runner, copy: h.Copy(s), at: now.Add(s.ReadyIn), present: s.ReadyIn >= 0}})
		}
	}
	for _, r := range n.SlotWaits {
		d.changes.add(event{slotWait: &slotEvent{runner: r.Runner, wait: r.Wait}})
	}
}

// addSubscriber counts a member that subscribes to the domain here, until done is called.
func (d *controller) addSubscriber() (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.subscribers--
	}
}

// addRelayedState adds the state that the leader of the domain published last.
func (d *controller) addRelayedState(update *relayer.News, member string, due bool, now time.Time) {
	l := d.gatekeeper.links[d.domain]
	update.Lease = d.elector.Row()
	update.Renewal, update.Age = d.elector.Renewal(uptime())
	update.SinceLeaderUpdate = l.sinceUpdate()
	if lacksLeaderState(*update) {
		return
	}
	update.Acting, update.LoadQueueWait = d.relayed.mayOrder, d.relayed.queueWait
	update.LoadTime, update.ReloadTime = d.relayed.loadTime, d.relayed.reloadTime
	if !due {
		return
	}
	update.HasLoads = true
	update.Loads = d.loadsExcept(member, now)
	addLoads(update.Loads, d.relayed.loads)
	addLoads(update.Loads, d.gatekeeper.Fleet.LoadsIn(d.domain))
	update.Members = d.relayed.members
}

// relayedDemand returns the sum of the demand that is relayed to the leader of the domain.
func (d *controller) relayedDemand(now time.Time) aggregator.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aggregator.Remove(d.gatekeeper.Config.ID) // recorded while this instance was leader
	d.aggregator.Expire(now)
	return d.aggregator.Sum()
}

// relayedLoads returns the load that is relayed to the leader of the domain.
func (d *controller) relayedLoads(now time.Time) map[string]tracker.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadsExcept(d.gatekeeper.Config.ID, now)
}

// lacksLeaderState reports whether an update carries no leader state, as its sender receives no
// updates from the domain's leader. It only lists the runners, which the sender reads from the
// store itself.
func lacksLeaderState(n relayer.News) bool { return n.SinceLeaderUpdate > updateTimeout }

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
	for _, n := range demand.Hits {
		l.pendingDemand.recordHits(keyOf(n.Runner, n.Copy), hitCount{requests: n.Requests, sent: now.Add(-n.Age)})
	}
	for _, n := range demand.Spare {
		l.pendingDemand.spare = mark(l.pendingDemand.spare, keyOf(n.Runner, n.Copy))
	}
	urgent := len(demand.Misses) > 0
	for _, n := range demand.Misses {
		l.pendingDemand.misses = mark(l.pendingDemand.misses, keyOf(n.Runner, n.Copy))
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
func (d *controller) reportFreed(k aggregator.Key) {
	if d.orderingFence == 0 && d.gatekeeper.Fleet.AdapterSlotsFull(k.Runner) {
		d.gatekeeper.links[d.domain].reportNow()
	}
}

// copyState returns which copies a runner holds and from when on, and how long a copy that it
// does not hold waits for an adapter slot.
func (d *controller) copyState(c *runnerState) (map[placer.Copy]time.Time, time.Duration) {
	if d.elector.IsLeader(uptime()) {
		return c.published, c.publishedWait
	}
	return d.gatekeeper.Fleet.HeldCopies(c.runner.ID)
}
