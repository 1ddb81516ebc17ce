package forwarder

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

const (
	// prefillGapFraction is the fraction of the maximum gap between events that a runner
	// may spend on prefill. Prefill takes place between the tokens of the running requests,
	// and an event consists of several tokens, which need the rest. Without this limit,
	// gaps beyond the maximum made 207 of 1,900 responses late in the Association's
	// calm-day workload.
	prefillGapFraction = 0.75
	// pollInterval is how often a request that waits for its adapter checks whether the
	// adapter is resident. It is short compared with a load.
	pollInterval = 10 * time.Millisecond
	// adapterWaitDivisor divides the time from a request's arrival to its deadline: it may
	// wait for an adapter for one third of that time, which leaves time for one retry. A
	// request whose adapter is expected later is refused immediately: letting it wait in
	// case others leave the load queue kept adapter slots busy for late responses; with it,
	// 2 fewer responses in 100 were in time on runners with five slots.
	adapterWaitDivisor = 3
	// maxFullRunners is how many further runners are asked after one without capacity: a
	// popular adapter has several copies and may get one more.
	maxFullRunners = 2
	// minCallerTimeout, callerTimeoutTargets and callerTimeoutGaps estimate when callers of
	// streams that receive nothing disconnect, before the first event or after any other: after
	// the longest of the minimum, that many latency targets, and that many maximum gaps.
	// streamWaitFraction is the fraction of this time for which a request may wait before it is
	// sent to a runner.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	streamWaitFraction   = 0.8
	// admitFraction is the fraction of the latency target that the predicted wait for the
	// first token may take. Beyond it the response would be late and would delay the
	// requests behind it as well.
	admitFraction = 0.9
	// admitPriorityStep is how much less a request may wait for each step of lower
	// priority, as a fraction of the latency target.
	admitPriorityStep = 0.1
)

func (x *exchange) adapterWaitLimit() time.Duration {
	route := x.request.Route
	limit := x.request.Deadline.Sub(x.request.Arrived) / adapterWaitDivisor
	if route.Kind != matcher.Streaming {
		return limit
	}
	return min(limit, time.Duration(streamWaitFraction*float64(x.callerTimeout())))
}

// callerTimeout returns how long callers of a stream are expected to wait without receiving
// anything.
func (x *exchange) callerTimeout() time.Duration {
	route := x.request.Route
	return max(minCallerTimeout, callerTimeoutTargets*route.LatencyTarget, callerTimeoutGaps*route.MaxGap)
}
