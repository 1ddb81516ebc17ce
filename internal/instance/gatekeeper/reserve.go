package gatekeeper

import (
	"cmp"
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// askTimeout bounds how long a request waits for an answer on capacity. A leader answers within
// a few milliseconds; without an answer the request is sent to the runner anyway.
const askTimeout = 40 * time.Millisecond

// Reserve implements forwarder.Placement.
func (g *Gatekeeper) Reserve(ctx context.Context, request forwarder.ReserveRequest) (reservation forwarder.Reservation, refused *judge.Error, ok bool) {
	if g.ordersPrompts() {
		return g.enqueue(ctx, request)
	}
	l, found := g.linkOf(request.Runner)
	if !found {
		return forwarder.Reservation{}, nil, false
	}
	r := relayer.Reserve{Domain: l.domain, Runner: request.Runner, Copy: request.Copy, Tokens: request.Tokens, MaxGap: request.MaxGap, Timeout: request.Timeout, Extension: request.Extension}
	if c := g.controllers[l.domain]; c.leads() {
		reserved, err := c.reserve(g.Config.ID, r)
		return g.reservation(request, reserved, err)
	}
	leader, via, ok := l.leaderAndSource()
	if !ok {
		return forwarder.Reservation{}, nil, false
	}
	if via.id != leader.id {
		r.Reporter = via.id
		l.reportNow() // the relaying instance's next report replaces its uses at the leader, and must include this one
	}
	conversation, message, err := g.askPeer(ctx, leader.address, r, askTimeout)
	if err != nil {
		return g.reservation(request, relayer.Reserved{}, err)
	}
	defer conversation.Close()
	reserved, is := message.(relayer.Reserved)
	if !is {
		return forwarder.Reservation{}, nil, false
	}
	return g.reservation(request, reserved, nil)
}

// reservation converts the leader's answer. Only a refusal for lack of capacity refuses the
// request; any other failure has no effect on it.
func (g *Gatekeeper) reservation(request forwarder.ReserveRequest, reserved relayer.Reserved, err error) (forwarder.Reservation, *judge.Error, bool) {
	if err == nil {
		if !reserved.Absent {
			g.Fleet.SetPrefillBacklog(request.Runner, 0, reserved.PrefillBacklog)
		}
		return forwarder.Reservation{Absent: reserved.Absent, Delay: reserved.Delay}, nil, true
	}
	if refused := capacityRefusal(err); refused != nil {
		if request.Extension == 0 { // otherwise its share may be used up, which says nothing about the backlog
			g.Fleet.SetPrefillBacklog(request.Runner, 0, request.Timeout+refused.RetryAfter)
		}
		return forwarder.Reservation{}, refused, true
	}
	return forwarder.Reservation{}, nil, false
}

// reserve reserves capacity for a request at a runner, or refuses it.
func (c *controller) reserve(from string, r relayer.Reserve) (relayer.Reserved, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.runners[r.Runner]
	if !ok {
		return relayer.Reserved{}, judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", r.Runner)
	}
	if state.placer != nil && r.Copy.Adapter != "" {
		if state.placer.Known() && !state.placer.Holds(r.Copy) {
			return relayer.Reserved{Absent: true}, nil
		}
		state.placer.MarkAssigned(r.Copy, now)
		c.recordArrival(state, r.Copy, now)
		c.recordUse(cmp.Or(r.Reporter, from), keyOf(r.Runner, r.Copy))
	}
	fleet := c.gatekeeper.Fleet
	wait, ok := state.prefillQueue.Reserve(admitter.Prompt{
		MaxGap: r.MaxGap, SlotWait: fleet.RequestSlotWait(r.Runner), PrefillTime: fleet.PrefillTimeAt(state.runner, r.Tokens, now), Share: c.prefillShare.Value(), Timeout: r.Timeout, Extension: r.Extension,
	}, now)
	if !ok {
		refused := judge.Refuse(judge.ReasonQueue, "%s of prompts are to be read there", state.prefillQueue.Backlog(now).Round(time.Millisecond))
		return relayer.Reserved{}, refused.WithRetryAfter(wait)
	}
	return relayer.Reserved{Delay: wait, PrefillBacklog: state.prefillQueue.Backlog(now)}, nil
}
