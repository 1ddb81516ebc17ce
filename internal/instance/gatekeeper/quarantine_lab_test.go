package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// A lab simulates a deployment step by step: its instances exchange crash reports while some
// requests crash the runners that run them.
type lab struct {
	rng      *rand.Rand
	domains  []string
	members  []*labMember
	holders  map[string]*labMember // leader of each domain, as all instances believe
	apart    map[string]time.Time  // end of a domain's partition from the others
	rows     map[string]tabler.Row // rows in the store
	version  uint64
	away     time.Time // end of the store outage
	unstable time.Time // end of the last store outage
	lossy    time.Time // until when reports from members get lost
	flying   []flight
	culprits []*labCulprit
	without  safeguard
}

// A labCulprit is a request that crashes the runners that run it.
type labCulprit struct {
	digest  quarantiner.Digest
	next    time.Time // when it is sent next
	pace    time.Duration
	crashes []time.Time
	late    int // requests sent that violate the rule
}

// A flight is a request on a runner whose response breaks off at a given time.
type flight struct {
	ends    time.Time
	member  *labMember
	runner  string
	digest  quarantiner.Digest
	beside  []flight
	culprit *labCulprit
	ran     time.Duration // when the runner crashed
}

// A labMember is one instance.
type labMember struct {
	g         *Gatekeeper
	id        string
	domain    string
	down      time.Time // until when it is down
	paused    time.Time
	alone     time.Time // until when it reaches no other instance
	turned    time.Time // until when it does not reach the store
	disturbed time.Time // when any of these faults last applied
	rows      uint64    // highest row version that it has read
	told      map[string]int
	heard     time.Time // when the source last sent an update
	teller    *labMember
	pending   []flight // that broke off while it was paused
}

// A safeguard is a mechanism that can be disabled, to check that the test fails without it.
type safeguard string

const (
	allSafeguards safeguard = ""
	noStore       safeguard = "crash rows in the store"
	noTelling     safeguard = "reports between instances"
	noApart       safeguard = "first crash stored without updates from a leader"
	noPassing     safeguard = "leaders forward reports to members"
)

const (
	labStep  = 50 * time.Millisecond
	labSpan  = 40 * time.Second
	labRun   = 100 * time.Millisecond // from the start of a run to the crash
	labCheck = 200 * time.Millisecond // from the crash to the result of the check
)

func newLab(rng *rand.Rand, members int, without safeguard) *lab {
	w := &lab{rng: rng, holders: make(map[string]*labMember), apart: make(map[string]time.Time), rows: make(map[string]tabler.Row), without: without}
	for n := range min(4, max(1, members/3)) {
		w.domains = append(w.domains, string(rune('a'+n)))
	}
	for n := range members {
		m := &labMember{id: fmt.Sprint("front-", n), domain: w.domains[n%len(w.domains)]}
		w.begin(m)
		w.members = append(w.members, m)
		if n < len(w.domains) {
			w.holders[m.domain] = m
		}
	}
	return w
}

// begin starts an instance without state. The instances that publish to it start over.
func (w *lab) begin(m *labMember) {
	for _, other := range w.members {
		other.told[m.id] = 0
		other.g.quarantine.begun(source{id: m.id})
	}
	g := newTestGatekeeper()
	g.Config.ID, g.Config.Domain, g.Config.Domains = m.id, m.domain, w.domains
	g.init()
	m.g, m.rows, m.told, m.teller, m.pending = g, 0, make(map[string]int), nil, nil
}

// lives reports whether an instance is running now.
func (m *labMember) lives(now time.Time) bool { return !now.Before(m.down) && !now.Before(m.paused) }

// reaches reports whether two instances can exchange messages now.
func (w *lab) reaches(a, b *labMember, now time.Time) bool {
	if !a.lives(now) || !b.lives(now) || now.Before(a.alone) || now.Before(b.alone) {
		return false
	}
	return a.domain == b.domain || !now.Before(w.apart[a.domain]) && !now.Before(w.apart[b.domain])
}

// serves reports whether an instance reaches the store now.
func (w *lab) serves(m *labMember, now time.Time) bool {
	return m.lives(now) && !now.Before(m.turned) && !now.Before(w.away)
}

// step lets all instances do what is due.
func (w *lab) step(now time.Time) {
	w.replaceHolders(now)
	for _, n := range w.rng.Perm(len(w.members)) {
		m := w.members[n]
		if !m.lives(now) {
			continue
		}
		for _, f := range m.pending {
			m.g.suspect(f.runner, map[quarantiner.Digest]time.Duration{f.digest: f.ran})
		}
		m.pending = nil
		if w.holds(m) {
			w.follow(m, now)
		} else {
			w.obey(m, now)
		}
		if w.without == noApart {
			for _, domain := range w.domains {
				m.hearsOf(domain, now)
			}
		}
		m.g.keepApart()
		w.write(m, now)
	}
}

func (w *lab) holds(m *labMember) bool { return w.holders[m.domain] == m }

// replaceHolders replaces leaders that are down or paused for long.
func (w *lab) replaceHolders(now time.Time) {
	for _, domain := range w.domains {
		h := w.holders[domain]
		gone := later(h.down, h.paused)
		if !now.Before(gone) || gone.Sub(now) < time.Second {
			hold(h.g, domain)
			continue
		}
		for _, n := range w.rng.Perm(len(w.members)) {
			if m := w.members[n]; m.domain == domain && w.serves(m, now) && w.rng.IntN(60) == 0 {
				w.holders[domain] = m
				break
			}
		}
	}
}

// follow lets a leader receive updates from the others and from the store.
func (w *lab) follow(m *labMember, now time.Time) {
	m.teller = nil
	for domain, h := range w.holders {
		if h == m || w.reaches(m, h, now) {
			m.hearsOf(domain, now)
		}
		if h != m && w.reaches(m, h, now) {
			w.tell(h, m)
		}
	}
	w.read(m, now)
}

// obey lets a member receive updates from the leader of its domain, or from another one; without
// a source it reads the store.
func (w *lab) obey(m *labMember, now time.Time) {
	t := w.holders[m.domain]
	if !w.reaches(m, t, now) {
		t = nil
		for _, domain := range w.domains {
			if h := w.holders[domain]; w.reaches(m, h, now) {
				t = h
			}
		}
		if now.Sub(m.heard) < unheard {
			return // the member has not noticed yet
		}
	}
	if t == nil {
		w.read(m, now)
		return
	}
	m.teller, m.heard = t, now
	w.tell(t, m)
	for domain := range w.holders {
		m.hearsOf(domain, now.Add(-t.g.links[domain].silence()))
	}
	to := source{id: t.id}
	words := m.g.quarantine.untold(to, now)
	if w.without == noTelling || len(words) == 0 {
		return
	}
	if now.Before(w.lossy) || w.rng.IntN(4) == 0 {
		return // the report is lost
	}
	t.g.HeardCrashes(heartbeater.Instance{ID: m.id}, relayer.Crashes{Words: words})
}

func (m *labMember) hearsOf(domain string, at time.Time) {
	l := m.g.links[domain]
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.heard) {
		l.heard = at
	}
}

// tell sends an instance the changes in another one's ledger.
func (w *lab) tell(from, to *labMember) {
	if w.without == noTelling || w.without == noPassing && !w.holds(to) {
		return
	}
	words, next := from.g.quarantine.ledger.Since(to.told[from.id], time.Now())
	to.told[from.id] = next
	to.g.quarantine.toldBack(source{id: from.id}, words)
	to.g.hearWords(words, from.id)
}

// read applies the rows of the store that have changed.
func (w *lab) read(m *labMember, now time.Time) {
	if !w.serves(m, now) {
		return
	}
	for _, r := range w.rows {
		if c, ok := crashRowOf(r.Key); ok && r.Version > m.rows {
			m.g.crashRow(c, r)
		}
	}
	m.rows = w.version
}

// write writes the rows that an instance wants changed.
func (w *lab) write(m *labMember, now time.Time) {
	if w.without == noStore || !w.serves(m, now) {
		return
	}
	txn, states := m.g.quarantine.unwritten(now)
	if len(states) == 0 {
		return
	}
	w.version++
	for _, p := range txn.Puts {
		w.rows[p.Key] = tabler.Row{Key: p.Key, Value: p.Value, Version: w.version}
	}
	for _, key := range txn.Deletes {
		w.rows[key] = tabler.Row{Key: key, Removed: true, Version: w.version}
	}
	if w.rng.IntN(6) > 0 { // else the response is lost
		m.g.quarantine.written(states)
	}
}
