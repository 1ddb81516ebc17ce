package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A partitionDetector detects that a leader does not reach the runners of its domain while other
// instances do. Such a leader is cut off from the runners but not from the store, so its
// lease is renewed and no adapter is loaded until the network recovers, unless the leader
// steps down. Responses that other instances report from those runners prove that the
// runners are alive; if all of them are down, no other leader could do better.
type partitionDetector struct {
	unresponsiveSince  time.Time // since when most runners have been unresponsive
	respondedElsewhere time.Time // when another instance last reported a response of one
}

const (
	// partitionTimeout is how long most runners are unresponsive before the leader steps down. A
	// lost packet or a slow second is over by then. The next leader sends orders after the
	// quiet period, some four seconds later, so stepping down for a shorter fault costs more
	// than it saves; the faults observed last five seconds or more.
	partitionTimeout = 700 * time.Millisecond
	// stepDownBackoff is how long an instance that stepped down leaves the lease to others.
	stepDownBackoff = 10 * time.Second
	// responseMaxAge is how long a response reported by another instance proves that runners
	// are alive.
	responseMaxAge = time.Second
)

// observe records how many of the runners are unresponsive, and reports whether the leader is
// to step down.
func (p *partitionDetector) observe(unresponsiveRunners, runners int, now time.Time) bool {
	if 2*unresponsiveRunners <= runners {
		p.unresponsiveSince = time.Time{}
		return false
	}
	if p.unresponsiveSince.IsZero() {
		p.unresponsiveSince = now
	}
	return now.Sub(p.unresponsiveSince) >= partitionTimeout && now.Sub(p.respondedElsewhere) < responseMaxAge
}

// reportsResponse reports whether a member has reported a response of a runner.
func reportsResponse(demand relayer.Demand) bool {
	return len(demand.Hits)+demand.ShortGaps+demand.LongGaps > 0
}

// partitioned reports whether this instance is to step down because it does not reach the
// runners.
func (c *controller) partitioned(now time.Time) bool {
	count, runners := 0, 0
	for _, state := range c.runners {
		if state.placer == nil || c.gatekeeper.Fleet.Leaving(state.runner.ID) {
			continue
		}
		runners++
		if state.failures >= unresponsive || c.gatekeeper.Fleet.Detector.Partitioned(state.runner.Service) {
			count++
		}
	}
	return c.partition.observe(count, runners, now)
}

// stepDown steps down in favour of an instance that reaches what this one does not.
func (c *controller) stepDown(ctx context.Context, why string) {
	fence := c.elector.Row().Fence
	w, led := c.elector.StepDown(uptime(), stepDownBackoff)
	c.stopOrdering()
	c.releasedFence = fence
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "stepping down", "domain", c.domain, "fence", fence, "why", why)
	if led {
		go c.releaseRow(ctx, w)
	}
}

const (
	// maxRenewalAge is the age of the last successful renewal from which on the leader may be
	// cut off from the store: one renewal has failed by then, and the next one is due.
	maxRenewalAge = 3 * time.Second
	// cutOffTimeout is how long other leaders must have reached the store meanwhile before the
	// leader steps down. Without stepping down, the domain gets no orders from the end of the
	// lease until the next leader may send them, four seconds. After an outage for all
	// instances, one of them is the first to reach the store again; if the others stepped
	// down at that point, each domain would lose four seconds that a renewal a moment later
	// would have avoided.
	cutOffTimeout = 1500 * time.Millisecond
)

// cutOffFromStore reports whether this leader does not reach the store while other leaders do, as
// shown by the times of successful calls that they publish.
func (c *controller) cutOffFromStore(now time.Time) bool {
	_, age := c.elector.Renewal(uptime())
	reached, ok := c.gatekeeper.othersReachedStoreAt.get()
	if age < maxRenewalAge || !ok || now.Sub(reached) > cutOffTimeout {
		c.cutOffSince = time.Time{}
		return false
	}
	if c.cutOffSince.IsZero() {
		c.cutOffSince = now
	}
	return now.Sub(c.cutOffSince) >= cutOffTimeout
}
