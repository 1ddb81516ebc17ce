package gatekeeper

import "time"

// A witness checks what is promised of runners.
type witness struct {
	site   *site
	lapses bool                            // it checks living runners whose rows lapse, and nothing else
	knew   map[string]map[string]time.Time // by instance and runner: since when it is used
	kept   map[string]map[string]bool      // by instance and runner: it was used before the store was away, and nothing else has happened
}

func newWitness(s *site) *witness {
	return &witness{site: s, knew: make(map[string]map[string]time.Time), kept: make(map[string]map[string]bool)}
}

// lapsedTime is how long after the store's return a row that lapsed may be missing.
const lapsedTime = 2 * time.Second

// returnTime is how long after its row lapsed a runner may be given up by one that was in
// trouble itself meanwhile.
const returnTime = 5 * time.Second

func (w *witness) look() {
	s := w.site
	now := time.Now()
	for _, m := range s.instances {
		calm := now.Sub(m.calmSince()) >= stableTime && s.calm(stableTime)
		knew := w.knew[m.id]
		if knew == nil || !calm {
			knew = make(map[string]time.Time)
			w.knew[m.id] = knew
		}
		for _, r := range s.runners {
			uses := m.uses(r.id)
			if w.lapses {
				w.afterOutage(m, r, uses)
				continue
			}
			if !calm {
				continue
			}
			switch {
			case uses && r.leftCalm && !r.left.IsZero() && now.Sub(r.left) > drainTime:
				s.t.Errorf("%s: %s uses %s %s after the store accepted that it leaves", now.Sub(s.began), m.id, r.id, now.Sub(r.left))
			case !uses && w.lives(r, now) && !knew[r.id].IsZero() && r.there.Before(knew[r.id]):
				s.t.Errorf("%s: %s has given up %s, whose row has been there for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
			case !uses && w.lives(r, now) && now.Sub(r.there) > stableTime:
				s.t.Errorf("%s: %s does not know %s, whose row has been there for %s", now.Sub(s.began), m.id, r.id, now.Sub(r.there))
			}
			switch {
			case !uses:
				delete(knew, r.id)
			case knew[r.id].IsZero():
				knew[r.id] = now
			}
		}
	}
}

// afterOutage checks that an instance to which nothing else has happened keeps the living
// runners whose rows lapsed while the store was away.
func (w *witness) afterOutage(m *member, r *siteRunner, uses bool) {
	s := w.site
	kept := w.kept[m.id]
	if kept == nil {
		kept = make(map[string]bool)
		w.kept[m.id] = kept
	}
	switch {
	case s.store.down():
		if time.Since(s.away) <= 2*siteStep {
			kept[r.id] = uses
		}
	case m.calmSince().After(s.lost.Add(-returnTime)), s.troubled.After(s.returned.Add(siteStep)), r.leaving, r.ended:
		kept[r.id] = false
	case time.Since(s.returned) < lapsedTime && kept[r.id] && !uses:
		s.t.Errorf("%s: %s has given up %s, whose row lapsed; the store is back for %s", time.Since(s.began), m.id, r.id, time.Since(s.returned))
		kept[r.id] = false
	}
}

// lives reports whether a runner takes requests, and its row has not lapsed lately.
func (w *witness) lives(r *siteRunner, now time.Time) bool {
	return !r.leaving && !r.ended && !r.there.IsZero() && now.Sub(r.lapsed) > returnTime
}
