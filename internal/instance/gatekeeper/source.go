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
func (c *sourceSelection) eligible(s source, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.excluded[s].until)
}

// refused records that a source had nothing to publish.
func (c *sourceSelection) refused(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRefuser != s || now.Sub(c.refusingSince) > excludeFor {
		c.lastRefuser, c.refusingSince = s, now
	}
	if now.Sub(c.refusingSince) > refusalGrace {
		c.exclude(s, now)
	}
}

// failed records that a source did not answer, or stopped sending.
func (c *sourceSelection) failed(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exclude(s, now)
}

func (c *sourceSelection) exclude(s source, now time.Time) {
	if c.excluded == nil {
		c.excluded = make(map[source]exclusion)
	}
	l := c.excluded[s]
	l.until = now.Add(min(maxExclude, excludeFor<<min(l.times, 8)))
	l.times++
	c.excluded[s] = l
}

// set selects a source, and reports whether it is another one than before.
func (c *sourceSelection) set(s source, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		return false
	}
	c.last, c.since, c.lastUpdate = s, now, time.Time{}
	return true
}

// selected returns the selected source.
func (c *sourceSelection) selected() (source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.last != (source{})
}

// selectedAt returns when the source was selected.
func (c *sourceSelection) selectedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// received records an update of a source.
func (c *sourceSelection) received(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		c.lastUpdate = now
		delete(c.excluded, s)
	}
}

// receiving reports whether a source is the selected one and sends updates.
func (c *sourceSelection) receiving(s source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last == s && time.Since(c.lastUpdate) <= updateTimeout
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
