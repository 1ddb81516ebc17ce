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
func (l *link) listen(ctx context.Context) {
	for ctx.Err() == nil {
		t, ok := l.gatekeeper.teller()
		switch {
		case !ok:
			pause(ctx, redial)
		case !l.passable(t):
			pause(ctx, relook)
		default:
			l.subscribe(ctx, t, func() bool {
				now, ok := l.gatekeeper.teller()
				return ok && now == t
			})
			pause(ctx, reask)
		}
	}
}

// sourceAnswers reports whether to request the domain from a source. The instance's own domain
// is requested first: if the source does not answer that, five more requests would go
// unanswered too.
func (l *link) passable(t source) bool {
	own := l.gatekeeper.links[l.gatekeeper.Config.Domain]
	return l == own || l.gatekeeper.choice.hears(t)
}

// followLeader subscribes to the leader itself while nobody relays its updates, until ctx ends.
func (l *link) listenDirect(ctx context.Context) {
	for ctx.Err() == nil {
		if holder, ok := l.direct(); ok {
			l.subscribe(ctx, holder, func() bool {
				now, ok := l.direct()
				return ok && now == holder
			})
		}
		pause(ctx, redial)
	}
}

// directLeader returns the leader if it is to be followed directly: there is no source, or the
// source has received no update from the leader for a while.
func (l *link) direct() (source, bool) {
	_, telling := l.gatekeeper.teller()
	chosen := l.gatekeeper.choice.began()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder.Holder == "" || l.holder.Holder == l.self() {
		return source{}, false
	}
	if telling && time.Since(later(l.passed, chosen)) <= l.trust {
		return source{}, false
	}
	return sourceOf(l.holder), true
}

// minRelayTimeout is how long an instance waits for its source to receive updates of a leader
// again, and relayTimeoutJitter the bound of a random time added to it. A failed leader reaches
// no relay either, and its successor soon reaches all of them; when all instances subscribed to
// the successor directly, it took a second to tell each of 195 instances what its runners hold.
const (
	passTrust  = 2 * time.Second
	passSpread = time.Second
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// subscribe applies the updates of a source until they stop arriving or follow returns false.
func (l *link) subscribe(ctx context.Context, from source, follow func() bool) {
	g := l.gatekeeper
	question := l.question(from)
	conversation, err := g.Peers.Open(ctx, from.address, question)
	if err != nil {
		g.choice.silent(from, time.Now())
		return // it is retried, and the missing updates show that it failed
	}
	defer conversation.Close()
	if question.Crashes {
		g.quarantine.begun(from)
	}
	for follow() {
		bounded, cancel := context.WithTimeout(ctx, unheard)
		message, err := conversation.Next(bounded)
		cancel()
		news, ok := message.(relayer.News)
		if err != nil || !ok {
			l.ended(from, err)
			return
		}
		news.From = from.id
		l.heardBy(from, news)
		l.take(news)
		if l.needsResync() {
			return // a new subscription begins with a snapshot
		}
	}
}

// ended records that a subscription to a source has ended.
func (l *link) ended(from source, err error) {
	g := l.gatekeeper
	if is(err, judge.ReasonOwner) || is(err, judge.ReasonStarting) {
		g.choice.refused(from, time.Now()) // its connection works
		return
	}
	g.choice.silent(from, time.Now())
	g.Peers.Cut(from.address)
}

// is reports whether an error is a refusal for a reason.
func is(err error, reason judge.Reason) bool {
	var refused *judge.Error
	return errors.As(err, &refused) && refused.Reason == reason
}

// subscription returns what to request from an instance.
func (l *link) question(from source) relayer.Subscribe {
	g := l.gatekeeper
	s := relayer.Subscribe{Domain: l.domain, Passes: g.holdsAny()}
	t, telling := g.teller()
	// Crash reports are requested once from each source: they are the same for all domains.
	s.Crashes = !telling || t != from || l.domain == g.Config.Domain
	if telling && t == from && l.domain == g.Config.Domain {
		s.Tables = map[string]uint64{g.operator.name: g.operator.upTo(), g.holders.name: g.holders.upTo()}
	}
	return s
}

// recordSource records which instance sent an update of the domain.
func (l *link) heardBy(from source, n relayer.News) {
	g := l.gatekeeper
	g.quarantine.toldBack(from, n.Crashes)
	g.hearWords(n.Crashes, from.id)
	if t, ok := g.teller(); ok && t == from {
		g.choice.heard(from, time.Now())
	}
	if mute(n) {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := g.choice.now(); ok && t == from {
		l.passed = now.Add(-n.Silence)
	}
	if l.via == from {
		return
	}
	if l.via != (source{}) {
		l.former, l.parting = l.via, now.Add(overlap)
	}
	l.via = from
	g.Recorder.Log(recorder.Belief, "msg", "source of domain changed", "domain", l.domain, "instance", from.id, "holder", l.holder.Holder)
}

// overlap is how long an instance also reports to its previous source after a change: its
// demand must have reached the leader through the new source before the old report is dropped,
// or the leader would evict copies in use.
const overlap = 500 * time.Millisecond

// reportTarget returns the instance to which demand is reported.
func (l *link) voice() (source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.via, l.via != (source{}) && time.Since(l.heard) <= unheard
}

// reportToPrevious reports the demand to the previous source for a while, and then unsubscribes
// from it. Without that the leader would count each use twice, for as long as it counts a
// failed instance.
func (l *link) part(ctx context.Context) {
	former, until, ok := l.parts()
	if !ok {
		return
	}
	peers := l.gatekeeper.Peers
	if _, linked := peers.Linked(former.address); !linked {
		return // it is unreachable, and would delay the reports to others
	}
	word := relayer.Demand{Domain: l.domain, Parted: true}
	if time.Now().Before(until) {
		word = demandOf(l.domain, l.whole())
	}
	_ = peers.Tell(ctx, former.address, word) // it drops this instance's report after a while without one
}

// previousTarget returns the previous source, and until when this instance reports to it; ok is
// false if there is none or its time is over.
func (l *link) parts() (former source, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former, until = l.former, l.parting
	if former == l.via || time.Now().After(until) {
		l.former = source{}
	}
	return former, until, former != (source{}) && former != l.via
}
