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
//
// Parts of prompts are evaluated in the same way. Among equally many crashes, a request comes before
// the parts that it shares with others, and of two parts the one whose runs had run for the longest
// time: the shortest time counts for each, and a part that more runs share has a shorter one.
func (l *Ledger) evaluate() {
	l.quarantined = make(map[Digest]time.Time)
	l.suspectCount.Store(int64(len(l.suspects)))
	quarantinesParts := false
	defer func() { l.quarantinesParts.Store(quarantinesParts) }()
	explained := make(map[string]bool) // runners whose crash is attributed to a quarantined request
	for _, c := range l.candidates() {
		s := l.suspects[c.digest]
		crashes, last := s.uncleared(explained)
		if crashes < crashThreshold {
			continue
		}
		l.quarantined[c.digest] = last.Add(quarantineTime(crashes))
		quarantinesParts = quarantinesParts || c.digest.IsPart()
		for _, e := range s.crashes {
			explained[e.runner] = explained[e.runner] || !e.cleared
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
	slices.SortFunc(candidates, candidate.compare)
	return candidates
}

// compare returns a negative number if a is to be evaluated before b.
func (a candidate) compare(b candidate) int {
	byRunTime := cmp.Compare(a.runTime, b.runTime)
	if a.digest.IsPart() && b.digest.IsPart() {
		byRunTime = -byRunTime
	}
	return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.kind(), b.kind()), byRunTime, cmp.Compare(a.digest, b.digest))
}

// kind orders whole requests before parts of prompts.
func (a candidate) kind() int {
	if a.digest.IsPart() {
		return 1
	}
	return 0
}

// quarantineTime returns how long a request is quarantined after the last of its crashes.
func quarantineTime(crashes int) time.Duration {
	trials := crashes - crashThreshold
	if trials >= maxTrials {
		return Retention
	}
	return firstQuarantine << trials
}

// evictedPart is the part of its limit that a ledger evicts together: the order takes a sort.
const evictedPart = 1. / 16

// enforceLimit evicts requests once the ledger is over its limit: first those that are
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
		if l.crashes <= limit-int(evictedPart*float64(limit)) {
			return
		}
		l.drop(d)
	}
}
