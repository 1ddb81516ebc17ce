package gatekeeper

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A source is an instance that publishes updates to others.
type source struct{ id, address string }

func sourceOf(lease elector.Lease) source { return source{id: lease.Leader, address: lease.Address} }

// A sourceSelection is the source from which this instance receives the updates of all domains:
// the leader of its own failure domain, or in its place the leader of another one. Its zero
// value is ready; it is safe for concurrent use.
type sourceSelection struct {
	mu         sync.Mutex
	last       source               // selected source
	since      time.Time            // when it was selected
	lastUpdate time.Time            // when its last update was received
	excluded   map[source]exclusion // sources that recently sent nothing

	lastRefuser   source    // source that refused last
	refusingSince time.Time // since when it has refused
}

// An exclusion is how often in a row an instance sent nothing, and until when it is excluded
// from the selection for that.
type exclusion struct {
	times int
	until time.Time
}

const (
	// excludeFor is how long an instance that sent nothing is excluded, and maxExclude how long
	// at most if that happens again and again: an instance that selects a stalled source
	// receives nothing until the missing updates are detected.
	excludeFor = time.Second
	maxExclude = 8 * time.Second
	// refusalGrace is how long a source that answers, but has nothing to publish yet, is
	// retried before another one is selected. It has just started and will be leader again, or
	// has just released its lease to an instance that will be; a snapshot from an instance of
	// another domain costs more than waiting.
	refusalGrace = 500 * time.Millisecond
)

// eligible reports whether an instance may be selected.
func (sel *sourceSelection) eligible(s source, now time.Time) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return !now.Before(sel.excluded[s].until)
}

// refused records that a source had nothing to publish.
func (sel *sourceSelection) refused(s source, now time.Time) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if sel.lastRefuser != s || now.Sub(sel.refusingSince) > excludeFor {
		sel.lastRefuser, sel.refusingSince = s, now
	}
	if now.Sub(sel.refusingSince) > refusalGrace {
		sel.exclude(s, now)
	}
}

// failed records that a source did not answer, or stopped sending.
func (sel *sourceSelection) failed(s source, now time.Time) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.exclude(s, now)
}

func (sel *sourceSelection) exclude(s source, now time.Time) {
	if sel.excluded == nil {
		sel.excluded = make(map[source]exclusion)
	}
	e := sel.excluded[s]
	e.until = now.Add(min(maxExclude, excludeFor<<min(e.times, 8)))
	e.times++
	sel.excluded[s] = e
}

// set selects a source, and reports whether it is another one than before.
func (sel *sourceSelection) set(s source, now time.Time) (changed bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if sel.last == s {
		return false
	}
	sel.last, sel.since, sel.lastUpdate = s, now, time.Time{}
	return true
}

// selected returns the selected source.
func (sel *sourceSelection) selected() (source, bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.last, sel.last != (source{})
}

// selectedAt returns when the source was selected.
func (sel *sourceSelection) selectedAt() time.Time {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.since
}

// received records an update of a source.
func (sel *sourceSelection) received(s source, now time.Time) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if sel.last == s {
		sel.lastUpdate = now
		delete(sel.excluded, s)
	}
}

// receiving reports whether a source is the selected one and sends updates.
func (sel *sourceSelection) receiving(s source) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.last == s && time.Since(sel.lastUpdate) <= updateTimeout
}

// currentSource returns the source for this instance, and selects another one if necessary. Leaders
// follow each other; every other instance follows the leader of its own domain. When that one
// is gone another leader takes its place, a different one for each instance: without that all
// instances of the domain polled the store several times a second, and followed each of the
// other leaders, until the domain had a leader again ten seconds later.
func (g *Gatekeeper) currentSource() (source, bool) {
	s := g.selectSource(time.Now())
	if g.source.set(s, time.Now()) {
		g.Recorder.Log(recorder.View, "msg", "source selected", "instance", s.id)
	}
	return s, s != (source{})
}

func (g *Gatekeeper) selectSource(now time.Time) source {
	if g.leadsAny() {
		return source{}
	}
	last, _ := g.source.selected()
	sending := g.source.receiving(last)
	for _, domain := range g.sourceDomains {
		l := g.links[domain]
		l.mu.Lock()
		s, sinceUpdate := sourceOf(l.leader), now.Sub(l.lastUpdate)
		l.mu.Unlock()
		switch {
		case s.id == "" || s.id == g.Config.ID || !g.source.eligible(s, now):
		case sending && s != last && sinceUpdate > updateTimeout:
			// The current source receives nothing from that leader. When it was
			// nevertheless tried every second, a leader that was stalled for seven seconds left its
			// instances without updates for half of that time.
		default:
			return s
		}
	}
	return source{}
}

// orderSourceDomains returns the failure domains in the order in which their leaders are
// considered as the source: this instance's own first, then the others, starting at a different
// one for each instance.
func (g *Gatekeeper) orderSourceDomains() []string {
	order := []string{g.Config.Domain}
	var others []string
	for _, domain := range g.domains() {
		if domain != g.Config.Domain {
			others = append(others, domain)
		}
	}
	if len(others) == 0 {
		return order
	}
	first := int(xxhash.Sum64String(g.Config.ID) % uint64(len(others)))
	order = append(order, others[first:]...)
	return append(order, others[:first]...)
}
