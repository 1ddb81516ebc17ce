package gatekeeper

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// listen follows the instance that passes the holder's word on, until ctx ends.
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

// passable reports whether an instance is to be asked to pass on the holder's word.
// It is asked about the own domain first: where it does not answer that, five more
// questions would meet the same silence.
func (l *link) passable(t source) bool {
	own := l.gatekeeper.links[l.gatekeeper.Config.Domain]
	return l == own || l.gatekeeper.choice.hears(t)
}

// listenDirect follows the holder itself as long as nobody passes its word on, until
// ctx ends.
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

// direct returns the holder if it is to be asked itself: nobody tells this instance,
// or whoever does has not heard of the holder for a while.
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

// passTrust is how long an instance leaves it to whoever tells it to hear a holder
// again, and passSpread how much longer, by chance. A holder that is gone is heard by
// nobody, and its successor soon by all who pass its words on; with everybody at its
// door at once, it took a second to tell each of 195 instances what its runners hold.
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

// subscribe takes in what an instance tells of the domain, until it falls silent or
// is not to be followed any more.
func (l *link) subscribe(ctx context.Context, from source, follow func() bool) {
	g := l.gatekeeper
	question := l.question(from)
	conversation, err := g.Peers.Open(ctx, from.address, question)
	if err != nil {
		g.choice.silent(from, time.Now())
		return // it is tried again, and silence shows in what follows from it
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
			return // a subscription begins with one
		}
	}
}

// ended takes in that an instance tells nothing more.
func (l *link) ended(from source, err error) {
	g := l.gatekeeper
	if is(err, judge.ReasonOwner) || is(err, judge.ReasonStarting) {
		g.choice.refused(from, time.Now()) // its link is sound
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

// question returns what an instance is asked to tell.
func (l *link) question(from source) relayer.Subscribe {
	g := l.gatekeeper
	s := relayer.Subscribe{Domain: l.domain, Passes: g.holdsAny()}
	t, telling := g.teller()
	// Once for each instance that tells: it tells the same beside every domain.
	s.Crashes = !telling || t != from || l.domain == g.Config.Domain
	if telling && t == from && l.domain == g.Config.Domain {
		s.Tables = map[string]uint64{g.operator.name: g.operator.upTo(), g.holders.name: g.holders.upTo()}
	}
	return s
}

// heardBy takes in who told of the domain.
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
	g.Recorder.Log(recorder.Belief, "msg", "told by", "domain", l.domain, "instance", from.id, "holder", l.holder.Holder)
}

// overlap is how long an instance goes on telling whom it told before: the word of
// whoever passes its needs on to the holder must have come there before this
// instance's own is void, or the holder would give up copies in use.
const overlap = 500 * time.Millisecond

// voice returns whom to tell what is needed.
func (l *link) voice() (source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.via, l.via != (source{}) && time.Since(l.heard) <= unheard
}

// part tells whom this instance told before what it needs, for a while, and then
// that it tells somebody else. Without that the holder would count each use twice,
// for as long as it counts an instance that has died.
func (l *link) part(ctx context.Context) {
	former, until, ok := l.parts()
	if !ok {
		return
	}
	peers := l.gatekeeper.Peers
	if _, linked := peers.Linked(former.address); !linked {
		return // it is not reached, and would hold up the word to others
	}
	word := relayer.Demand{Domain: l.domain, Parted: true}
	if time.Now().Before(until) {
		word = demandOf(l.domain, l.whole())
	}
	_ = peers.Tell(ctx, former.address, word) // it forgets this instance after its silence
}

// parts returns whom this instance told before, and until when it goes on with that;
// ok is false if there is none, or none any more.
func (l *link) parts() (former source, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former, until = l.former, l.parting
	if former == l.via || time.Now().After(until) {
		l.former = source{}
	}
	return former, until, former != (source{}) && former != l.via
}
