package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

const (
	// changeInterval is how often changes are sent to members of the domain. A copy being
	// loaded is announced well before it has arrived.
	newsEvery = 50 * time.Millisecond
	// farChangeInterval is the same for members of other failure domains, and farUpdateInterval
	// how often they are sent loads, or that nothing has changed. They send few requests here,
	// and traffic between domains is billed: at the rate of the domain's own members, these
	// updates were half of the bytes.
	farNewsEvery = 150 * time.Millisecond
	// relayedChangeInterval is how often the leader of a member's own domain sends it the
	// changes of another domain. That leader itself receives them as often as a member of the
	// other domain, so that members learn of them no later than by farChangeInterval.
	passedEvery = 100 * time.Millisecond
	farBeat     = 250 * time.Millisecond
)

// Answer implements relayer.Handler. It handles subscriptions, reservations, requests for a
// request slot and settlements of quotas.
func (g *Gatekeeper) Answer(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply *relayer.Reply) error {
	return g.answer(ctx, from, m, reply)
}

func (g *Gatekeeper) answer(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply replier) error {
	switch m := m.(type) {
	case relayer.Reserve:
		d, err := g.held(m.Domain)
		if err != nil {
			return err
		}
		reserved, err := d.reserve(from.ID, m)
		if err != nil {
			return err
		}
		return reply.Finish(reserved)
	case relayer.Subscribe:
		d, ok := g.controllers[m.Domain]
		if !ok || !d.tells() {
			return judge.Refuse(judge.ReasonOwner, "nothing of %s is told here", m.Domain)
		}
		if _, known := g.runners.firsthand(); !known {
			// This instance may have the lease already, under the name that it had before a
			// restart. Members would take an update without runners for their removal, drop
			// them all and refuse every request. They retry within 200 ms and keep what they
			// know.
			return judge.Refuse(judge.ReasonStarting, "the runners are not known here yet")
		}
		return d.publish(ctx, from, m, reply)
	case relayer.Place:
		d, err := g.held(m.Domain)
		if err != nil {
			return err
		}
		return d.holdPlace(ctx, m, reply)
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

// held returns the controller of a domain that this instance leads.
func (g *Gatekeeper) held(domain string) (*controller, error) {
	d, ok := g.controllers[domain]
	if !ok || !d.holds() {
		return nil, judge.Refuse(judge.ReasonOwner, "the tenure of %s is not held here", domain)
	}
	return d, nil
}

// Heard implements relayer.Handler. It ignores heartbeats: the demand that members report shows
// that they are alive.
func (g *Gatekeeper) Heard(heartbeater.Instance, relayer.Beat) {}

// publishes reports whether this instance publishes updates of the domain: as its leader, or as
// the leader of another domain, which relays what it receives.
func (d *controller) tells() bool {
	return !d.gatekeeper.Leaving() && (d.holds() || d.gatekeeper.holdsAny())
}

// publishIntervals are the intervals between updates of a domain.
type pace struct {
	changes time.Duration // between changes
	loads   time.Duration // between loads, or updates without changes
}

// intervals returns how often a member is sent updates.
func (d *controller) pace(member heartbeater.Instance, s relayer.Subscribe) pace {
	switch {
	case s.Passes, member.Domain == d.domain:
		return pace{newsEvery, beat}
	case member.Domain == d.gatekeeper.Config.Domain:
		return pace{passedEvery, beat}
	default:
		return pace{farNewsEvery, farBeat}
	}
}

// publish sends updates to a member until either of the two stops or the domain is no longer
// published here.
func (d *controller) publish(ctx context.Context, member heartbeater.Instance, s relayer.Subscribe, reply replier) error {
	defer d.followed()()
	pace := d.pace(member, s)
	number, told := -1, time.Time{}
	crashes := 0 // last change of the ledger that was sent
	fence := d.fence()
	ticker := time.NewTicker(pace.changes)
	defer ticker.Stop()
	for {
		if !d.tells() {
			return d.lastWord(reply, fence)
		}
		due := time.Since(told) >= pace.loads
		news, next, changed := d.digest(member.ID, number, due)
		news.Tables = d.gatekeeper.tellTables(s.Tables, due)
		if s.Crashes {
			news.Crashes, crashes = d.gatekeeper.quarantine.ledger.Since(crashes, time.Now())
		}
		if changed || due || len(news.Tables)+len(news.Crashes) > 0 {
			if err := reply.Send(news); err != nil {
				return fmt.Errorf("tell %s: %w", member.ID, err)
			}
			number = next
		}
		if due {
			told = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// endStream ends a subscription. It reports if this instance has stepped down since the
// subscription began.
func (d *controller) lastWord(reply replier, fence uint64) error {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended > 0 && ended == fence {
		if err := reply.Send(relayer.News{Ended: ended}); err != nil {
			return fmt.Errorf("tell of the end: %w", err)
		}
	}
	return judge.Refuse(judge.ReasonOwner, "nothing of %s is told here any more", d.domain)
}

func (d *controller) fence() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elector.Holder().Fence
}

// digest returns the changes since a sequence number as an update for a member, and the next
// sequence number. due says whether to include the loads.
func (d *controller) digest(member string, number int, due bool) (news relayer.News, next int, changed bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	news.Fresh, news.Revision, news.Checksum = d.gatekeeper.fresh(), d.gatekeeper.runners.upTo(), d.sum
	if d.elector.Holds(uptime()) {
		d.tellHeld(&news, member, due, now)
	} else {
		d.retell(&news, member, due, now)
	}
	events, ok := d.news.since(number)
	if !ok {
		d.whole(&news, now)
		return news, d.news.end(), true
	}
	for _, e := range events {
		switch {
		case e.runner != nil:
			news.Runners = append(news.Runners, *e.runner)
		case e.gone != nil:
			news.Gone = append(news.Gone, *e.gone)
		case e.held != nil:
			news.AddHeld(e.held.runner, e.held.copy, e.held.in(now))
		case e.room != nil:
			news.Rooms = append(news.Rooms, relayer.Room{Runner: e.room.runner, Wait: e.room.wait})
		}
	}
	return news, d.news.end(), len(events) > 0
}

// addLeaderState adds what this instance knows as the leader of the domain.
func (d *controller) tellHeld(news *relayer.News, member string, due bool, now time.Time) {
	if due {
		news.Loads, news.Members = d.others(member, now), d.count(now)
		news.Loaded = true
		news.Operator = d.gatekeeper.tellOperator(now)
		news.Reached = d.gatekeeper.tellReach(now)
	}
	news.Line = d.wait(now)
	news.Load, news.Return = d.gatekeeper.LoadTime(), d.gatekeeper.ReturnTime()
	_, news.Acting = d.elector.Acts(uptime())
	news.Renewal, news.Age = d.elector.Renewal(uptime())
	news.Tenure = d.elector.Holder()
}

// reachableSpan returns the span during which the store was reachable.
func (g *Gatekeeper) tellReach(now time.Time) relayer.Span {
	first, last, ok := g.storeUp.reached(now)
	if !ok {
		return relayer.Span{}
	}
	return relayer.Span{First: now.Sub(first), Last: now.Sub(last)}
}

// operatorVersion returns the newest version of the operator's rows that this instance knows,
// and how long ago it was confirmed to be the newest.
func (g *Gatekeeper) tellOperator(now time.Time) relayer.Known {
	newest, age, ok := g.operator.tell(now)
	if !ok {
		return relayer.Known{}
	}
	return relayer.Known{Newest: newest, Age: age.Round(time.Millisecond)}
}

// addSnapshot fills in a snapshot of the domain.
func (d *controller) whole(news *relayer.News, now time.Time) {
	news.Whole = true
	for _, c := range d.runners {
		r := c.runner
		held, wait := d.standing(c)
		if len(held) > 0 {
			r.Adapters = nil // the list from its own row is older
		}
		news.Runners = append(news.Runners, r)
		news.Rooms = append(news.Rooms, relayer.Room{Runner: r.ID, Wait: wait})
		for copied, at := range held {
			news.AddHeld(r.ID, copied, max(0, at.Sub(now)))
		}
	}
}

// delay returns the time until the copy is usable, as clocks differ between instances; negative
// if the runner does not hold it.
func (h heldEvent) in(now time.Time) time.Duration {
	if !h.there {
		return -1
	}
	return max(0, h.at.Sub(now)).Round(time.Millisecond)
}
