package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// restart restarts an instance without state after a delay.
func (w *lab) restart(m *labMember, now time.Time, after time.Duration) {
	w.begin(m)
	m.down = now.Add(after)
	m.disturbed = m.down
}

// strike injects a random fault.
func (w *lab) strike(now time.Time) {
	m := w.members[w.rng.IntN(len(w.members))]
	if w.rng.IntN(3) == 0 {
		m = w.holders[w.domains[w.rng.IntN(len(w.domains))]]
	}
	until := now.Add(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	switch w.rng.IntN(14) {
	case 0, 1, 2:
		w.restart(m, now, time.Second)
	case 3, 4:
		m.paused = until
	case 5:
		m.alone = until.Add(4 * time.Second)
		return
	case 6:
		m.turned = until
	case 7, 8:
		w.apart[w.domains[w.rng.IntN(len(w.domains))]] = until.Add(4 * time.Second)
		return // instances that reach the store are held to the rule
	case 9:
		w.away, w.unstable = until, until
	case 10: // reports get lost unnoticed
		w.lossy = now.Add(min(until.Sub(now), 2*time.Second))
		return
	case 11: // no instance reaches another one, and all reach the store
		for _, m := range w.members {
			m.alone = until.Add(4 * time.Second)
		}
		return
	case 12: // all restart while the store is up
		if now.Before(w.away) || w.unwrittenCrash() {
			return
		}
		for _, m := range w.members {
			w.restart(m, now, time.Second)
		}
	}
	m.disturbed = later(m.disturbed, until)
}

// unwrittenCrash reports whether a crash of a culprit is not stored yet: it would be lost if all
// instances restarted now.
func (w *lab) unwrittenCrash() bool {
	kept := make(map[quarantiner.Digest]int)
	for _, r := range w.rows {
		if c, ok := crashRowOf(r.Key); ok && !r.Removed {
			kept[c.Digest]++
		}
	}
	for _, c := range w.culprits {
		if kept[c.digest] < min(len(c.crashes), 3) {
			return true
		}
	}
	return false
}

// inTouch reports whether requests sent by an instance count for the rule.
func (w *lab) inTouch(m *labMember, now time.Time) bool {
	const stable = 3 * time.Second
	return m.lives(now) && now.Sub(m.disturbed) >= stable && now.Sub(w.unstable) >= stable
}

// send has an instance send a request that crashes its runner, beside other requests.
func (w *lab) send(c *labCulprit, now time.Time) {
	m := w.members[w.rng.IntN(len(w.members))]
	if !m.lives(now) {
		return
	}
	if _, held := m.g.Held(c.digest); held {
		return
	}
	if len(c.crashes) >= 3 && now.Sub(c.crashes[2]) > 3*time.Second && w.inTouch(m, now) {
		c.late++
	}
	f := flight{ends: now.Add(labRun + labCheck), member: m, runner: fmt.Sprint("i-", len(w.flying), "-", now.UnixNano()), culprit: c, digest: c.digest, ran: labRun}
	for range w.rng.IntN(6) {
		f.beside = append(f.beside, flight{member: w.members[w.rng.IntN(len(w.members))], runner: f.runner, digest: quarantiner.Digest(fmt.Sprint("beside-", w.rng.IntN(40))), ran: time.Duration(w.rng.Int64N(int64(2 * time.Second)))})
	}
	w.flying = append(w.flying, f)
}

// land reports the crashes that are due to the instances.
func (w *lab) land(now time.Time) {
	flying := w.flying
	w.flying = nil
	for _, f := range flying {
		if now.Before(f.ends) {
			w.flying = append(w.flying, f)
			continue
		}
		f.culprit.crashes = append(f.culprit.crashes, f.ends.Add(-labCheck))
		for _, s := range append(f.beside, f) {
			if !now.Before(s.member.down) {
				s.member.pending = append(s.member.pending, s)
			}
		}
	}
}

func (w *lab) play(faults bool) {
	for n := range 3 {
		w.culprits = append(w.culprits, &labCulprit{
			digest: quarantiner.Digest(fmt.Sprint("culprit-", n)), next: time.Now().Add(time.Duration(w.rng.Int64N(int64(labSpan / 2)))),
			pace: 60*time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Second))),
		})
	}
	calm := 10 + w.rng.IntN(100) // steps between two faults
	for end := time.Now().Add(labSpan); time.Now().Before(end); time.Sleep(labStep) {
		now := time.Now()
		if faults && w.rng.IntN(calm) == 0 {
			w.strike(now)
		}
		for _, c := range w.culprits {
			for !now.Before(c.next) {
				w.send(c, now)
				c.next = c.next.Add(time.Duration(w.rng.Int64N(int64(2 * c.pace))))
			}
		}
		w.land(now)
		w.step(now)
	}
}

// labSizes holds the numbers of instances to simulate.
var labSizes = []int{3, 4, 9, 9, 12, 24, 60, 9, 20, 9}

// playLab runs one simulation. It returns the largest number of late requests and of crashes
// that one culprit caused.
func playLab(t *testing.T, seed uint64, without safeguard) (late, crashes int) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 28))
		members := labSizes[seed%uint64(len(labSizes))]
		if seed%100 == 99 {
			members = 300
		}
		w := newLab(rng, members, without)
		w.play(seed%5 != 0)
		for _, c := range w.culprits {
			late, crashes = max(late, c.late), max(crashes, len(c.crashes))
		}
	})
	return late, crashes
}

// Guards against requests that go on crashing runners. Each culprit crashes every runner and is
// sent through any instance, while instances, sources and leaders die, restart without state, are
// paused and cut off, reports and responses are lost and the store is down. From three seconds
// after its third crash on, instances without faults may let at most three of its requests reach
// runners.
func TestCrashingRequestIsHeldWhateverFails(t *testing.T) {
	for seed := range uint64(200) {
		late, crashes := playLab(t, seed, allSafeguards)
		if late > 3 {
			t.Errorf("seed %d: %d requests reached runners too late, %d crashes in all", seed, late, crashes)
		}
	}
}

// The test above must fail without any one of the safeguards, or it does not test them.
func TestEachSafeguardOfTheQuarantineIsNeeded(t *testing.T) {
	for without, seed := range map[safeguard]uint64{noStore: 116, noTelling: 2, noApart: 106, noPassing: 2} {
		t.Run(string(without), func(t *testing.T) {
			if late, _ := playLab(t, seed, without); late <= 3 {
				t.Errorf("seed %d passes without it", seed)
			}
		})
	}
}
