package gatekeeper

import (
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A siteRunner is a runner of a simulated deployment.
type siteRunner struct {
	id     string
	domain string

	there     time.Time // since when its row has existed without interruption; zero if it does not exist
	leaving   bool
	ended     bool
	left      time.Time // when the store accepted that it drains or its row was removed; zero if neither
	leftCalm  bool      // the store had been available to everybody for stableTime then
	beat      time.Time // time of its next heartbeat
	ends      time.Time // when it ends; zero if no end is set
	lapsed    time.Time // when its row last expired although it is alive
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

// leave makes a runner drain, or removes its row without that.
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
	// siteBeat is the heartbeat interval of runners.
	siteBeat = 1200 * time.Millisecond
	// stableTime is the time after a fault from which on deadlines hold again.
	stableTime = 3 * time.Second
)

// calm reports whether the store has been available to everybody for a time.
func (s *site) calm(span time.Duration) bool {
	return time.Since(s.troubled) >= span
}

// beats writes the rows whose heartbeats are due.
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
