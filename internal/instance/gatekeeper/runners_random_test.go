package gatekeeper

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var (
	firstSeed     = flag.Uint64("site.first", 0, "first seed of the simulation of runners")
	seedCount     = flag.Uint64("site.seeds", 60, "number of seeds to run")
	instanceCount = flag.Int("site.instances", 0, "instances in each run; 0 for five to ten")
)

// checkStep is the interval between checks of the invariants.
const checkStep = 25 * time.Millisecond

// Guards against runners that are used after they have left, or removed while they are alive,
// whichever instances fail, in whatever order.
func TestRunnersAreThoseOfTheStoreWhoeverTellsOfThem(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		runSimulation(t, seed, newChecker)
	}
}

// Seeds of the test above with which a runner was used after it had left, or removed while it
// was alive, after the first fixes.
func TestRunnersOfSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{375, 926, 1100, 1600, 1824, 2055, 2110, 2121, 2209, 2344, 2591, 2646} {
		runSimulation(t, seed, newChecker)
	}
}

// Guards against living runners that are removed because their rows expired during an outage.
func TestRunnersWhoseRowsLapsedAreKeptWhoeverTellsOfThem(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		runSimulation(t, seed, newExpiryChecker)
	}
}

func runSimulation(t *testing.T, seed uint64, create func(s *simulation) *checker) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, seed))
			domains, instances := 2+rng.IntN(2), 5+rng.IntN(6)
			if *instanceCount > 0 {
				domains, instances = 3+rng.IntN(4), *instanceCount
			}
			s := newSimulation(t, rng, domains, instances)
			s.run(create(s))
		})
	})
}

func (s *simulation) run(c *checker) {
	for n := range 12 {
		s.addRunner(s.domains[n%len(s.domains)])
	}
	s.advance(3*time.Second, c)
	for range 20 + s.rng.IntN(20) {
		s.injectFault()
		s.advance(time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))), c)
		if s.t.Failed() {
			return
		}
	}
	s.advance(6*time.Second, c)
	for _, r := range s.runners[:2] {
		if !r.leaving && !r.ended {
			s.stopRunner(r, s.rng.IntN(2) == 0)
		}
	}
	s.advance(5*time.Second, c)
}

// advance lets time pass, and checks the invariants.
func (s *simulation) advance(span time.Duration, c *checker) {
	for end := time.Now().Add(span); time.Now().Before(end) && !s.t.Failed(); time.Sleep(checkStep) {
		s.writeHeartbeats()
		if s.store.down() && s.rng.IntN(8) == 0 {
			s.expireRow(s.runners[s.rng.IntN(len(s.runners))])
		}
		s.replaceLeaders()
		s.recordFaults()
		c.checkAll()
	}
}

// recordFaults records whether the store fails for any instance.
func (s *simulation) recordFaults() {
	faulty := s.store.down()
	if !faulty {
		s.lastAvailable = time.Now()
	}
	for _, m := range s.instances {
		m.store.mu.Lock()
		faulty = faulty || m.store.mode != serves
		m.store.mu.Unlock()
	}
	if faulty {
		s.lastFault = time.Now()
	}
}

// injectFault injects one random fault or change.
func (s *simulation) injectFault() {
	m := s.instances[s.rng.IntN(len(s.instances))]
	if s.rng.IntN(2) == 0 {
		if leader := s.leader(s.domains[s.rng.IntN(len(s.domains))]); leader != nil {
			m = leader
		}
	}
	span := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
	r := s.runners[s.rng.IntN(len(s.runners))]
	switch n := s.rng.IntN(16); {
	case n < 4 && !r.leaving && !r.ended && !s.store.down():
		s.stopRunner(r, n < 2)
		if leader := s.leader(r.domain); leader != nil && s.rng.IntN(2) == 0 {
			time.Sleep(time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))) // some have learned of it by then
			s.disrupt(leader, span)
		}
	case n < 6 && !s.store.down():
		s.addRunner(s.domains[s.rng.IntN(len(s.domains))])
	case n < 10:
		s.disrupt(m, span)
	case n < 11:
		m.store.set(storeMode(s.rng.IntN(3)))
	case n == 11:
		s.store.set(rejects)
	case n == 12:
		s.store.set(hangs)
		s.store.hangCalls()
	case n == 13:
		s.store.compact()
	default:
		s.restoreStore()
	}
}

// expireRow removes the row of a living runner if the store has been unavailable for long enough.
func (s *simulation) expireRow(r *simRunner) {
	if now := time.Now(); !r.ended && !r.rowSince.IsZero() && now.Sub(s.lastAvailable) > 2*heartbeatInterval {
		r.expiredAt = now
		s.removeRow(r)
	}
}

// restoreStore lets the store serve all instances. Expired rows are back within two seconds.
func (s *simulation) restoreStore() {
	if s.store.down() {
		s.outageStart, s.outageEnd = s.lastAvailable, time.Now()
		for _, r := range s.runners {
			if r.rowSince.IsZero() {
				r.nextHeartbeat = time.Now().Add(time.Duration(s.rng.Int64N(int64(rowReturnTime))))
			}
		}
	}
	s.store.set(serves)
	for _, m := range s.instances {
		m.store.set(serves)
	}
}

// disrupt restarts or pauses an instance, or cuts it off from the others, for a time.
func (s *simulation) disrupt(m *member, span time.Duration) {
	now := time.Now()
	switch s.rng.IntN(4) {
	case 0, 1:
		m.restart()
	case 2:
		m.recordFault(&m.pausedUntil, now.Add(span))
	default:
		m.recordFault(&m.partitionedUntil, now.Add(span))
	}
}

// leader returns an instance that considers itself the leader of a domain.
func (s *simulation) leader(domain string) *member {
	for _, m := range s.instances {
		if m.leads(domain) {
			return m
		}
	}
	return nil
}

// replaceLeaders gives the leases of domains whose leader is missing or paused to others. A
// leader that was paused continues for a moment before it steps down.
func (s *simulation) replaceLeaders() {
	now := time.Now()
	for _, domain := range s.domains {
		var live []*member
		for _, m := range s.instances {
			if !m.leads(domain) {
				continue
			}
			m.mu.Lock()
			paused := now.Before(m.pausedUntil)
			m.mu.Unlock()
			if !paused {
				live = append(live, m)
			}
		}
		switch {
		case len(live) == 0 && s.rng.IntN(40) == 0 && !s.store.down():
			if m := s.instances[s.rng.IntN(len(s.instances))]; !now.Before(m.pausedUntil) {
				s.giveLease(domain, m)
			}
		case len(live) > 1 && s.rng.IntN(8) == 0:
			live[s.rng.IntN(len(live))].stepDown(domain)
		}
	}
}
