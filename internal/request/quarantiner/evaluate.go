package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// A candidate is a request with enough crashes to be quarantined.
type candidate struct {
	digest  Digest
	crashes int           // crashes that are not cleared
	runTime time.Duration // how long it had run at these crashes, in total
}

// evaluate recomputes which requests are quarantined.
//
// Each crash is attributed to one culprit only: requests are evaluated in turn, those with
// the most crashes first, and the crashes of a quarantined request do not count against the
// next ones. Otherwise requests that ran beside a culprit on three of its runners would be
// rejected with it. That is not rare, as they are retried on the next runner at once.
//
// Among requests with equally many crashes the one that had run for the shortest time comes
// first: a culprit crashes a runner as soon as it starts there, and the requests beside it
// started at any earlier time. If this picks the wrong request, the next crash of the culprit
// gives it the most crashes, and the other request is released.
func (l *Ledger) evaluate() {
	l.quarantined = make(map[Digest]time.Time)
	l.suspectCount.Store(int64(len(l.suspects)))
	explained := make(map[string]bool) // runners whose crash is attributed to a quarantined request
	for _, c := range l.candidates() {
		s := l.suspects[c.digest]
		crashes, last := s.uncleared(explained)
		if crashes < crashThreshold {
			continue
		}
		l.quarantined[c.digest] = last.Add(quarantineTime(crashes))
		for runner, e := range s.crashes {
			explained[runner] = explained[runner] || !e.cleared
		}
	}
}

// candidates returns the requests with enough crashes, in the order in which they are
// evaluated.
func (l *Ledger) candidates() []candidate {
	var candidates []candidate
	for d, s := range l.suspects {
		if crashes, _ := s.uncleared(nil); crashes >= crashThreshold {
			candidates = append(candidates, candidate{d, crashes, s.runTime()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.runTime, b.runTime), cmp.Compare(a.digest, b.digest))
	})
	return candidates
}

// quarantineTime returns how long a request is quarantined after the last of its crashes.
func quarantineTime(crashes int) time.Duration {
	trials := crashes - crashThreshold
	if trials >= maxTrials {
		return Retention
	}
	return firstQuarantine << trials
}

// enforceLimit evicts requests until the ledger is within its limit: first those that are
// cleared, then those with the fewest crashes, the oldest of them first. A caller with many
// different requests that crash runners cannot evict a quarantined request, which has three
// crashes.
func (l *Ledger) enforceLimit() {
	limit := l.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if l.crashes <= limit {
		return
	}
	evictionOrder := make([]Digest, 0, len(l.suspects))
	for d := range l.suspects {
		evictionOrder = append(evictionOrder, d)
	}
	slices.SortFunc(evictionOrder, func(a, b Digest) int {
		s, t := l.suspects[a], l.suspects[b]
		crashesA, _ := s.uncleared(nil)
		crashesB, _ := t.uncleared(nil)
		if c := cmp.Compare(crashesA, crashesB); c != 0 {
			return c
		}
		return s.lastCrash().Compare(t.lastCrash())
	})
	for _, d := range evictionOrder {
		if l.crashes <= limit {
			return
		}
		l.drop(d)
	}
}
