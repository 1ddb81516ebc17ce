package forwarder

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

const (
	// prefillGapFraction is the part of the longest pause between events that a runner
	// may spend on prompts: it reads them between the tokens of its runs, and an
	// event is several tokens, which take the rest. On the calm day of the
	// Association, pauses beyond made 207 of 1,900 answers late without it.
	prefillGapFraction = 0.75
	// pollInterval is how often a request that waits for its adapter looks whether it
	// is there: small beside the time of a load.
	pollInterval = 10 * time.Millisecond
	// adapterWaitDivisor is the part of the time that a caller has that its request
	// may wait for an adapter. What is left is enough to come back once. A request
	// whose adapter is expected later is refused at once: waiting in the hope that
	// others leave the line kept places busy for answers that came late, and cost
	// two answers in time of 100 on runners with five places.
	adapterWaitDivisor = 3
	// maxFullRunners is how many more runners are asked for room after one has
	// none: a much wanted adapter has several copies, and may get one more.
	maxFullRunners = 2
	// minCallerTimeout, giveUpGoals and giveUpGaps say when callers of streams give
	// up that have seen nothing: after the longest of that time, so many goals,
	// and so many of the pauses that are allowed. stayPart is the part of it
	// after which a request that still waits is told to come back instead.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	streamWaitFraction   = 0.8
	// admitFraction is the part of the goal that the wait for the first token may
	// take as far as it can be foreseen. Beyond it the request would be late and
	// would make those after it late as well.
	admitFraction = 0.9
	// admitPriorityStep is how much less a less urgent request may wait, as a part of
	// the goal for each step of priority.
	admitPriorityStep = 0.1
)

func (p *exchange) adapterWaitLimit() time.Duration {
	route := p.request.Route
	limit := p.request.Deadline.Sub(p.request.Arrived) / adapterWaitDivisor
	if route.Kind != matcher.Streaming {
		return limit
	}
	return min(limit, time.Duration(streamWaitFraction*float64(p.callerTimeout())))
}

// callerTimeout returns how long callers of a stream wait without seeing anything.
func (p *exchange) callerTimeout() time.Duration {
	route := p.request.Route
	return max(minCallerTimeout, callerTimeoutTargets*route.Goal, callerTimeoutGaps*route.Gap)
}
