package gatekeeper

import "time"

// A witness checks what is promised of runners.
type witness struct {
	site  *site
	check func(w *witness, p pair, now time.Time)
	knew  map[pair]time.Time // since when it is used
	kept  map[pair]bool      // it was used before the store was away, and nothing else has happened
}

// A pair is a runner as an instance sees it.
type pair struct {
	member *member
	runner *siteRunner
}

// newWitness returns one that checks runners that leave, and runners that do not.
func newWitness(s *site) *witness {
	return &witness{site: s, check: (*witness).inGoodTimes, knew: make(map[pair]time.Time)}
}

// newLapseWitness returns one that checks living runners whose rows lapse.
func newLapseWitness(s *site) *witness {
	return &witness{site: s, check: (*witness).afterOutage, kept: make(map[pair]bool)}
}

// lapsedTime is how long after the store's return a row that lapsed may be missing.
const lapsedTime = 2 * time.Second

// returnTime is how long after its row lapsed a runner may be given up by one that was in
// trouble itself meanwhile.
const returnTime = 5 * time.Second

func (w *witness) look() {
	now := time.Now()
	for _, m := range w.site.instances {
		for _, r := range w.site.runners {
			w.check(w, pair{m, r}, now)
		}
	}
}

// inGoodTimes checks that an instance to which nothing has happened for a while uses no
// runner that has left, and gives up none that lives.
func (w *witness) inGoodTimes(p pair, now time.Time) {
	s, m, r := w.site, p.member, p.runner
	if now.Sub(m.calmSince()) < stableTime || !s.calm(stableTime) {
		delete(w.knew, p)
		return
	}
	uses, since := m.uses(r.id), w.knew[p]
	switch {
	case uses && r.leftCalm && !r.left.IsZero() && now.Sub(r.left) > drainTime:
		s.t.Errorf("%s: %s uses %s %s after the store accepted that it leaves", now.Sub(s.began), m.id, r.id, now.Sub(r.left))
	case !uses && w.lives(r, now) && !since.IsZero() && r.there.Before(since):
		s.t.Errorf("%s: %s has given up %s, whose row has been there for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
	case !uses && w.lives(r, now) && now.Sub(r.there) > stableTime:
		s.t.Errorf("%s: %s does not know %s, whose row has been there for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
	}
	switch {
	case !uses:
		delete(w.knew, p)
	case since.IsZero():
		w.knew[p] = now
	}
}

// afterOutage checks that an instance to which nothing else has happened keeps the living
// runners whose rows lapsed while the store was away.
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
		s.t.Errorf("%s: %s has given up %s, whose row lapsed; the store is back for %s", now.Sub(s.began), m.id, r.id, now.Sub(s.returned))
		w.kept[p] = false
	}
}

// lives reports whether a runner takes requests, and its row has not lapsed lately.
func (w *witness) lives(r *siteRunner, now time.Time) bool {
	return !r.leaving && !r.ended && !r.there.IsZero() && now.Sub(r.lapsed) > returnTime
}
