package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// A count is how many crashes of a request are not cleared.
type count struct {
	digest  Digest
	crashes int
}

// judge decides anew which requests are held.
//
// Each crash is counted against one culprit only. Requests are judged in the order of
// their crashes, and a crash of one that is held does not count against those with
// fewer. Without this the requests that ran beside a culprit on three of its runners
// were rejected with it; they are sent on to the next runner at once, so that is no rare
// chance. Requests with equally many crashes are judged alike: nothing tells them apart.
func (l *Ledger) judge() {
	l.held = make(map[Digest]time.Time)
	l.known.Store(int64(len(l.suspects)))
	explained := make(map[string]bool) // runners that crashed under a request that is held
	for _, alike := range l.byCrashes() {
		guilty := l.guilty(alike, explained)
		for _, d := range guilty {
			for runner, e := range l.suspects[d].crashes {
				explained[runner] = explained[runner] || !e.cleared
			}
		}
	}
}

// guilty holds those of some requests that enough runners crashed under, and returns
// them.
func (l *Ledger) guilty(requests []Digest, explained map[string]bool) []Digest {
	var guilty []Digest
	for _, d := range requests {
		crashes, last := l.suspects[d].open(explained)
		if crashes >= enough {
			l.held[d] = last.Add(hold(crashes))
			guilty = append(guilty, d)
		}
	}
	return guilty
}

// byCrashes returns the requests with enough crashes in groups of equally many, those
// with most first.
func (l *Ledger) byCrashes() [][]Digest {
	var counts []count
	for d, s := range l.suspects {
		if crashes, _ := s.open(nil); crashes >= enough {
			counts = append(counts, count{d, crashes})
		}
	}
	slices.SortFunc(counts, func(a, b count) int { return cmp.Compare(b.crashes, a.crashes) })
	var groups [][]Digest
	for i, c := range counts {
		if i == 0 || counts[i-1].crashes != c.crashes {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], c.digest)
	}
	return groups
}

// hold returns how long a request is held after the last of its crashes.
func hold(crashes int) time.Duration {
	tried := crashes - enough
	if tried >= trials {
		return memory
	}
	return firstHold << tried
}

// shrink drops requests until the ledger is within its limit: first those that are
// cleared, then those with the fewest crashes, the oldest of them first. A caller whose
// many different requests crash runners cannot push out one that is held: it has three.
func (l *Ledger) shrink() {
	limit := l.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if l.crashes <= limit {
		return
	}
	order := make([]Digest, 0, len(l.suspects))
	for d := range l.suspects {
		order = append(order, d)
	}
	slices.SortFunc(order, func(a, b Digest) int {
		s, t := l.suspects[a], l.suspects[b]
		crashesA, _ := s.open(nil)
		crashesB, _ := t.open(nil)
		if c := cmp.Compare(crashesA, crashesB); c != 0 {
			return c
		}
		return s.last().Compare(t.last())
	})
	for _, d := range order {
		if l.crashes <= limit {
			return
		}
		l.drop(d)
	}
}
