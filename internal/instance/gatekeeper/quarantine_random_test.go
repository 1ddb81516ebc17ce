package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// restart restarts an instance without state after a delay.
func (s *crashSimulation) restart(m *simMember, now time.Time, after time.Duration) {
	s.start(m)
	m.downUntil = now.Add(after)
	m.lastFault = m.downUntil
}

// injectFault injects a random fault.
func (s *crashSimulation) injectFault(now time.Time) {
	m := s.members[s.rng.IntN(len(s.members))]
	if s.rng.IntN(3) == 0 {
		m = s.leaders[s.domains[s.rng.IntN(len(s.domains))]]
	}
	until := now.Add(time.Duration(s.rng.Int64N(int64(4 * time.Second))))
	switch s.rng.IntN(14) {
	case 0, 1, 2:
		s.restart(m, now, time.Second)
	case 3, 4:
		m.pausedUntil = until
	case 5:
		m.isolatedUntil = until.Add(4 * time.Second)
		return
	case 6:
		m.rejectedUntil = until
	case 7, 8:
		s.partitionedUntil[s.domains[s.rng.IntN(len(s.domains))]] = until.Add(4 * time.Second)
		return // the limit still applies to instances that reach the store
	case 9:
		s.storeDownUntil, s.lastStoreOutage = until, until
	case 10: // reports get lost unnoticed
		s.lossyUntil = now.Add(min(until.Sub(now), 2*time.Second))
		return
	case 11: // no instance reaches another one, and all reach the store
		for _, m := range s.members {
			m.isolatedUntil = until.Add(4 * time.Second)
		}
		return
	case 12: // all restart while the store is up
		if now.Before(s.storeDownUntil) || s.hasUnstoredCrash() {
			return
		}
		for _, m := range s.members {
			s.restart(m, now, time.Second)
		}
	}
	m.lastFault = laterOf(m.lastFault, until)
}

// hasUnstoredCrash reports whether a crash of a culprit is not stored yet: it would be lost if all
// instances restarted now.
func (s *crashSimulation) hasUnstoredCrash() bool {
	stored := make(map[quarantiner.Digest]int)
	for _, r := range s.rows {
		if c, ok := parseCrashKey(r.Key); ok && !r.Deleted {
			stored[c.Digest]++
		}
	}
	for _, c := range s.culprits {
		if stored[c.digest] < min(len(c.crashes), 3) {
			return true
		}
	}
	return false
}

// countsTowardLimit reports whether requests that an instance sends now count toward the limit
// on late requests: neither it nor the store has had a fault recently.
func (s *crashSimulation) countsTowardLimit(m *simMember, now time.Time) bool {
	const stable = 3 * time.Second
	return m.running(now) && now.Sub(m.lastFault) >= stable && now.Sub(s.lastStoreOutage) >= stable
}

// send has an instance send a request that crashes its runner while other requests run there.
func (s *crashSimulation) send(c *simCulprit, now time.Time) {
	m := s.members[s.rng.IntN(len(s.members))]
	if !m.running(now) {
		return
	}
	if _, held := m.g.Quarantined(c.digest); held {
		return
	}
	if len(c.crashes) >= 3 && now.Sub(c.crashes[2]) > 3*time.Second && s.countsTowardLimit(m, now) {
		c.lateRequests++
	}
	r := simRequest{ends: now.Add(simRunTime + simCheckTime), member: m, runner: fmt.Sprint("i-", len(s.inFlight), "-", now.UnixNano()), culprit: c, digest: c.digest, ran: simRunTime}
	for range s.rng.IntN(6) {
		r.concurrent = append(r.concurrent, simRequest{member: s.members[s.rng.IntN(len(s.members))], runner: r.runner, digest: quarantiner.Digest(fmt.Sprint("beside-", s.rng.IntN(40))), ran: time.Duration(s.rng.Int64N(int64(2 * time.Second)))})
	}
	s.inFlight = append(s.inFlight, r)
}

// reportCrashes reports the crashes that are due to the instances.
func (s *crashSimulation) reportCrashes(now time.Time) {
	requests := s.inFlight
	s.inFlight = nil
	for _, r := range requests {
		if now.Before(r.ends) {
			s.inFlight = append(s.inFlight, r)
			continue
		}
		r.culprit.crashes = append(r.culprit.crashes, r.ends.Add(-simCheckTime))
		for _, affected := range append(r.concurrent, r) {
			if !now.Before(affected.member.downUntil) {
				affected.member.pending = append(affected.member.pending, affected)
			}
		}
	}
}

func (s *crashSimulation) run(faults bool) {
	for n := range 3 {
		s.culprits = append(s.culprits, &simCulprit{
			digest: quarantiner.Digest(fmt.Sprint("culprit-", n)), next: time.Now().Add(time.Duration(s.rng.Int64N(int64(simSpan / 2)))),
			interval: 60*time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Second))),
		})
	}
	faultInterval := 10 + s.rng.IntN(100) // steps between two faults
	for end := time.Now().Add(simSpan); time.Now().Before(end); time.Sleep(simStep) {
		now := time.Now()
		if faults && s.rng.IntN(faultInterval) == 0 {
			s.injectFault(now)
		}
		for _, c := range s.culprits {
			for !now.Before(c.next) {
				s.send(c, now)
				c.next = c.next.Add(time.Duration(s.rng.Int64N(int64(2 * c.interval))))
			}
		}
		s.reportCrashes(now)
		s.step(now)
	}
}

// simSizes holds the numbers of instances to simulate.
var simSizes = []int{3, 4, 9, 9, 12, 24, 60, 9, 20, 9}

// runCrashSimulation runs one simulation. It returns the largest number of late requests and of
// crashes that one culprit caused.
func runCrashSimulation(t *testing.T, seed uint64, disabled safeguard) (late, crashes int) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 28))
		members := simSizes[seed%uint64(len(simSizes))]
		if seed%100 == 99 {
			members = 300
		}
		s := newCrashSimulation(rng, members, disabled)
		s.run(seed%5 != 0)
		for _, c := range s.culprits {
			late, crashes = max(late, c.lateRequests), max(crashes, len(c.crashes))
		}
	})
	return late, crashes
}

// Guards against requests that go on crashing runners. Each culprit crashes every runner and is
// sent through any instance, while instances, sources and leaders die, restart without state, are
// paused and cut off, reports and responses are lost and the store is down. From three seconds
// after its third crash on, instances without faults may let at most three of its requests reach
// runners.
func TestCrashingRequestIsQuarantinedDespiteFaults(t *testing.T) {
	for seed := range uint64(200) {
		late, crashes := runCrashSimulation(t, seed, allSafeguards)
		if late > 3 {
			t.Errorf("seed %d: %d requests reached runners too late, %d crashes in all", seed, late, crashes)
		}
	}
}

// The test above must fail without any one of the safeguards, or it does not test them.
func TestEachSafeguardOfTheQuarantineIsNeeded(t *testing.T) {
	for disabled, seed := range map[safeguard]uint64{noStore: 116, noReports: 2, noEarlyStorage: 106, noRelaying: 2} {
		t.Run(string(disabled), func(t *testing.T) {
			if late, _ := runCrashSimulation(t, seed, disabled); late <= 3 {
				t.Errorf("seed %d passes without it", seed)
			}
		})
	}
}
