package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// A charge is what there is against a request.
type candidate struct {
	digest  Digest
	crashes int           // that are not cleared
	runTime time.Duration // that it had run at them, in all
}

// evaluate decides anew which requests are held.
//
// Each crash is counted against one culprit only: requests are judged one after the
// other, those with most crashes first, and a crash of one that is held does not count
// against the next. Without this the requests that ran beside a culprit on three of its
// runners were rejected with it; they are sent on to the next runner at once, so that is
// no rare chance.
//
// Of those with equally many crashes the one comes first that had run for the shortest
// time: a culprit crashes whoever begins to run it, and what ran beside it had begun at
// any time before. If that takes the wrong one, the culprit's next crash makes it the one
// with most, and the other is held no more.
func (l *Ledger) evaluate() {
	l.quarantined = make(map[Digest]time.Time)
	l.suspectCount.Store(int64(len(l.suspects)))
	explained := make(map[string]bool) // runners that crashed under a request that is held
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

// candidates returns what there is against each request with enough crashes, in the order
// in which they are judged.
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

// quarantineTime returns how long a request is held after the last of its crashes.
func quarantineTime(crashes int) time.Duration {
	tried := crashes - crashThreshold
	if tried >= maxTrials {
		return Memory
	}
	return firstQuarantine << tried
}

// enforceLimit drops requests until the ledger is within its limit: first those that are
// cleared, then those with the fewest crashes, the oldest of them first. A caller whose
// many different requests crash runners cannot push out one that is held: it has three.
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
