package gatekeeper

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// followSource subscribes to the source, which relays the leader's updates, until ctx ends.
func (l *link) followSource(ctx context.Context) {
	for ctx.Err() == nil {
		src, ok := l.gatekeeper.currentSource()
		switch {
		case !ok:
			pause(ctx, reconnectDelay)
		case !l.sourceAnswers(src):
			pause(ctx, sourcePollInterval)
		default:
			l.subscribe(ctx, src, func() bool {
				current, ok := l.gatekeeper.currentSource()
				return ok && current == src
			})
			pause(ctx, resubscribeDelay)
		}
	}
}

// sourceAnswers reports whether to request the domain from a source. The instance's own domain
// is requested first: if the source does not answer that, five more requests would go
// unanswered too.
func (l *link) sourceAnswers(src source) bool {
	own := l.gatekeeper.links[l.gatekeeper.Config.Domain]
	return l == own || l.gatekeeper.source.receiving(src)
}

// followLeader subscribes to the leader itself while nobody relays its updates, until ctx ends.
func (l *link) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		if leader, ok := l.directLeader(); ok {
			l.subscribe(ctx, leader, func() bool {
				current, ok := l.directLeader()
				return ok && current == leader
			})
		}
		pause(ctx, reconnectDelay)
	}
}

// directLeader returns the leader if it is to be followed directly: there is no source, or the
// source has received no update from the leader for a while.
func (l *link) directLeader() (source, bool) {
	_, hasSource := l.gatekeeper.currentSource()
	selectedAt := l.gatekeeper.source.selectedAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader.Leader == "" || l.leader.Leader == l.self() {
		return source{}, false
	}
	if hasSource && time.Since(laterOf(l.relayedAt, selectedAt)) <= l.relayTimeout {
		return source{}, false
	}
	return sourceOf(l.leader), true
}

// minRelayTimeout is how long an instance waits for its source to receive updates of a leader
// again, and relayTimeoutJitter the bound of a random time added to it. A failed leader reaches
// no relay either, and its successor soon reaches all of them; when all instances subscribed to
// the successor directly, it took a second to publish to each of 195 instances which
// adapters the runners hold.
const (
	minRelayTimeout    = 2 * time.Second
	relayTimeoutJitter = time.Second
)

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// subscribe applies the updates of a source until they stop arriving or follow returns false.
func (l *link) subscribe(ctx context.Context, from source, follow func() bool) {
	g := l.gatekeeper
	request := l.subscription(from)
	conversation, err := g.Peers.Open(ctx, from.address, request)
	if err != nil {
		g.source.failed(from, time.Now())
		return // it is retried, and the missing updates show that it failed
	}
	defer conversation.Close()
	if request.Crashes {
		g.quarantine.sourceStarted(from)
	}
	for follow() {
		bounded, cancel := context.WithTimeout(ctx, updateTimeout)
		message, err := conversation.Next(bounded)
		cancel()
		update, ok := message.(relayer.News)
		if err != nil || !ok {
			l.subscriptionEnded(from, err)
			return
		}
		update.From = from.id
		l.recordSource(from, update)
		l.apply(update)
		if l.needsResync() {
			return // a new subscription begins with a snapshot
		}
	}
}

// subscriptionEnded records that a subscription to a source has ended.
func (l *link) subscriptionEnded(from source, err error) {
	g := l.gatekeeper
	if hasReason(err, judge.ReasonOwner) || hasReason(err, judge.ReasonStarting) {
		g.source.refused(from, time.Now()) // its connection works
		return
	}
	g.source.failed(from, time.Now())
	g.Peers.CloseLink(from.address)
}

// hasReason reports whether an error is a refusal for a reason.
func hasReason(err error, reason judge.Reason) bool {
	var refused *judge.Error
	return errors.As(err, &refused) && refused.Reason == reason
}

// subscription returns what to request from an instance.
func (l *link) subscription(from source) relayer.Subscribe {
	g := l.gatekeeper
	s := relayer.Subscribe{Domain: l.domain, Relays: g.leadsAny()}
	src, hasSource := g.currentSource()
	// Crash reports are requested once from each source: they are the same for all domains.
	s.Crashes = !hasSource || src != from || l.domain == g.Config.Domain
	if hasSource && src == from && l.domain == g.Config.Domain {
		s.Tables = map[string]uint64{g.operator.name: g.operator.upTo(), g.leaders.name: g.leaders.upTo()}
	}
	return s
}

// recordSource records which instance sent an update of the domain.
func (l *link) recordSource(from source, update relayer.News) {
	g := l.gatekeeper
	g.quarantine.acknowledge(from, update.Crashes)
	g.applyCrashReports(update.Crashes, from.id)
	if src, ok := g.currentSource(); ok && src == from {
		g.source.received(from, time.Now())
	}
	if lacksLeaderState(update) {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if src, ok := g.source.selected(); ok && src == from {
		l.relayedAt = now.Add(-update.SinceLeaderUpdate)
	}
	if l.source == from {
		return
	}
	if l.source != (source{}) {
		l.previousSource, l.unsubscribeAt = l.source, now.Add(handoverOverlap)
	}
	l.source = from
	g.Recorder.Log(recorder.View, "msg", "source of domain changed", "domain", l.domain, "instance", from.id, "holder", l.leader.Leader)
}

// handoverOverlap is how long an instance also reports to its previous source after a change:
// its demand must have reached the leader through the new source before the old report is
// dropped, or the leader would evict copies in use.
const handoverOverlap = 500 * time.Millisecond

// reportTarget returns the instance to which demand is reported.
func (l *link) reportTarget() (source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source, l.source != (source{}) && time.Since(l.lastUpdate) <= updateTimeout
}

// reportToPrevious reports the demand to the previous source for a while, and then unsubscribes
// from it. Without that the leader would count each use twice until the previous source drops
// this instance's last report, as it does for a failed instance.
func (l *link) reportToPrevious(ctx context.Context) {
	previous, until, ok := l.previousTarget()
	if !ok {
		return
	}
	peers := l.gatekeeper.Peers
	if _, connected := peers.Linked(previous.address); !connected {
		return // it is unreachable, and would delay the reports to others
	}
	demand := relayer.Demand{Domain: l.domain, Unsubscribed: true}
	if time.Now().Before(until) {
		demand = demandOf(l.domain, l.totalDemand())
	}
	_ = peers.Send(ctx, previous.address, demand) // if this fails, the previous source drops this instance's last report after memberTimeout
}

// previousTarget returns the previous source, and until when this instance reports to it; ok is
// false if there is none or its time is over.
func (l *link) previousTarget() (previous source, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, until = l.previousSource, l.unsubscribeAt
	if previous == l.source || time.Now().After(until) {
		l.previousSource = source{}
	}
	return previous, until, previous != (source{}) && previous != l.source
}
