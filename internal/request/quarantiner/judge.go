package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// A charge is what there is against a request.
type charge struct {
	digest  Digest
	crashes int           // that are not cleared
	ran     time.Duration // that it had run at them, in all
}

// judge decides anew which requests are held.
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
func (l *Ledger) judge() {
	l.held = make(map[Digest]time.Time)
	l.known.Store(int64(len(l.suspects)))
	explained := make(map[string]bool) // runners that crashed under a request that is held
	for _, c := range l.charges() {
		s := l.suspects[c.digest]
		crashes, last := s.open(explained)
		if crashes < enough {
			continue
		}
		l.held[c.digest] = last.Add(hold(crashes))
		for runner, e := range s.crashes {
			explained[runner] = explained[runner] || !e.cleared
		}
	}
}

// charges returns what there is against each request with enough crashes, in the order
// in which they are judged.
func (l *Ledger) charges() []charge {
	var charges []charge
	for d, s := range l.suspects {
		if crashes, _ := s.open(nil); crashes >= enough {
			charges = append(charges, charge{d, crashes, s.ran()})
		}
	}
	slices.SortFunc(charges, func(a, b charge) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.ran, b.ran), cmp.Compare(a.digest, b.digest))
	})
	return charges
}

// hold returns how long a request is held after the last of its crashes.
func hold(crashes int) time.Duration {
	tried := crashes - enough
	if tried >= trials {
		return Memory
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
