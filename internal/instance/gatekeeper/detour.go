package gatekeeper

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A HeaderCodec encodes the headers of responses, which are specific to the Upstream, for
// other instances.
type HeaderCodec interface {
	// EncodeHeader returns names and values in turns.
	EncodeHeader(head any) []string
	// DecodeHeader is the inverse of EncodeHeader.
	DecodeHeader(pairs []string) (head any)
}

const (
	// maxDetourPeers is how many peers are asked to accept a request.
	maxDetourPeers = 3
	// acceptTimeout is how long a peer may take to accept a request.
	acceptTimeout = 100 * time.Millisecond
	// firstStatusTimeout is how long a request waits for the first status of any peer, at the
	// beginning of a partition.
	firstStatusTimeout = 300 * time.Millisecond
	// hopMargin is subtracted from the time left for a request when it is sent to a peer.
	hopMargin = 5 * time.Millisecond
)

// watchDetourPeers begins to watch peers while there is a partition.
func (g *Gatekeeper) watchDetourPeers(ctx context.Context) {
	if len(g.Fleet.Detector.Unreached()) == 0 {
		return
	}
	for _, p := range g.detourer.Due(time.Now()) {
		go g.watchDetourPeer(ctx, p)
	}
}

// watchDetourPeer watches a peer as long as there is a partition or requests are in progress
// there. It shows the peer that this instance is alive, and closes the link to a peer that no
// longer is: its detours would hang.
func (g *Gatekeeper) watchDetourPeer(ctx context.Context, p detourer.Peer) {
	conversation, err := g.Peers.Open(ctx, p.Address, relayer.Watch{})
	if err != nil {
		g.detourer.Lost(p.ID, time.Now())
		return
	}
	defer conversation.Close()
	for {
		bounded, cancel := context.WithTimeout(ctx, detourer.LostAfter)
		message, err := conversation.Next(bounded)
		cancel()
		now := time.Now()
		status, ok := message.(relayer.Status)
		if err != nil || !ok {
			busy := g.detourer.Busy(p.ID)
			g.detourer.Lost(p.ID, now)
			if ctx.Err() == nil {
				g.Recorder.Log(recorder.View, "msg", "detour peer lost", "peer", p.ID, "busy", busy, "err", err)
			}
			if busy {
				g.Peers.CloseLink(p.Address)
			}
			return
		}
		if len(g.Fleet.Detector.Unreached()) == 0 && g.detourer.Unwatched(p.ID) {
			return
		}
		usable := g.detourer.Observe(p.ID, detourer.Status(status), g.Fleet.Detector.Unreached(), now)
		if usable {
			g.handlePartitions()
		} else {
			g.watchDetourPeers(ctx)     // another one in its place
			if !g.detourer.Busy(p.ID) { // after Observe: no request is sent there any more
				return
			}
		}
		_ = g.Peers.Send(ctx, p.Address, relayer.Alive{}) // a failed link ends the conversation
	}
}

// handlePartitions ends the attempts that hang as this instance is partitioned from their runners.
// It is called when a peer may serve the requests.
func (g *Gatekeeper) handlePartitions() {
	for _, service := range g.Fleet.Detector.Unreached() {
		g.Forwarder.HandlePartition(service, detector.Silence)
	}
}

// Detour implements forwarder.Detours.
func (g *Gatekeeper) Detour(ctx context.Context, r forwarder.DetourRequest, outcome *forwarder.DetourOutcome) (*forwarder.Reply, *judge.Error) {
	excluded := maps.Clone(r.Excluded)
	if excluded == nil {
		excluded = make(map[string]bool)
	}
	for range maxDetourPeers {
		choice, ok := g.chooseDetourPeer(ctx, r.Service, excluded)
		if !ok {
			break
		}
		reply, failed := g.detourTo(ctx, choice, r, outcome)
		if failed == nil || outcome.Peer != "" || failed.Reason == judge.ReasonCancelled {
			return reply, failed
		}
		excluded[choice.ID] = true
		g.Recorder.Log(recorder.Detour, "msg", "peer did not accept", "request", r.ID, "peer", choice.ID, "reason", failed.Reason, "err", failed.Message)
	}
	g.countDetour("refused")
	refused := judge.Refuse(judge.ReasonUpstream, "neither this instance nor a peer that it knows reaches a runner of service %s", r.Service)
	return nil, refused.WithRetryAfter(detourRetryAfter)
}

// DetourAvailable implements forwarder.Detours.
func (g *Gatekeeper) DetourAvailable(service string, excluded map[string]bool) bool {
	return g.detourer.Available(service, excluded, time.Now())
}

// detourRetryAfter is the Retry-After where no peer can serve a request: by then runners and
// peers have been probed again.
const detourRetryAfter = time.Second

func (g *Gatekeeper) countDetour(result string) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_detours_total{result=%q}`, result)).Inc()
}

// chooseDetourPeer chooses a peer. At the beginning of a partition it waits until one has
// answered.
func (g *Gatekeeper) chooseDetourPeer(ctx context.Context, service string, excluded map[string]bool) (detourer.Choice, bool) {
	for end := time.Now().Add(firstStatusTimeout); ; {
		now := time.Now()
		choice, ok := g.detourer.Choose(service, excluded, now)
		if ok || now.After(end) || ctx.Err() != nil || !g.detourer.Pending(now) {
			return choice, ok
		}
		pause(ctx, 5*time.Millisecond)
	}
}

// detourTo sends a request to a peer. The outcome names the peer once it may run the request.
func (g *Gatekeeper) detourTo(ctx context.Context, choice detourer.Choice, r forwarder.DetourRequest, outcome *forwarder.DetourOutcome) (*forwarder.Reply, *judge.Error) {
	done := sync.OnceFunc(func() { g.detourer.Done(choice.ID) })
	conversation, _, err := g.askPeer(ctx, choice.Address, detourMessage(r, time.Now()), acceptTimeout)
	if err == nil {
		if err = beginDetour(ctx, conversation, r); err != nil {
			conversation.Close()
		}
	}
	if err != nil {
		done()
		refused := judge.As(err)
		return nil, &judge.Error{Verdict: judge.NotRun, Reason: refused.Reason, Message: refused.Message} // it runs nothing before Begin
	}
	*outcome = forwarder.DetourOutcome{Peer: choice.ID, Arrivals: 1, Executions: 1}
	g.Recorder.Log(recorder.Detour, "msg", "detour", "request", r.ID, "service", r.Service, "peer", choice.ID, "domain", choice.Domain, "active", choice.Active, "status", choice.StatusAge, "left", r.ExecutionsLeft)
	body := &detourBody{ctx: ctx, conversation: conversation, outcome: outcome}
	end := func(result string) {
		g.countDetour(result)
		conversation.Close()
		done()
	}
	head, err := body.head()
	if err != nil {
		failed := judge.As(err)
		end(string(failed.Reason))
		return nil, failed
	}
	return &forwarder.Reply{
		Status: head.Status, Version: head.Version, Head: g.Headers.DecodeHeader(head.Header), Body: body, Close: func(complete bool) {
			result := "broken"
			if complete {
				result = "served"
			}
			end(result)
		},
		BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
	}, nil
}

// beginDetour lets a peer run a request, unless the caller has left while the peer was asked.
func beginDetour(ctx context.Context, conversation Conversation, r forwarder.DetourRequest) error {
	if r.Withdrawn(ctx) {
		return judge.Judge(judge.Withdrawn{})
	}
	return conversation.Begin()
}

// detourMessage returns the message that asks a peer to serve a request.
func detourMessage(r forwarder.DetourRequest, now time.Time) relayer.Detour {
	route, engine := r.Route, r.Engine != nil
	var idle time.Duration
	if r.Resumed {
		idle = now.Sub(r.LastEventAt)
	}
	return relayer.Detour{
		ID: r.ID, Account: r.Account, Service: r.Service, Copy: r.Copy, LastEventID: r.LastEventID, Resumed: r.Resumed,
		Method: r.Message.Method, Target: r.Message.Target, Head: r.Message.Head, Body: r.Message.Body,
		Priority: r.Priority, Tokens: r.Tokens, Waited: now.Sub(r.Arrived), Left: r.Deadline.Sub(now) - hopMargin, Idle: idle, Avoid: r.Avoid, Pin: r.Pin, Parts: r.Parts, Engine: &engine,
		Route: relayer.DetourRoute{
			Name: route.Name, Host: route.Host, Kind: route.Kind, MaxExecutions: r.ExecutionsLeft, MaxGap: route.MaxGap,
			LatencyTarget: route.LatencyTarget, Resumable: route.Resumable, Timeout: route.Timeout - hopMargin,
		},
	}
}

// A detourBody reads the response of a peer.
type detourBody struct {
	ctx          context.Context
	conversation Conversation
	outcome      *forwarder.DetourOutcome
	rest         []byte // received and not yet read
}

// head returns the head of the response.
func (b *detourBody) head() (relayer.DetourHead, error) {
	for {
		message, err := b.next()
		if err != nil {
			return relayer.DetourHead{}, err
		}
		if head, ok := message.(relayer.DetourHead); ok {
			return head, nil
		}
	}
}

// Read implements io.Reader.
func (b *detourBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		message, err := b.next()
		if err != nil {
			return 0, err
		}
		if data, ok := message.(relayer.Data); ok {
			b.rest = data.Data
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// next returns the next message, and io.EOF at the end of a complete response.
func (b *detourBody) next() (relayer.Message, error) {
	message, err := b.conversation.Next(b.ctx)
	if err != nil {
		return nil, err
	}
	switch m := message.(type) {
	case relayer.Progress:
		b.outcome.Executions = max(b.outcome.Executions, m.Executions)
	case relayer.Done:
		b.outcome.Arrivals, b.outcome.Executions = m.Arrivals, m.Executions
		if m.Failure != nil {
			return nil, m.Failure.Err()
		}
		return nil, io.EOF
	default:
	}
	return message, nil
}
