package gatekeeper

import (
	"cmp"
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/scheduler"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
)

const (
	// grantMargin is how long after its time limit a request still waits for the leader, which
	// refuses it at that limit: the way of the refusal.
	grantMargin = 50 * time.Millisecond
	// meanReportAge is the mean age of the loads that members have reported to the leader.
	meanReportAge = updateInterval / 2
)

// ordersPrompts reports whether prompts are ordered by urgency.
func (g *Gatekeeper) ordersPrompts() bool { return g.Config.Load.Order == configurer.On }

// enqueue returns when it is the turn of a request at a runner. The leader of the runner's
// domain keeps the queue. If it does not answer, this instance keeps one for its own requests.
func (g *Gatekeeper) enqueue(ctx context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
	l, found := g.linkOf(request.Runner)
	if !found {
		return forwarder.Reservation{}, nil, false
	}
	deadline := time.Now().Add(request.Timeout + request.Extension)
	e := relayer.Enqueue{
		Domain: l.domain, Runner: request.Runner, Copy: request.Copy, Tokens: request.Tokens, MaxGap: request.MaxGap, Timeout: request.Timeout,
		Priority: request.Priority, Account: request.Account, Extension: request.Extension,
	}
	reservation, refused, ok := forwarder.Reservation{}, (*judge.Error)(nil), false
	if c := g.controllers[l.domain]; c.leads() {
		reserved, place, err := c.enqueue(g.Config.ID, e)
		reservation, refused, ok = g.await(ctx, request, reserved, place, err)
	} else if leader, via, known := l.leaderAndSource(); known {
		if via.id != leader.id {
			e.Reporter = via.id
			l.reportNow() // the relaying instance's next report replaces its uses at the leader, and must include this one
		}
		reservation, refused, ok = g.askTurn(ctx, leader, e, request, deadline)
	}
	if ok {
		return reservation, refused, true
	}
	return g.enqueueFallback(ctx, request, deadline)
}

// askTurn asks the leader for the turn of a request and waits for it. ok is false if the leader
// does not answer, or no longer leads.
func (g *Gatekeeper) askTurn(ctx context.Context, leader source, e relayer.Enqueue, request forwarder.ReserveRequest, deadline time.Time) (reservation forwarder.Reservation, refused *judge.Error, ok bool) {
	conversation, message, err := g.askPeer(ctx, leader.address, e, askTimeout)
	if err != nil {
		return g.turn(ctx, request, relayer.Reserved{}, err)
	}
	defer conversation.Close()
	if queued, is := message.(relayer.Queued); is {
		request.OnQueued(queued.Wait)
		message, err = g.nextBefore(ctx, conversation, deadline.Add(grantMargin))
		if err != nil {
			return g.turn(ctx, request, relayer.Reserved{}, err)
		}
	}
	reserved, is := message.(relayer.Reserved)
	if !is {
		return forwarder.Reservation{}, nil, false
	}
	if late := time.Since(deadline); late > grantMargin {
		// This process was paused, or the message was on its way for long: the response
		// would be late, and the leader no longer counts the prompt.
		return forwarder.Reservation{}, judge.Refuse(judge.ReasonQueue, "its turn came %s late", late.Round(time.Millisecond)), true
	}
	return g.turn(ctx, request, reserved, nil)
}

// nextBefore returns the next message of a conversation, or an error at a time, at the end of
// ctx, or when this instance is about to end.
func (g *Gatekeeper) nextBefore(ctx context.Context, conversation Conversation, end time.Time) (relayer.Message, error) {
	for {
		left := time.Until(end)
		switch {
		case ctx.Err() != nil:
			return nil, judge.Refuse(judge.ReasonCancelled, "the request ended while it waited for its turn")
		case left <= 0:
			return nil, judge.Refuse(judge.ReasonDeadline, "the leader gave no answer within the time limit")
		case g.StoppingSoon():
			return nil, judge.Refuse(judge.ReasonStopping, "the instance ends before it is the turn of the request")
		}
		slice, cancel := context.WithTimeout(ctx, min(left, stopCheckInterval))
		message, err := conversation.Next(slice)
		again := slice.Err() != nil && hasReason(err, judge.ReasonDeadline) // otherwise the answer came at that moment
		cancel()
		if err == nil || !again {
			return message, err
		}
	}
}

// stopCheckInterval is how often a request that waits for its turn checks whether the instance
// is about to end.
const stopCheckInterval = 100 * time.Millisecond

// await waits for the result of a place in a queue of this instance, if the request has not
// been answered yet.
func (g *Gatekeeper) await(ctx context.Context, request forwarder.ReserveRequest, reserved relayer.Reserved, place *ticket, err error) (forwarder.Reservation, *judge.Error, bool) {
	if place == nil {
		return g.turn(ctx, request, reserved, err)
	}
	request.OnQueued(place.wait)
	select {
	case a := <-place.result:
		return g.turn(ctx, request, a.reserved, a.err)
	case <-ctx.Done():
		place.leave()
		return g.turn(ctx, request, relayer.Reserved{}, ctx.Err())
	}
}

// turn converts the answer to a request for a turn. ok is false after an answer that is no
// decision on the request.
func (g *Gatekeeper) turn(ctx context.Context, request forwarder.ReserveRequest, reserved relayer.Reserved, err error) (forwarder.Reservation, *judge.Error, bool) {
	switch {
	case ctx.Err() != nil:
		return forwarder.Reservation{}, judge.Refuse(judge.ReasonCancelled, "the request ended while it waited for its turn"), true
	case err == nil && reserved.Absent:
		return forwarder.Reservation{Absent: true}, nil, true
	case err == nil:
		g.Fleet.SetPrefillBacklog(request.Runner, request.Priority, reserved.PrefillBacklog)
		return forwarder.Reservation{}, nil, true
	case hasReason(err, judge.ReasonStopping) && g.StoppingSoon():
		return forwarder.Reservation{}, judge.As(err), true
	}
	refused := capacityRefusal(err)
	if refused == nil {
		return forwarder.Reservation{}, nil, false
	}
	g.Fleet.SetPrefillBacklog(request.Runner, request.Priority, refused.RetryAfter)
	return forwarder.Reservation{}, refused, true
}

// enqueue decides on a request for a turn at a runner. It returns a reservation, a ticket of a
// request that waits, or an error.
func (c *controller) enqueue(from string, e relayer.Enqueue) (relayer.Reserved, *ticket, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.runners[e.Runner]
	if !ok {
		return relayer.Reserved{}, nil, judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", e.Runner)
	}
	adapter := state.placer != nil && e.Copy.Adapter != ""
	if adapter && state.placer.Known() && !state.placer.Holds(e.Copy) {
		return relayer.Reserved{Absent: true}, nil, nil
	}
	o := c.queueOwner(state)
	if err := o.refresh(); err != nil {
		return relayer.Reserved{}, nil, err
	}
	entry := scheduler.Entry{
		Account: e.Account, Priority: e.Priority, Tokens: e.Tokens, Reporter: c.reporterOf(from, e.Reporter),
		Prompt: admitter.Prompt{MaxGap: e.MaxGap, PrefillTime: c.gatekeeper.Fleet.PrefillTimeAt(state.runner, e.Tokens, now), Share: c.prefillShare.Value(), Timeout: e.Timeout, Extension: e.Extension},
	}
	reserved, place, err := state.prefillQueue.admit(o, entry, now)
	if adapter {
		c.recordArrival(state, e.Copy, now) // also a refused one: it shows demand for copies
	}
	if adapter && err == nil {
		state.placer.MarkAssigned(e.Copy, now)
		c.recordUse(cmp.Or(e.Reporter, from), keyOf(e.Runner, e.Copy))
	}
	return reserved, place, err
}

// queueOwner returns what the queue of a runner needs to know. Its refresh is called with the
// controller's lock held.
func (c *controller) queueOwner(state *runnerState) queueOwner {
	id := state.runner.ID
	return queueOwner{gatekeeper: c.gatekeeper, lock: &c.mu, runner: id, refresh: func() error {
		switch {
		case !c.elector.IsLeader(uptime()):
			return judge.Refuse(judge.ReasonOwner, "the tenure of %s is not held here", c.domain)
		case c.runners[id] != state:
			return judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", id)
		}
		used := c.gatekeeper.Fleet.Occupancy(id)
		others := c.aggregator.LoadExcept(c.gatekeeper.Config.ID, id).Running
		if c.firstReportAt.IsZero() || time.Since(c.firstReportAt) < countSettleTime {
			others = max(others, used.Others) // not all members have reported to the new leader
		}
		state.prefillQueue.Slots = scheduler.Slots{Known: used.Own, Reported: others, RunTime: used.RunTime, Total: used.Slots, ReportAge: meanReportAge}
		return nil
	}}
}

// relayedReporter stands for the reporter of a request whose instance reports through another
// one: a report of that one may not include the request yet.
const relayedReporter = "relayed"

// reporterOf returns whose reports to this instance include a request; empty for those of this
// instance, which counts them at once.
func (c *controller) reporterOf(from, reporter string) string {
	switch {
	case from == c.gatekeeper.Config.ID:
		return ""
	case reporter != "" && reporter != from:
		return relayedReporter
	default:
		return from
	}
}

// confirmGrants records that a report of a member has arrived, which includes the requests that
// it was granted before.
func (c *controller) confirmGrants(member string, now time.Time) {
	if !c.gatekeeper.ordersPrompts() {
		return
	}
	for _, state := range c.runners {
		state.prefillQueue.Reported(member, now)
	}
}

// answerEnqueue handles a relayer.Enqueue until the request is granted or refused, or its sender
// cancels.
func (c *controller) answerEnqueue(ctx context.Context, from string, e relayer.Enqueue, reply responder) error {
	reserved, place, err := c.enqueue(from, e)
	switch {
	case err != nil:
		return err
	case place == nil:
		return reply.Finish(reserved)
	}
	if err := reply.Send(relayer.Queued{Wait: place.wait}); err != nil {
		place.leave()
		return err
	}
	select {
	case a := <-place.result:
		if a.err != nil {
			return a.err
		}
		return reply.Finish(a.reserved)
	case <-ctx.Done():
		place.leave()
		return ctx.Err()
	}
}
