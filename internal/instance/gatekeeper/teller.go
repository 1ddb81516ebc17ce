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

func sourceOf(t elector.Tenure) source { return source{id: t.Holder, address: t.Address} }

// A sourceSelection is the source from which this instance receives the updates of all domains:
// the leader of its own failure domain, or in its place the leader of another one. Its zero
// value is ready; it is safe for concurrent use.
type choice struct {
	mu    sync.Mutex
	last  source               // selected source
	since time.Time            // when it was selected
	word  time.Time            // when its last update was received
	unfit map[source]exclusion // sources that recently sent nothing

	refuser  source    // source that refused last
	refusing time.Time // since when it has refused
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
	// receives nothing until the silence is detected.
	unfitFor  = time.Second
	mostUnfit = 8 * time.Second
	// refusalGrace is how long a source that answers, but has nothing to publish yet, is
	// retried before another one is selected. It has just started and will be leader again, or
	// has just released its lease to an instance that will be; a snapshot from an instance of
	// another domain costs more than waiting.
	lingerFor = 500 * time.Millisecond
)

// eligible reports whether an instance may be selected.
func (c *choice) fit(s source, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.unfit[s].until)
}

// refused records that a source had nothing to publish.
func (c *choice) refused(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuser != s || now.Sub(c.refusing) > unfitFor {
		c.refuser, c.refusing = s, now
	}
	if now.Sub(c.refusing) > lingerFor {
		c.passOver(s, now)
	}
}

// failed records that a source did not answer, or stopped sending.
func (c *choice) silent(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passOver(s, now)
}

func (c *choice) passOver(s source, now time.Time) {
	if c.unfit == nil {
		c.unfit = make(map[source]exclusion)
	}
	l := c.unfit[s]
	l.until = now.Add(min(mostUnfit, unfitFor<<min(l.times, 8)))
	l.times++
	c.unfit[s] = l
}

// set selects a source, and reports whether it is another one than before.
func (c *choice) set(s source, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		return false
	}
	c.last, c.since, c.word = s, now, time.Time{}
	return true
}

// selected returns the selected source.
func (c *choice) now() (source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.last != (source{})
}

// selectedAt returns when the source was selected.
func (c *choice) began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// received records an update of a source.
func (c *choice) heard(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		c.word = now
		delete(c.unfit, s)
	}
}

// receiving reports whether a source is the selected one and sends updates.
func (c *choice) hears(s source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last == s && time.Since(c.word) <= unheard
}

// teller returns the source for this instance, and selects another one if necessary. Leaders
// follow each other; every other instance follows the leader of its own domain. When that one
// is gone another leader takes its place, a different one for each instance: without that all
// instances of the domain polled the store several times a second, and followed each of the
// other leaders, until the domain had a leader again ten seconds later.
func (g *Gatekeeper) teller() (source, bool) {
	s := g.fittest(time.Now())
	if g.choice.set(s, time.Now()) {
		g.Recorder.Log(recorder.Belief, "msg", "source selected", "instance", s.id)
	}
	return s, s != (source{})
}

func (g *Gatekeeper) fittest(now time.Time) source {
	if g.holdsAny() {
		return source{}
	}
	last, _ := g.choice.now()
	telling := g.choice.hears(last)
	for _, domain := range g.nearest {
		l := g.links[domain]
		l.mu.Lock()
		s, silence := sourceOf(l.holder), now.Sub(l.heard)
		l.mu.Unlock()
		switch {
		case s.id == "" || s.id == g.Config.ID || !g.choice.fit(s, now):
		case telling && s != last && silence > unheard:
			// The current source receives nothing from that leader. When it was tried all the
			// same every second, a leader that was stalled for seven seconds left its instances
			// without updates for half of them.
		default:
			return s
		}
	}
	return source{}
}

// sourceDomains returns the failure domains in the order in which their leaders are considered
// as the source: this instance's own first, then the others, starting at a different one for
// each instance.
func (g *Gatekeeper) nearestDomains() []string {
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
