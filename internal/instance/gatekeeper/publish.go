package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

const (
	// changeInterval is how often changes are sent to members of the domain. A copy being
	// loaded is announced well before it has arrived.
	changeInterval = 50 * time.Millisecond
	// farChangeInterval is the same for members of other failure domains, and farUpdateInterval
	// how often they are sent loads, or that nothing has changed. They send few requests here,
	// and traffic between domains is billed: at the rate of the domain's own members, these
	// updates were half of the bytes.
	farChangeInterval = 150 * time.Millisecond
	// relayedChangeInterval is how often the leader of a member's own domain sends it the
	// changes of another domain. That leader itself receives them as often as a member of the
	// other domain, so that members learn of them no later than by farChangeInterval.
	relayedChangeInterval = 100 * time.Millisecond
	farUpdateInterval     = 250 * time.Millisecond
)

// HandleRequest implements relayer.Handler. It handles subscriptions, reservations, requests for
// a request slot, for tokens, notices of runners' statements and settlements of quotas.
func (g *Gatekeeper) HandleRequest(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply *relayer.Reply) error {
	return g.handle(ctx, from, m, reply)
}

func (g *Gatekeeper) handle(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply responder) error {
	switch m := m.(type) {
	case relayer.Enqueue:
		c, err := g.ledController(m.Domain)
		if err != nil {
			return err
		}
		return c.answerEnqueue(ctx, from.ID, m, reply)
	case relayer.Reserve:
		c, err := g.ledController(m.Domain)
		if err != nil {
			return err
		}
		reserved, err := c.reserve(from.ID, m)
		if err != nil {
			return err
		}
		return reply.Finish(reserved)
	case relayer.Subscribe:
		c, ok := g.controllers[m.Domain]
		if !ok || !c.publishes() {
			return judge.Refuse(judge.ReasonOwner, "nothing of %s is told here", m.Domain)
		}
		if _, known := g.runners.ownAsOf(); !known {
			// This instance may have the lease already, under the name that it had before a
			// restart. Members would take an update without runners for their removal, drop
			// them all and refuse every request. They retry within 200 ms and keep what they
			// know.
			return judge.Refuse(judge.ReasonStarting, "the runners are not known here yet")
		}
		return c.publish(ctx, from, m, reply)
	case relayer.Place:
		c, err := g.ledController(m.Domain)
		if err != nil {
			return err
		}
		return c.holdSlot(ctx, m, reply)
	case relayer.Notice:
		if _, err := g.ledController(m.Domain); err != nil {
			return err
		}
		g.applyNotice(m)
		return reply.Finish(relayer.Noticed{})
	case relayer.Take:
		c, err := g.ledController(m.Domain)
		if err != nil {
			return err
		}
		g.observeLimit(m.Limit.Runner, m.Limit.RateLimit(time.Now()), sourcePeer)
		taken, err := c.takeToken(m.Limit.Runner)
		if err != nil {
			return err
		}
		return reply.Finish(taken)
	case relayer.Detour:
		return g.serveDetour(ctx, from, m, reply)
	case relayer.FindStream:
		return reply.Finish(g.describeStream(m, time.Now()))
	case relayer.Watch:
		return g.sendStatuses(ctx, reply)
	case relayer.Settle:
		settled, err := g.settle(m)
		if err != nil {
			return err
		}
		return reply.Finish(settled)
	default:
		return judge.Refuse(judge.ReasonPeer, "a gateway answers no %T", m)
	}
}

// ledController returns the controller of a domain that this instance leads.
func (g *Gatekeeper) ledController(domain string) (*controller, error) {
	c, ok := g.controllers[domain]
	if !ok || !c.leads() {
		return nil, judge.Refuse(judge.ReasonOwner, "the tenure of %s is not held here", domain)
	}
	return c, nil
}

// HandleHeartbeat implements relayer.Handler. It ignores heartbeats: the demand reports of
// members show that they are alive.
func (g *Gatekeeper) HandleHeartbeat(heartbeater.Instance, relayer.Beat) {}

// publishes reports whether this instance publishes updates of the domain: as its leader, or as
// the leader of another domain, which relays what it receives.
func (c *controller) publishes() bool {
	return !c.gatekeeper.Stopping() && (c.leads() || c.gatekeeper.leadsAny())
}

// publishIntervals are the intervals between updates of a domain.
type publishIntervals struct {
	changes time.Duration // between changes
	loads   time.Duration // between loads, or updates without changes
}

// intervals returns how often a member is sent updates.
func (c *controller) intervals(member heartbeater.Instance, s relayer.Subscribe) publishIntervals {
	switch {
	case s.Relays, member.Domain == c.domain:
		return publishIntervals{changeInterval, updateInterval}
	case member.Domain == c.gatekeeper.Config.Domain:
		return publishIntervals{relayedChangeInterval, updateInterval}
	default:
		return publishIntervals{farChangeInterval, farUpdateInterval}
	}
}

// publish sends updates to a member until either of the two stops or the domain is no longer
// published here.
func (c *controller) publish(ctx context.Context, member heartbeater.Instance, s relayer.Subscribe, reply responder) error {
	defer c.addSubscriber()()
	intervals := c.intervals(member, s)
	sequence, lastDue := -1, time.Time{}
	paces := make(publishedPaces)
	crashes := 0   // sequence number of the last change of the ledger that was sent
	instances := 0 // version of the list of instances that was sent last
	fence := c.currentFence()
	ticker := pacer.NewTicker(intervals.changes)
	defer ticker.Stop()
	for {
		if !c.publishes() {
			return c.endStream(reply, fence)
		}
		due := time.Since(lastDue) >= intervals.loads
		update, next, changed := c.updateFor(member.ID, sequence, due)
		c.addPaces(&update, paces, due, time.Now())
		update.Tables = c.gatekeeper.tableUpdates(s.Tables, due)
		if s.Crashes {
			update.Crashes, crashes = c.gatekeeper.quarantine.ledger.Since(crashes, time.Now())
		}
		update.Instances, instances = c.gatekeeper.directory.since(c.domain, instances)
		if changed || due || len(update.Tables)+len(update.Crashes)+len(update.Instances) > 0 {
			if err := reply.Send(update); err != nil {
				return fmt.Errorf("tell %s: %w", member.ID, err)
			}
			sequence = next
		}
		if due {
			lastDue = time.Now()
		}
		if !ticker.Wait(ctx, nil) {
			return ctx.Err()
		}
	}
}

// endStream ends a subscription. If this instance has stepped down since the subscription began,
// it sends the fencing token of the released lease first.
func (c *controller) endStream(reply responder, fence uint64) error {
	c.mu.Lock()
	released := c.releasedFence
	c.mu.Unlock()
	if released > 0 && released == fence {
		if err := reply.Send(relayer.News{ReleasedFence: released}); err != nil {
			return fmt.Errorf("tell of the end: %w", err)
		}
	}
	return judge.Refuse(judge.ReasonOwner, "nothing of %s is told here any more", c.domain)
}

func (c *controller) currentFence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elector.Row().Fence
}

// updateFor returns the changes since a sequence number as an update for a member, and the next
// sequence number. due says whether to include the loads.
func (c *controller) updateFor(member string, sequence int, due bool) (update relayer.News, next int, changed bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	update.Fresh, update.Revision, update.Checksum = c.gatekeeper.runnersFresh(), c.gatekeeper.runners.upTo(), c.checksum
	if c.elector.IsLeader(uptime()) {
		c.addLeaderState(&update, member, due, now)
	} else {
		c.addRelayedState(&update, member, due, now)
	}
	events, ok := c.changes.since(sequence)
	if !ok {
		c.addSnapshot(&update, now)
		return update, c.changes.end(), true
	}
	for _, e := range events {
		switch {
		case e.runner != nil:
			update.Runners = append(update.Runners, *e.runner)
		case e.removal != nil:
			update.Removed = append(update.Removed, *e.removal)
		case e.copyChange != nil:
			update.AddHeld(e.copyChange.runner, e.copyChange.copy, e.copyChange.delay(now))
		case e.stated != "":
			c.addStatements(&update, e.stated, now)
		case e.slotWait != nil:
			update.SlotWaits = append(update.SlotWaits, relayer.SlotWait{Runner: e.slotWait.runner, Wait: e.slotWait.wait})
		}
	}
	return update, c.changes.end(), len(events) > 0
}

// addLeaderState adds what this instance knows as the leader of the domain.
func (c *controller) addLeaderState(update *relayer.News, member string, due bool, now time.Time) {
	if due {
		update.Loads, update.Members = c.loadsExcept(member, now), c.instances(now)
		update.HasLoads = true
		update.Operator = c.gatekeeper.operatorVersion(now)
		update.StoreReached = c.gatekeeper.reachableSpan(now)
	}
	update.SetQueueWait(c.loadQueueWait(now))
	update.LoadTime, update.ReloadTime = c.gatekeeper.LoadTime(), c.gatekeeper.ReloadTime()
	_, update.Acting = c.elector.MaySendOrders(uptime())
	update.Renewal, update.Age = c.elector.Renewal(uptime())
	update.Lease = c.elector.Row()
}

// reachableSpan returns the span during which the store was reachable.
func (g *Gatekeeper) reachableSpan(now time.Time) relayer.Span {
	first, last, ok := g.storeUp.reachableSpan(now)
	if !ok {
		return relayer.Span{}
	}
	return relayer.Span{First: now.Sub(first), Last: now.Sub(last)}
}

// operatorVersion returns the newest version of the operator's rows that this instance knows,
// and how long ago it was confirmed to be the newest.
func (g *Gatekeeper) operatorVersion(now time.Time) relayer.TableVersion {
	newest, age, ok := g.operator.confirmed(now)
	if !ok {
		return relayer.TableVersion{}
	}
	return relayer.TableVersion{Newest: newest, Age: age.Round(time.Millisecond)}
}

// addSnapshot fills in a snapshot of the domain.
func (c *controller) addSnapshot(update *relayer.News, now time.Time) {
	update.Snapshot = true
	for _, state := range c.runners {
		r := state.runner
		held, wait := c.copyState(state)
		if len(held) > 0 {
			r.Adapters = nil // the list from its own row is older
		}
		update.Runners = append(update.Runners, r)
		update.SlotWaits = append(update.SlotWaits, relayer.SlotWait{Runner: r.ID, Wait: wait})
		c.addStatements(update, r.ID, now)
		for copied, at := range held {
			update.AddHeld(r.ID, copied, max(0, at.Sub(now)))
		}
	}
}

// addStatements adds what a runner has stated about itself.
func (c *controller) addStatements(update *relayer.News, runner string, now time.Time) {
	fleet := c.gatekeeper.Fleet
	if fleet.LeavingStated(runner) {
		update.Leaving = append(update.Leaving, runner)
	}
	if limit := fleet.Limit(runner); limit.Limited {
		update.Limits = append(update.Limits, relayer.NewRunnerLimit(runner, limit, now))
	}
}

// delay returns the time until the copy is usable; negative if the runner does not hold it. It is
// a duration, not a point in time, as clocks differ between instances.
func (e copyEvent) delay(now time.Time) time.Duration {
	if !e.present {
		return -1
	}
	return max(0, e.at.Sub(now)).Round(time.Millisecond)
}
