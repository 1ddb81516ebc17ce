package gatekeeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// AcquireSlot implements forwarder.Placement. The leader of the runner's domain counts the
// requests at the runner: what another instance knows of them is already several run times old.
func (g *Gatekeeper) AcquireSlot(ctx context.Context, runner string, within time.Duration) (slot forwarder.RequestSlot, refused *judge.Error, ok bool) {
	l, found := g.linkOf(runner)
	if !found {
		return forwarder.RequestSlot{}, nil, false
	}
	if c := g.controllers[l.domain]; c.leads() {
		wait, done, err := c.acquireSlot(runner, within)
		if err != nil {
			return noSlot(err)
		}
		return g.heldSlots.add(runner, wait, func() { done(false) }, func() { done(true) }), nil, true
	}
	leader, _, ok := l.leaderAndSource()
	if !ok {
		return forwarder.RequestSlot{}, nil, false
	}
	conversation, message, err := g.askPeer(ctx, leader.address, relayer.Place{Domain: l.domain, Runner: runner, Timeout: within}, askTimeout)
	if err != nil {
		return noSlot(err)
	}
	answer, is := message.(relayer.Placed)
	if !is {
		conversation.Close()
		return forwarder.RequestSlot{}, nil, false
	}
	return g.heldSlots.add(runner, answer.Wait, conversation.Close, conversation.Abandon), nil, true
}

// heldSlots are the request slots that requests of this instance hold. The zero value is
// ready; it is safe for concurrent use.
type heldSlots struct {
	mu    sync.Mutex
	slots map[*heldSlot]bool
}

// A heldSlot is a request slot at a runner.
type heldSlot struct {
	runner           string
	release, abandon func()
}

// add adds a slot at a runner.
func (h *heldSlots) add(runner string, wait time.Duration, release, abandon func()) forwarder.RequestSlot {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		h.slots = make(map[*heldSlot]bool)
	}
	s := &heldSlot{runner, release, abandon}
	h.slots[s] = true
	return forwarder.RequestSlot{Wait: wait, Release: func() { h.end(s, s.release) }, Abandon: func() { h.end(s, s.abandon) }}
}

// end ends a slot, unless it has ended before.
func (h *heldSlots) end(s *heldSlot, how func()) {
	h.mu.Lock()
	held := h.slots[s]
	delete(h.slots, s)
	h.mu.Unlock()
	if held {
		how()
	}
}

// abandonAll abandons all slots at the given runners.
func (h *heldSlots) abandonAll(runners map[string]bool) {
	h.mu.Lock()
	slots := maps.Clone(h.slots)
	h.mu.Unlock()
	for s := range slots {
		if runners[s.runner] {
			h.end(s, s.abandon)
		}
	}
}

// noSlot returns the results of AcquireSlot after an error: a refusal, or ok false if there is no
// answer.
func noSlot(err error) (slot forwarder.RequestSlot, refused *judge.Error, ok bool) {
	refused = capacityRefusal(err)
	return forwarder.RequestSlot{}, refused, refused != nil
}

// capacityRefusal returns err as a refusal if it was refused for lack of capacity, else nil.
func capacityRefusal(err error) *judge.Error {
	if !hasReason(err, judge.ReasonQueue) {
		return nil
	}
	return judge.As(err)
}

// acquireSlot takes a request slot at a runner until done is called, or refuses the request. done
// is told whether the runner has not completed the request, which says nothing of its pace. The
// wait includes how much longer the request runs there than at a runner with the mean pace, so
// that the instance prefers one that is not slow now.
func (c *controller) acquireSlot(runner string, within time.Duration) (wait time.Duration, done func(abandoned bool), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.runners[runner]
	if !ok {
		return 0, nil, judge.Refuse(judge.ReasonUpstream, "runner %s is not known here", runner)
	}
	now := time.Now()
	factor := c.gatekeeper.Fleet.PaceFactor(runner, now)
	wait = state.slots.Wait(state.runner.Slots, factor)
	if wait > 0 && c.gatekeeper.Fleet.Brittle(runner) {
		return 0, nil, judge.Refuse(judge.ReasonQueue, "all request slots of the brittle runner are taken").WithRetryAfter(wait)
	}
	if wait > within {
		return 0, nil, judge.Refuse(judge.ReasonQueue, "requests wait for %s there", wait.Round(time.Millisecond)).WithRetryAfter(wait - within)
	}
	entry := state.slots.Enter(now)
	return wait + state.slots.Excess(factor), func(abandoned bool) { c.releaseSlot(state, entry, abandoned) }, nil
}

// releaseSlot releases a request slot at a runner.
func (c *controller) releaseSlot(state *runnerState, e tracker.Entry, abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if abandoned {
		state.slots.Abandon()
		return
	}
	now := time.Now()
	state.slots.Leave(e, state.runner.Slots, c.gatekeeper.Fleet.PaceFactor(state.runner.ID, now), now)
}

// holdSlot handles a relayer.Place: it holds the request slot until the sender cancels.
func (c *controller) holdSlot(ctx context.Context, m relayer.Place, reply responder) error {
	wait, done, err := c.acquireSlot(m.Runner, m.Timeout)
	if err != nil {
		return err
	}
	abandoned := true
	defer func() { done(abandoned) }()
	if err := reply.Send(relayer.Placed{Wait: wait}); err != nil {
		return err
	}
	<-ctx.Done()
	abandoned = reply.Abandoned()
	return nil
}
