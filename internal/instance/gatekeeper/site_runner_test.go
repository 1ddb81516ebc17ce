package gatekeeper

import (
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A siteRunner is a runner of a site.
type siteRunner struct {
	id     string
	domain string

	there     time.Time // since when its row has been there without a break; zero if it is not
	leaving   bool
	ended     bool
	left      time.Time // when the store accepted that it leaves; zero if it does not
	leftCalm  bool      // the store was well then
	beat      time.Time // of its next heartbeat
	ends      time.Time // when it ends; zero for not soon
	lapsed    time.Time // when its row was removed last although it lives
	revisions int
}

// register writes the row of a runner.
func (s *site) register(r *siteRunner) {
	value, err := encoder.Marshal(tracker.Runner{ID: r.id, Domain: r.domain, Service: "llm", Slots: 2, Leaving: r.leaving})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.put(tabler.Row{Key: "runners/" + r.id, Value: value})
	if r.there.IsZero() {
		r.there = time.Now()
	}
	r.revisions++
}

// drop removes the row of a runner.
func (s *site) drop(r *siteRunner) {
	s.store.put(tabler.Row{Key: "runners/" + r.id, Removed: true})
	r.there = time.Time{}
}

func (s *site) addRunner(domain string) {
	r := &siteRunner{id: fmt.Sprint("i-", len(s.runners)), domain: domain}
	s.runners = append(s.runners, r)
	s.register(r)
	r.beat = time.Now().Add(time.Duration(s.rng.Int64N(int64(siteBeat))))
}

// leave has a runner leave: it says so, or its row is removed without a word.
func (s *site) leave(r *siteRunner, silent bool) {
	r.left, r.leftCalm = time.Now(), s.calm(stableTime)
	if silent {
		r.ended = true
		s.drop(r)
		return
	}
	r.leaving = true
	r.ends = time.Now().Add(drainTime + time.Duration(s.rng.Int64N(int64(5*time.Second))))
	s.register(r)
}

const (
	// siteBeat is how often a runner writes its row.
	siteBeat = 1200 * time.Millisecond
	// stableTime is how long after any trouble promises with a bound in time hold again.
	stableTime = 3 * time.Second
)

// calm reports whether the store has been well for everybody for a time.
func (s *site) calm(span time.Duration) bool {
	return time.Since(s.troubled) >= span
}

// beats writes the rows that are due.
func (s *site) beats() {
	if s.store.down() {
		return
	}
	now := time.Now()
	for _, r := range s.runners {
		switch {
		case r.ended:
		case !r.ends.IsZero() && now.After(r.ends):
			r.ended = true
			s.drop(r)
		case !now.Before(r.beat):
			r.beat = now.Add(siteBeat)
			s.register(r)
		}
	}
}
