package gatekeeper

import "time"

// A checker checks invariants of runners.
type witness struct {
	site  *site
	check func(w *witness, p pair, now time.Time)
	knew  map[pair]time.Time // since when the instance has used the runner
	kept  map[pair]bool      // the instance used the runner before the outage, and there was no other fault
}

// A pair is a runner and an instance that may use it.
type pair struct {
	member *member
	runner *siteRunner
}

// newChecker returns one that checks runners that leave, and runners that do not.
func newWitness(s *site) *witness {
	return &witness{site: s, check: (*witness).inGoodTimes, knew: make(map[pair]time.Time)}
}

// newExpiryChecker returns one that checks living runners whose rows expire.
func newLapseWitness(s *site) *witness {
	return &witness{site: s, check: (*witness).afterOutage, kept: make(map[pair]bool)}
}

// rowReturnTime is how long after the store's return an expired row may be missing.
const lapsedTime = 2 * time.Second

// removalTime is how long after its row has expired a runner may be removed by an instance that
// had faults of its own meanwhile.
const returnTime = 5 * time.Second

func (w *witness) look() {
	now := time.Now()
	for _, m := range w.site.instances {
		for _, r := range w.site.runners {
			w.check(w, pair{m, r}, now)
		}
	}
}

// checkUndisturbed checks that an instance without recent faults uses no runner that has left,
// and removes none that is alive.
func (w *witness) inGoodTimes(p pair, now time.Time) {
	s, m, r := w.site, p.member, p.runner
	if now.Sub(m.calmSince()) < stableTime || !s.calm(stableTime) {
		delete(w.knew, p)
		return
	}
	uses, since := m.uses(r.id), w.knew[p]
	switch {
	case uses && r.leftCalm && !r.left.IsZero() && now.Sub(r.left) > drainTime:
		s.t.Errorf("%s: %s uses %s %s after the store accepted that it drains", now.Sub(s.began), m.id, r.id, now.Sub(r.left))
	case !uses && w.lives(r, now) && !since.IsZero() && r.there.Before(since):
		s.t.Errorf("%s: %s has removed %s, whose row has existed for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
	case !uses && w.lives(r, now) && now.Sub(r.there) > stableTime:
		s.t.Errorf("%s: %s does not know %s, whose row has existed for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
	}
	switch {
	case !uses:
		delete(w.knew, p)
	case since.IsZero():
		w.knew[p] = now
	}
}

// checkAfterOutage checks that an instance without other faults keeps the living runners whose
// rows expired while the store was unavailable.
func (w *witness) afterOutage(p pair, now time.Time) {
	s, m, r := w.site, p.member, p.runner
	uses := m.uses(r.id)
	switch {
	case s.store.down():
		if now.Sub(s.away) <= 2*siteStep {
			w.kept[p] = uses
		}
	case m.calmSince().After(s.lost.Add(-returnTime)), s.troubled.After(s.returned.Add(siteStep)), r.leaving, r.ended:
		w.kept[p] = false
	case now.Sub(s.returned) < lapsedTime && w.kept[p] && !uses:
		s.t.Errorf("%s: %s has removed %s, whose row expired; the store has been back for %s", now.Sub(s.began), m.id, r.id, now.Sub(s.returned))
		w.kept[p] = false
	}
}

// lives reports whether a runner accepts requests, and its row has not expired recently.
func (w *witness) lives(r *siteRunner, now time.Time) bool {
	return !r.leaving && !r.ended && !r.there.IsZero() && now.Sub(r.lapsed) > returnTime
}
