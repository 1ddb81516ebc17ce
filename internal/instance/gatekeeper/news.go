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
	// newsEvery is how often a member of the domain is told what has changed. A
	// copy on its way is known well before it has arrived.
	newsEvery = 50 * time.Millisecond
	// farNewsEvery is the same for members of other failure domains, and farBeat
	// how often they are told of loads, or that nothing has changed. They send few
	// requests here, and bytes between domains are paid for: with 64 instances
	// half of them were news, 2 MB a second.
	farNewsEvery = 150 * time.Millisecond
	farBeat      = 250 * time.Millisecond
)

// Answer implements relayer.Handler: a member subscribes to the news of a
// domain.
func (g *Gatekeeper) Answer(ctx context.Context, from heartbeater.Instance, m relayer.Message, reply *relayer.Reply) error {
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
		d, err := g.held(m.Domain)
		if err != nil {
			return err
		}
		if _, known := g.runners.firsthand(); !known {
			// It may hold the tenure already, under the name that it had before a restart.
			// Members would take its silence about runners for their end, drop them all and
			// refuse every request. They ask again in 200 ms and keep what they know.
			return judge.Refuse(judge.ReasonStarting, "the runners are not known here yet")
		}
		return d.publish(ctx, from, reply)
	default:
		return judge.Refuse(judge.ReasonPeer, "a gateway answers no %T", m)
	}
}

// held returns the controller of a domain whose tenure is held here.
func (g *Gatekeeper) held(domain string) (*controller, error) {
	d, ok := g.controllers[domain]
	if !ok || !d.holds() {
		return nil, judge.Refuse(judge.ReasonOwner, "the tenure of %s is not held here", domain)
	}
	return d, nil
}

// Heard implements relayer.Handler. Members show by their demands that they
// live.
func (g *Gatekeeper) Heard(heartbeater.Instance, relayer.Beat) {}

// publish tells a member what changes until one of the two leaves or the tenure
// ends.
func (d *controller) publish(ctx context.Context, member heartbeater.Instance, reply *relayer.Reply) error {
	every, beat := newsEvery, beat
	if member.Domain != d.domain {
		every, beat = farNewsEvery, farBeat
	}
	number, told := -1, time.Time{}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if !d.holds() || d.gatekeeper.Leaving() {
			return judge.Refuse(judge.ReasonOwner, "the tenure of %s is not held here", d.domain)
		}
		due := time.Since(told) >= beat
		news, next, changed := d.digest(member.ID, number, due)
		if changed || due {
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

// digest returns what a member has not been told, and the number to go on from.
// due says whether loads are to be told.
func (d *controller) digest(member string, number int, due bool) (news relayer.News, next int, changed bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if due {
		news.Loads, news.Members = d.others(member, now)
		news.Loaded = true
		news.Operator = d.gatekeeper.tellOperator(now)
	}
	news.Line = d.wait(now)
	news.Fresh = d.gatekeeper.fresh()
	_, news.Acting = d.elector.Acts(uptime())
	news.Renewal, news.Age = d.elector.Renewal(uptime())
	news.Tenure = d.elector.Holder()
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
			news.Held = append(news.Held, e.held.encode(now))
		case e.room != nil:
			news.Rooms = append(news.Rooms, relayer.Room{Runner: e.room.runner, Wait: e.room.wait})
		}
	}
	return news, d.news.end(), len(events) > 0
}

// tellOperator returns up to which row, and as of when, this instance knows the
// operator's rows.
func (g *Gatekeeper) tellOperator(now time.Time) relayer.Known {
	newest, age, ok := g.operator.tell(now)
	if !ok {
		return relayer.Known{}
	}
	return relayer.Known{Newest: newest, Age: age.Round(time.Millisecond)}
}

// whole fills news with all that is known.
func (d *controller) whole(news *relayer.News, now time.Time) {
	news.Whole = true
	for _, c := range d.runners {
		news.Runners = append(news.Runners, c.runner)
		news.Rooms = append(news.Rooms, relayer.Room{Runner: c.runner.ID, Wait: c.wait})
		for copied, at := range c.told {
			news.Held = append(news.Held, heldEvent{runner: c.runner.ID, copy: copied, at: at, there: true}.encode(now))
		}
	}
}

// encode returns how a copy stands, with the time that is left in place of a
// time of this instance's clock.
func (h heldEvent) encode(now time.Time) relayer.Held {
	held := relayer.Held{Runner: h.runner, Copy: h.copy, In: -1}
	if h.there {
		held.In = max(0, h.at.Sub(now))
	}
	return held
}
