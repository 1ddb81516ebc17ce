package gatekeeper

import "time"

// A checker checks invariants of runners.
type checker struct {
	sim        *simulation
	check      func(c *checker, p instanceRunner, now time.Time)
	usedSince  map[instanceRunner]time.Time // since when the instance has used the runner
	usedBefore map[instanceRunner]bool      // the instance used the runner before the outage, and there was no other fault
}

// An instanceRunner is a runner and an instance that may use it.
type instanceRunner struct {
	member *member
	runner *simRunner
}

// newChecker returns a checker of runners that drain or are removed, and of runners that are not.
func newChecker(s *simulation) *checker {
	return &checker{sim: s, check: (*checker).checkWithoutFaults, usedSince: make(map[instanceRunner]time.Time)}
}

// newExpiryChecker returns a checker of living runners whose rows expire.
func newExpiryChecker(s *simulation) *checker {
	return &checker{sim: s, check: (*checker).checkAfterOutage, usedBefore: make(map[instanceRunner]bool)}
}

// rowReturnTime is how long after the store's return an expired row may be missing.
const rowReturnTime = 2 * time.Second

// removalTime is how long after its row has expired a runner may be removed by an instance that
// had faults of its own meanwhile.
const removalTime = 5 * time.Second

func (c *checker) checkAll() {
	now := time.Now()
	for _, m := range c.sim.instances {
		for _, r := range c.sim.runners {
			c.check(c, instanceRunner{m, r}, now)
		}
	}
}

// checkWithoutFaults checks that an instance without recent faults uses no runner that has left,
// and removes none that is alive.
func (c *checker) checkWithoutFaults(p instanceRunner, now time.Time) {
	s, m, r := c.sim, p.member, p.runner
	if now.Sub(m.faultFreeSince()) < stableTime || !s.faultFreeFor(stableTime) {
		delete(c.usedSince, p)
		return
	}
	uses, since := m.uses(r.id), c.usedSince[p]
	switch {
	case uses && r.drainedWithoutFaults && !r.drainedAt.IsZero() && now.Sub(r.drainedAt) > drainDeadline:
		s.t.Errorf("%s: %s uses %s %s after the store accepted that it drains", now.Sub(s.began), m.id, r.id, now.Sub(r.drainedAt))
	case !uses && c.alive(r, now) && !since.IsZero() && r.rowSince.Before(since):
		s.t.Errorf("%s: %s has removed %s, whose row has existed for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.rowSince))
	case !uses && c.alive(r, now) && now.Sub(r.rowSince) > stableTime:
		s.t.Errorf("%s: %s does not know %s, whose row has existed for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.rowSince))
	}
	switch {
	case !uses:
		delete(c.usedSince, p)
	case since.IsZero():
		c.usedSince[p] = now
	}
}

// checkAfterOutage checks that an instance without other faults keeps the living runners whose
// rows expired while the store was unavailable.
func (c *checker) checkAfterOutage(p instanceRunner, now time.Time) {
	s, m, r := c.sim, p.member, p.runner
	uses := m.uses(r.id)
	switch {
	case s.store.down():
		if now.Sub(s.lastAvailable) <= 2*checkStep {
			c.usedBefore[p] = uses
		}
	case m.faultFreeSince().After(s.outageStart.Add(-removalTime)), s.lastFault.After(s.outageEnd.Add(checkStep)), r.leaving, r.ended:
		c.usedBefore[p] = false
	case now.Sub(s.outageEnd) < rowReturnTime && c.usedBefore[p] && !uses:
		s.t.Errorf("%s: %s has removed %s, whose row expired; the store has been back for %s", now.Sub(s.began), m.id, r.id, now.Sub(s.outageEnd))
		c.usedBefore[p] = false
	}
}

// alive reports whether a runner accepts requests, and its row has not expired recently.
func (c *checker) alive(r *simRunner, now time.Time) bool {
	return !r.leaving && !r.ended && !r.rowSince.IsZero() && now.Sub(r.expiredAt) > removalTime
}
