package gatekeeper

import (
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A simRunner is a runner of a simulated deployment.
type simRunner struct {
	id     string
	domain string

	rowSince             time.Time // since when its row has existed without interruption; zero if it does not exist
	leaving              bool
	ended                bool
	drainedAt            time.Time // when the store accepted that it drains or its row was removed; zero if neither
	drainedWithoutFaults bool      // the store had been available to all instances for stableTime then
	nextHeartbeat        time.Time // time of its next heartbeat
	endsAt               time.Time // when it ends; zero if no end is set
	expiredAt            time.Time // when its row last expired although it is alive
	revisions            int
}

// register writes the row of a runner.
func (s *simulation) register(r *simRunner) {
	value, err := encoder.Marshal(tracker.Runner{ID: r.id, Domain: r.domain, Service: "llm", Slots: 2, Leaving: r.leaving})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.put(tabler.Row{Key: "runners/" + r.id, Value: value})
	if r.rowSince.IsZero() {
		r.rowSince = time.Now()
	}
	r.revisions++
}

// removeRow removes the row of a runner.
func (s *simulation) removeRow(r *simRunner) {
	s.store.put(tabler.Row{Key: "runners/" + r.id, Deleted: true})
	r.rowSince = time.Time{}
}

func (s *simulation) addRunner(domain string) {
	r := &simRunner{id: fmt.Sprint("i-", len(s.runners)), domain: domain}
	s.runners = append(s.runners, r)
	s.register(r)
	r.nextHeartbeat = time.Now().Add(time.Duration(s.rng.Int64N(int64(heartbeatInterval))))
}

// stopRunner makes a runner drain, or removes its row without that.
func (s *simulation) stopRunner(r *simRunner, abrupt bool) {
	r.drainedAt, r.drainedWithoutFaults = time.Now(), s.faultFreeFor(stableTime)
	if abrupt {
		r.ended = true
		s.removeRow(r)
		return
	}
	r.leaving = true
	r.endsAt = time.Now().Add(drainDeadline + time.Duration(s.rng.Int64N(int64(5*time.Second))))
	s.register(r)
}

const (
	// heartbeatInterval is the heartbeat interval of runners.
	heartbeatInterval = 1200 * time.Millisecond
	// stableTime is the time after a fault from which on deadlines hold again.
	stableTime = 3 * time.Second
)

// faultFreeFor reports whether the store has been available to all instances for a time.
func (s *simulation) faultFreeFor(span time.Duration) bool {
	return time.Since(s.lastFault) >= span
}

// writeHeartbeats writes the rows whose heartbeats are due.
func (s *simulation) writeHeartbeats() {
	if s.store.down() {
		return
	}
	now := time.Now()
	for _, r := range s.runners {
		switch {
		case r.ended:
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			r.ended = true
			s.removeRow(r)
		case !now.Before(r.nextHeartbeat):
			r.nextHeartbeat = now.Add(heartbeatInterval)
			s.register(r)
		}
	}
}
