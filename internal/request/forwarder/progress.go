package forwarder

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// A progress is how far the response to a request has come at its caller. All limits on admission and
// waiting derive from it.
type progress string

const (
	progressNew     progress = "new"      // no runner has had the request
	progressSent    progress = "sent"     // a runner has had it; its caller has nothing yet
	progressTakenUp progress = "taken_up" // its caller takes up a stream, and has events of an earlier attempt
	progressStarted progress = "started"  // its caller has a part of this response, which a failure cuts off
)

// progress returns the progress of the request. A request that came over a detour carries it on: LastEventID
// and Resumed are set by the instance that sent it.
func (x *exchange) progress() progress {
	switch {
	case x.response.started() || x.request.Resumed:
		return progressStarted
	case x.request.takesUpStream():
		return progressTakenUp
	case x.delivered > 0:
		return progressSent
	default:
		return progressNew
	}
}

// takesUpStream reports whether the caller states that it has received events of the stream before. That
// cannot be verified here: the instance that sent them may be gone.
func (r *Request) takesUpStream() bool {
	return r.LastEventID > 0 && r.Route.Kind == matcher.Streaming && r.Route.Resumable
}

// streamStarted reports whether the caller has received a part of the response, which a failure
// would cut off.
func (x *exchange) streamStarted() bool { return x.progress() == progressStarted }

// awaitsNextEvent reports whether the caller has events of the stream and waits for the next one, so that the
// latency target of the first one does not apply.
func (x *exchange) awaitsNextEvent() bool {
	progress := x.progress()
	return progress == progressTakenUp || progress == progressStarted
}

// patience returns how long after its arrival the request may be served: until its first event would be late,
// or, where the caller waits for the next event of a stream, until the caller is expected to disconnect.
func (x *exchange) patience() time.Duration {
	if x.progress() == progressTakenUp {
		return x.callerTimeout()
	}
	return x.request.Route.LatencyTarget
}

// queueLimit returns how much queued work may be ahead of the request when it is admitted.
func (x *exchange) queueLimit() time.Duration { return x.admitLimit(x.patience()) }

// admitLimit returns the part of a time that queued work may take before the request is admitted.
func (x *exchange) admitLimit(within time.Duration) time.Duration {
	fraction := admitFraction - admitPriorityStep*float64(min(x.request.Priority, 5))
	return time.Duration(fraction * float64(within))
}

// exceedsQueueLimit reports whether the queued work at a runner takes too long for the request. One that a
// runner has had already is served late rather than refused.
func (x *exchange) exceedsQueueLimit(queue time.Duration, now time.Time) bool {
	switch x.progress() {
	case progressNew:
		return queue > x.queueLimit()
	case progressTakenUp:
		return queue > x.queueLimit()-now.Sub(x.request.Arrived)
	default:
		return false
	}
}

// prefillLimits returns the time within which the prompt has to be prefilled for the response to be on time, and
// by how much a runner may exceed it, in the share of its time that it grants streams which are taken up.
func (x *exchange) prefillLimits(now time.Time) (timeout, extension time.Duration) {
	spent := now.Sub(x.request.Arrived) + x.Fleet.BaseLatency(x.request.Service)
	left := x.queueLimit() - spent
	switch x.progress() {
	case progressTakenUp:
		timeout = min(left, x.admitLimit(x.request.Route.LatencyTarget))
		return timeout, left - timeout
	case progressNew:
		// One that waited for its adapter until less than half of the limit is left gets the full limit: it is
		// served late rather than refused, as the adapter is resident now.
		if x.adapterWait == 0 || left >= x.queueLimit()/2 {
			return left, 0
		}
	case progressSent, progressStarted:
	}
	return x.queueLimit() - x.queued, 0
}

// adapterWaitLeft returns how much longer the request may wait for its adapter. A stream may wait for as
// long as its caller and its deadline allow: a refusal would cut it off.
func (x *exchange) adapterWaitLeft(end, now time.Time) time.Duration {
	if x.awaitsNextEvent() {
		return min(end.Sub(now), x.eventWaitLimit())
	}
	return x.adapterWaitLimit() - now.Sub(x.request.Arrived)
}

// eventWaitLimit returns how much longer a stream whose caller waits for the next event may wait before it is
// sent to a runner.
func (x *exchange) eventWaitLimit() time.Duration {
	last := x.lastEventAt
	if last.IsZero() {
		last = x.request.LastEventAt
	}
	if last.IsZero() {
		last = x.request.Arrived
	}
	return time.Duration(streamWaitFraction*float64(x.callerTimeout())) - time.Since(last)
}
