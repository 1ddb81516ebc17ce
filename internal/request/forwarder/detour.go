package forwarder

import (
	"context"
	"errors"
	"maps"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
)

// Detours serve requests at other instances while this one is partitioned from the runners
// (docs/design/detour.md).
type Detours interface {
	// Detour sends a request to a peer that reaches the runners and returns its response. An
	// error covers all peers that were asked, and what became of the request there. It sets
	// the outcome at the end of the response, and with an error.
	Detour(ctx context.Context, r DetourRequest, outcome *DetourOutcome) (*Reply, *judge.Error)
	// DetourAvailable reports whether a peer that reaches the runners of a service well is known,
	// other than the excluded ones.
	DetourAvailable(service string, excluded map[string]bool) bool
}

// A DetourRequest is a request for a detour.
type DetourRequest struct {
	*Request

	Excluded       map[string]bool // peers that have failed
	ExecutionsLeft int             // times that it may still be executed
}

// A DetourOutcome is what became of a request at a peer.
type DetourOutcome struct {
	Peer       string // empty if no peer may have run it
	Arrivals   int    // times that the request reached a runner
	Executions int    // times that it may have been executed
}

// errDetour is returned by choose when the request has to take a detour.
var errDetour = &judge.Error{Verdict: judge.NotRun, Reason: judge.ReasonUpstream, Message: "this instance is partitioned from the runners"}

// mayDetour reports whether the request may take a detour at all. One that came over a detour never
// takes another.
func (x *exchange) mayDetour() bool { return x.Detours != nil && x.request.Via == "" }

// takesDetour reports whether the request is to take a detour: this instance reaches no runner,
// or only a few and a peer reaches more.
func (x *exchange) takesDetour() bool {
	if !x.mayDetour() {
		return false
	}
	switch x.Fleet.Detector.State(x.request.Service) {
	case detector.Partitioned:
		return true
	case detector.Impaired:
		return !x.staysLocal && x.Detours.DetourAvailable(x.request.Service, x.failedPeers)
	default:
		return false
	}
}

// detour has a peer serve the request.
func (x *exchange) detour(ctx context.Context) *judge.Error {
	if refused := x.quarantined(); refused != nil {
		return refused
	}
	x.abandonSlot()
	x.releaseCopy()
	r := *x.request
	r.LastEventID, r.Resumed, r.LastEventAt, r.Avoid = x.lastEventID, x.response.started(), x.lastEventAt, x.eligible.broken
	r.Pin = x.eligible.pin
	var outcome DetourOutcome
	reply, failed := x.Detours.Detour(ctx, DetourRequest{
		Request: &r, Excluded: maps.Clone(x.failedPeers), ExecutionsLeft: max(1, r.Route.MaxExecutions-x.executions),
	}, &outcome)
	if failed == nil {
		x.lastVersion = reply.Version
		failed = x.relayDetour(reply)
	}
	x.peer = outcome.Peer
	x.delivered += outcome.Arrivals
	x.executions += outcome.Executions
	switch {
	case failed == nil:
		return nil
	case errors.Is(context.Cause(ctx), context.Canceled):
		return errCallerGone
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return &judge.Error{Verdict: failed.Verdict, Reason: judge.ReasonDeadline, Message: "the deadline passed at the peer"}
	case errors.Is(context.Cause(ctx), ErrStopping):
		return &judge.Error{Verdict: failed.Verdict, Reason: judge.ReasonStopping, Message: "the instance ended while the request was at the peer"}
	}
	if failed.Reason == judge.ReasonPeer && outcome.Peer != "" {
		x.failedPeers[outcome.Peer] = true
	}
	return failed
}

// relayDetour passes the response of a peer on.
func (x *exchange) relayDetour(reply *Reply) *judge.Error {
	if x.request.Route.Kind == matcher.Streaming && reply.Status < 300 {
		failed := x.relayDetourStream(reply)
		reply.Close(failed == nil)
		return failed
	}
	body, err := x.Bodies.ReadAll(reply.Body, maxBodySize)
	reply.Close(err == nil)
	switch {
	case errors.Is(err, bodyreader.ErrTooLong):
		return judge.Judge(reply.BodyError(err)) // the peer has not failed: another one would get as much
	case err != nil:
		return judge.As(err)
	}
	return x.deliver(reply, body)
}

// relayDetourStream passes the events of a response on as they arrive.
func (x *exchange) relayDetourStream(reply *Reply) *judge.Error {
	failed, err := x.copyEvents(reply, func() {})
	switch {
	case failed != nil:
		return failed
	case errors.Is(err, errWithinEvent):
		return judge.Judge(reply.BodyError(err))
	case err != nil:
		return judge.As(err)
	}
	return x.startStream(reply)
}

// retriesDetour reports whether the request may take another way after a failed detour: a stream
// that has started goes on while attempts are left, any other request that failed at the runners
// has had all its attempts there, and one that no peer accepted goes to the few runners that this
// instance reaches.
func (x *exchange) retriesDetour(ctx context.Context, failed *judge.Error) bool {
	if failed.Reason == judge.ReasonPeer || failed.Verdict != judge.NotRun && x.response.started() {
		return x.mayRetry(ctx, failed)
	}
	x.staysLocal = x.peer == "" && ctx.Err() == nil && x.Fleet.Detector.State(x.request.Service) == detector.Impaired
	return x.staysLocal
}
