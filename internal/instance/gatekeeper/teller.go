package gatekeeper

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A source is an instance that tells others what changes.
type source struct{ id, address string }

func sourceOf(t elector.Tenure) source { return source{id: t.Holder, address: t.Address} }

// A choice is who tells this instance what changes anywhere: the holder of its own
// failure domain's tenure, or in its place that of another one. Its zero value is
// ready; it is safe for concurrent use.
type choice struct {
	mu    sync.Mutex
	last  source               // who was chosen last
	since time.Time            // when it was
	word  time.Time            // its last word
	unfit map[source]exclusion // those that told nothing

	refuser  source    // who had nothing to tell last
	refusing time.Time // since when
}

// An exclusion is how often in a row an instance told nothing, and until when it is passed
// over for that.
type exclusion struct {
	times int
	until time.Time
}

const (
	// unfitFor is how long an instance that told nothing is passed over, and mostUnfit
	// how long if it did so again and again: whoever asks one that stands still is told
	// nothing until its silence shows.
	unfitFor  = time.Second
	mostUnfit = 8 * time.Second
	// lingerFor is how long one that answers, but has nothing to tell yet, is asked
	// again before another one takes its place. It has just started and will hold its
	// tenure again, or has just given it up to an instance that will; to be told
	// everything anew by an instance of another domain costs more than to wait.
	lingerFor = 500 * time.Millisecond
)

// fit reports whether an instance may be chosen.
func (c *choice) fit(s source, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.unfit[s].until)
}

// refused takes in that an instance had nothing to tell.
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

// silent takes in that an instance did not answer, or fell silent.
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

// set takes in the choice; it reports whether it is another one than before.
func (c *choice) set(s source, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		return false
	}
	c.last, c.since, c.word = s, now, time.Time{}
	return true
}

// now returns who was chosen last.
func (c *choice) now() (source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.last != (source{})
}

// began returns when the choice was made.
func (c *choice) began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// heard takes in a word of an instance.
func (c *choice) heard(s source, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == s {
		c.word = now
		delete(c.unfit, s)
	}
}

// hears reports whether an instance that was chosen tells.
func (c *choice) hears(s source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last == s && time.Since(c.word) <= unheard
}

// teller returns the instance that is to tell this one what changes anywhere. Holders
// tell each other; everybody else is told by the holder of its own domain. When that
// one is gone another takes its place, a different one for each instance: without it
// all instances of the domain asked the store several times a second, and followed
// each of the other holders, until the tenure was held again ten seconds later.
func (g *Gatekeeper) teller() (source, bool) {
	s := g.fittest(time.Now())
	if g.choice.set(s, time.Now()) {
		g.Recorder.Log(recorder.Belief, "msg", "teller", "instance", s.id)
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
			// Whoever tells now does not hear that holder. Tried all the same every second,
			// one that stood still for seven left its instances untold for half of them.
		default:
			return s
		}
	}
	return source{}
}

// nearestDomains returns the failure domains in the order in which their holders are
// asked to tell this instance: its own first, then the others, from a different one
// on for each instance.
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
