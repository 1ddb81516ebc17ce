package gatekeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// callerIdleTimeout is how long a caller's connection may stay unused. The operator's limit,
// which callers know and stay within, is not read; it was 15 s where this was tested, so a
// request never races with the closing of its connection.
const callerIdleTimeout = time.Minute

// metricsPath is the path of the metrics page.
const metricsPath = "/metrics"

// listen serves the sockets until ctx ends.
func (g *Gatekeeper) listen(ctx context.Context, loops *sync.WaitGroup) <-chan error {
	peers := router.New()
	peers.GET(relayer.Path, g.Peers.Serve)
	servers := []*listener.Server{
		g.callers,
		{Handler: peers.Handler, Listener: g.Listeners.Peer, DrainTimeout: time.Millisecond},
		{Handler: g.Ready(g.Serving), Listener: g.Listeners.Ready, DrainTimeout: time.Millisecond},
	}
	if g.Listeners.Metrics != nil {
		counters := router.New()
		counters.GET(metricsPath, func(c *fasthttp.RequestCtx) { g.Metrics.WritePrometheus(c) })
		servers = append(servers, &listener.Server{Handler: counters.Handler, Listener: g.Listeners.Metrics, DrainTimeout: time.Millisecond})
	}
	failed := make(chan error, len(servers))
	for _, server := range servers {
		server.OnAcceptFailure = g.logAcceptFailure
		loops.Go(func() {
			if err := server.Run(ctx); err != nil {
				failed <- err
			}
		})
	}
	return failed
}

// newCallerServer returns the server of the callers' connections.
func (g *Gatekeeper) newCallerServer() *listener.Server {
	return &listener.Server{
		Handler: g.Front, IdleTimeout: callerIdleTimeout, Listener: g.Listeners.Caller, NoDefaultHeaders: true, HandleError: g.HandleMalformed, DrainTimeout: time.Millisecond, OnClose: g.callerClosed,
		Admit: g.admitConnection, OnRefuse: g.connectionRefused, OnShut: g.listenerShut,
	}
}

// logAcceptFailure counts and logs a connection that could not be accepted.
func (g *Gatekeeper) logAcceptFailure(err error) {
	g.Metrics.GetOrCreateCounter("sardinetiller_accept_failures_total").Inc()
	g.Recorder.Log(recorder.Lifecycle, "msg", "connection not accepted", "err", err)
}

// callerClosed counts a caller's connection that has ended. It logs a request that it cuts, unless the
// forwarding of the request does so: that knows of disconnects and of responses that break off.
func (g *Gatekeeper) callerClosed(c listener.Closed) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_caller_closes_total{reason=%q}`, c.Reason)).Inc()
	if c.Handling && c.Reason != listener.ClosedByCaller && c.Reason != listener.ClosedBroken {
		g.Recorder.Log(recorder.Failed, "msg", "connection closed before the response was written", "request", c.Request, "reason", c.Reason)
	}
}

// Forward handles a request, unless the instance is about to stop.
func (g *Gatekeeper) Forward(ctx context.Context, r *forwarder.Request, sink forwarder.Sink) *judge.Error {
	if err := g.refuseLate(); err != nil {
		g.Rejected(r.ID, err)
		return err
	}
	if r.Withdrawn(ctx) {
		err := judge.Judge(judge.Withdrawn{})
		g.Rejected(r.ID, err)
		return err
	}
	if err := g.Admit(ctx, r.Quota); err != nil {
		g.Rejected(r.ID, err)
		return err
	}
	g.requestsInProgress.Add(1)
	defer g.requestsInProgress.Add(-1)
	ctx, done := g.untilEnd(ctx)
	defer done()
	err := g.Forwarder.Forward(ctx, r, sink)
	if err != nil && err.Verdict == judge.NotRun {
		g.Refund(r.Quota)
	}
	g.recordResult(r, err)
	return err
}

// overloadRetryAfter is the minimum Retry-After of a refusal for want of a resource.
const overloadRetryAfter = 500 * time.Millisecond

// Overloaded returns the refusal of a request that has just been read, or nil if this instance bears it. New connections are
// turned away before: this is for requests on those that callers keep.
func (g *Gatekeeper) Overloaded() *judge.Error {
	requests := g.requestCount()
	if g.bound.Bears(requests) {
		return nil
	}
	limit, short := g.bound.Limit()
	return judge.Refuse(judge.ReasonOverload, "%d requests are in progress, and the instance bears %d, short of %s", requests, limit, short).WithRetryAfter(overloadRetryAfter + rand.N(overloadRetryAfter))
}

// requestCount returns the number of requests in progress, of callers and of other instances, including those that are about to
// be read.
func (g *Gatekeeper) requestCount() int { return g.callers.Busy() + int(g.servedDetours.Load()) }

// ReleasesConnections reports whether callers are to use other connections for their next requests: the instance is
// stopping, or has more requests than it bears.
func (g *Gatekeeper) ReleasesConnections() bool {
	return g.Stopping() || g.bound.Releases(g.requestCount())
}

// admitConnection reports whether a new connection of a caller is served. Its caller meets another instance otherwise.
func (g *Gatekeeper) admitConnection() bool { return g.bound.Admits(g.requestCount(), time.Now()) }

// listenerShut counts the time in which the callers' connections were refused.
func (g *Gatekeeper) listenerShut(d time.Duration) {
	g.Metrics.GetOrCreateFloatCounter("sardinetiller_not_listening_seconds_total").Add(d.Seconds())
}

// connectionRefused counts a connection that was reset unread.
func (g *Gatekeeper) connectionRefused() {
	g.Metrics.GetOrCreateCounter("sardinetiller_connections_refused_total").Inc()
}

// recordResult counts a request and records its duration.
func (g *Gatekeeper) recordResult(r *forwarder.Request, err *judge.Error) {
	label := fmt.Sprintf(`{service=%q}`, r.Service)
	g.Metrics.GetOrCreateHistogram("sardinetiller_request_seconds" + label).UpdateDuration(r.Arrived)
	if err == nil {
		g.Metrics.GetOrCreateCounter("sardinetiller_answers_total" + label).Inc()
		return
	}
	g.countRefused(err)
}

func (g *Gatekeeper) countRefused(err *judge.Error) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_refusals_total{reason=%q,verdict=%q}`, err.Reason, err.Verdict)).Inc()
}

// CountRetry counts a retried request by the error that caused the retry.
func (g *Gatekeeper) CountRetry(err *judge.Error) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_retries_total{reason=%q,verdict=%q}`, err.Reason, err.Verdict)).Inc()
}

// Rejected counts and logs a request that was refused before it was forwarded.
func (g *Gatekeeper) Rejected(id string, err *judge.Error) {
	g.countRefused(err)
	g.Recorder.Log(recorder.Failed, "request", id, "verdict", err.Verdict, "reason", err.Reason, "retry", err.RetryAfter, "err", err.Message)
}

// RetryBurst returns this instance's share of the retries that a service may make beyond its
// share of the requests.
func (g *Gatekeeper) RetryBurst() float64 {
	return g.Config.Bounds.Slack * burstFraction / float64(g.Members())
}

// burstFraction is the fraction of the allowed burst that is used: the number of members lags
// behind when one restarts.
const burstFraction = 0.7
