package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const (
	// maxServedDetours limits the requests of other instances in progress here.
	maxServedDetours = 256
	// beginTimeout is how long the request of a peer may stay accepted and not begun.
	beginTimeout = time.Second
	// detourPartSize limits the part of a response in one message, in bytes. A larger one
	// would delay the other messages on the link.
	detourPartSize = 64 << 10
)

// sendStatuses handles a relayer.Watch: it sends this instance's status at intervals. What the
// sender does not reach, this instance may not reach either.
func (g *Gatekeeper) sendStatuses(ctx context.Context, reply responder) error {
	g.Fleet.Detector.Doubt()
	ticker := pacer.NewTicker(detourer.StatusInterval)
	defer ticker.Stop()
	for {
		status := relayer.Status{Active: int(g.requestsInProgress.Load()), Stopping: g.Stopping(), Unreached: g.Fleet.Detector.Unreached()}
		if err := reply.Send(status); err != nil {
			return fmt.Errorf("send a status: %w", err)
		}
		if !ticker.Wait(ctx, nil) {
			return ctx.Err()
		}
	}
}

// serveDetour handles a relayer.Detour: it serves a request of a peer that does not reach the
// runners.
func (g *Gatekeeper) serveDetour(ctx context.Context, from heartbeater.Instance, m relayer.Detour, reply responder) (err error) {
	defer g.Recorder.Recover("detour", m.ID, func() { err = judge.Internal() })
	if g.servedDetours.Add(1) > maxServedDetours {
		g.servedDetours.Add(-1)
		return judge.Refuse(judge.ReasonQueue, "%d requests of other instances are in progress", maxServedDetours)
	}
	defer g.servedDetours.Add(-1)
	if refused := g.Overloaded(); refused != nil {
		return refused
	}
	arrived := time.Now()
	request, err := g.detouredRequest(from, m, arrived)
	if err != nil {
		return err
	}
	// Counted before the peer is told, so that a stop that begins now waits for it.
	g.requestsInProgress.Add(1)
	defer g.requestsInProgress.Add(-1)
	if err := reply.Send(relayer.Accepted{}); err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	begin := time.NewTimer(beginTimeout)
	defer begin.Stop()
	select {
	case <-reply.Begun():
	case <-ctx.Done():
		return ctx.Err()
	case <-begin.C:
		return judge.Refuse(judge.ReasonPeer, "not begun within %s", beginTimeout)
	}
	request.OnRetry = func(executions int) { _ = reply.Send(relayer.Progress{Executions: executions}) } // the end of the conversation cancels the request
	bounded, release := g.untilEnd(ctx)
	defer release()
	failed := g.Forwarder.Forward(bounded, request, &detourSink{codec: g.Headers, reply: reply})
	g.recordServedDetour(failed)
	done := relayer.Done{Arrivals: request.Arrivals, Executions: request.Executions}
	if failed != nil {
		fail := relayer.FailOf(failed)
		done.Failure = &fail
	}
	return reply.Finish(done)
}

// detouredRequest returns the request of a peer, or why it is not served here.
func (g *Gatekeeper) detouredRequest(from heartbeater.Instance, m relayer.Detour, now time.Time) (*forwarder.Request, error) {
	if g.Stopping() {
		return nil, judge.Refuse(judge.ReasonStopping, "the instance is stopping")
	}
	catalog := g.catalog.Load()
	if catalog == nil {
		return nil, judge.Refuse(judge.ReasonStarting, "no configuration is in force here yet")
	}
	engine, known := g.engineOf(catalog, m)
	if !known {
		return nil, judge.Refuse(judge.ReasonUpstream, "service %s is not known here", m.Service)
	}
	if g.Fleet.Detector.State(m.Service) != detector.Reached {
		return nil, judge.Refuse(judge.ReasonUpstream, "the runners of service %s are not reached from here either", m.Service)
	}
	r := &forwarder.Request{
		ID: m.ID, Account: m.Account, Arrived: now.Add(-m.Waited), Deadline: now.Add(m.Left), LastEventID: m.LastEventID, Copy: m.Copy,
		Engine: engine, Message: forwarder.Message{Body: m.Body, Head: m.Head, Method: m.Method, Target: m.Target},
		Priority: m.Priority, Service: m.Service, Tokens: m.Tokens, Via: from.ID, Resumed: m.Resumed, Avoid: m.Avoid, Pin: m.Pin, Parts: m.Parts,
		Route: &matcher.Route{
			Name: m.Route.Name, Host: m.Route.Host, Kind: m.Route.Kind, MaxExecutions: m.Route.MaxExecutions, MaxGap: m.Route.MaxGap,
			LatencyTarget: m.Route.LatencyTarget, Resumable: m.Route.Resumable, Timeout: m.Route.Timeout, Priority: m.Priority,
		},
	}
	if r.Resumed {
		r.LastEventAt = now.Add(-m.Idle)
	}
	if r.Copy.Adapter != "" {
		r.Copy.Version = max(r.Copy.Version, g.NewestVersion(r.Copy.Model, r.Copy.Adapter))
	}
	return r, nil
}

// engineOf returns the engine of the service of a peer's request, or nil for a plain one. known is
// false for a service of which nothing is known here. The sender's configuration counts, as for the
// route: the one in force here may be older or newer, and lack the service or describe it otherwise
// although its runners serve.
func (g *Gatekeeper) engineOf(catalog *matcher.Catalog, m relayer.Detour) (engine *matcher.Engine, known bool) {
	service, configured := catalog.Services[m.Service]
	switch {
	case m.Engine == nil:
		return service.Engine, configured
	case !configured && !g.Fleet.HasVersion(m.Service, tracker.VersionPin{}):
		return nil, false
	case !*m.Engine:
		return nil, true
	case service.Engine == nil:
		return &matcher.Engine{}, true
	default:
		return service.Engine, true
	}
}

// recordServedDetour counts a request of a peer.
func (g *Gatekeeper) recordServedDetour(failed *judge.Error) {
	result := "served"
	if failed != nil {
		result = string(failed.Reason)
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_served_detours_total{result=%q}`, result)).Inc()
}

// A detourSink sends a response to the peer whose request it is.
type detourSink struct {
	codec HeaderCodec
	reply responder
}

var _ forwarder.Sink = (*detourSink)(nil)

// Head implements forwarder.Sink.
func (s *detourSink) Head(r *forwarder.Reply) error {
	return s.reply.Send(relayer.DetourHead{Status: r.Status, Header: s.codec.EncodeHeader(r.Head), Version: r.Version})
}

// Event implements forwarder.Sink.
func (s *detourSink) Event(data []byte) error {
	for len(data) > detourPartSize {
		if err := s.reply.Send(relayer.Data{Data: data[:detourPartSize]}); err != nil {
			return err
		}
		data = data[detourPartSize:]
	}
	return s.reply.Send(relayer.Data{Data: data})
}

// Complete implements forwarder.Sink.
func (s *detourSink) Complete(r *forwarder.Reply, body []byte) error {
	if err := s.Head(r); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return s.Event(body)
}
