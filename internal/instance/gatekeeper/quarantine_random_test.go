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
func (w *crashSimulation) restart(m *simMember, now time.Time, after time.Duration) {
	w.start(m)
	m.downUntil = now.Add(after)
	m.lastFault = m.downUntil
}

// injectFault injects a random fault.
func (w *crashSimulation) injectFault(now time.Time) {
	m := w.members[w.rng.IntN(len(w.members))]
	if w.rng.IntN(3) == 0 {
		m = w.leaders[w.domains[w.rng.IntN(len(w.domains))]]
	}
	until := now.Add(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	switch w.rng.IntN(14) {
	case 0, 1, 2:
		w.restart(m, now, time.Second)
	case 3, 4:
		m.pausedUntil = until
	case 5:
		m.isolatedUntil = until.Add(4 * time.Second)
		return
	case 6:
		m.rejectedUntil = until
	case 7, 8:
		w.partitionedUntil[w.domains[w.rng.IntN(len(w.domains))]] = until.Add(4 * time.Second)
		return // instances that reach the store are held to the rule
	case 9:
		w.storeDownUntil, w.lastStoreOutage = until, until
	case 10: // reports get lost unnoticed
		w.lossyUntil = now.Add(min(until.Sub(now), 2*time.Second))
		return
	case 11: // no instance reaches another one, and all reach the store
		for _, m := range w.members {
			m.isolatedUntil = until.Add(4 * time.Second)
		}
		return
	case 12: // all restart while the store is up
		if now.Before(w.storeDownUntil) || w.hasUnstoredCrash() {
			return
		}
		for _, m := range w.members {
			w.restart(m, now, time.Second)
		}
	}
	m.lastFault = later(m.lastFault, until)
}

// hasUnstoredCrash reports whether a crash of a culprit is not stored yet: it would be lost if all
// instances restarted now.
func (w *crashSimulation) hasUnstoredCrash() bool {
	kept := make(map[quarantiner.Digest]int)
	for _, r := range w.rows {
		if c, ok := parseCrashKey(r.Key); ok && !r.Removed {
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

// countsForRule reports whether requests sent by an instance count for the rule.
func (w *crashSimulation) countsForRule(m *simMember, now time.Time) bool {
	const stable = 3 * time.Second
	return m.running(now) && now.Sub(m.lastFault) >= stable && now.Sub(w.lastStoreOutage) >= stable
}

// send has an instance send a request that crashes its runner, beside other requests.
func (w *crashSimulation) send(c *simCulprit, now time.Time) {
	m := w.members[w.rng.IntN(len(w.members))]
	if !m.running(now) {
		return
	}
	if _, held := m.g.Held(c.digest); held {
		return
	}
	if len(c.crashes) >= 3 && now.Sub(c.crashes[2]) > 3*time.Second && w.countsForRule(m, now) {
		c.lateRequests++
	}
	f := simRequest{ends: now.Add(simRunTime + simCheckTime), member: m, runner: fmt.Sprint("i-", len(w.inFlight), "-", now.UnixNano()), culprit: c, digest: c.digest, ran: simRunTime}
	for range w.rng.IntN(6) {
		f.concurrent = append(f.concurrent, simRequest{member: w.members[w.rng.IntN(len(w.members))], runner: f.runner, digest: quarantiner.Digest(fmt.Sprint("beside-", w.rng.IntN(40))), ran: time.Duration(w.rng.Int64N(int64(2 * time.Second)))})
	}
	w.inFlight = append(w.inFlight, f)
}

// reportCrashes reports the crashes that are due to the instances.
func (w *crashSimulation) reportCrashes(now time.Time) {
	flying := w.inFlight
	w.inFlight = nil
	for _, f := range flying {
		if now.Before(f.ends) {
			w.inFlight = append(w.inFlight, f)
			continue
		}
		f.culprit.crashes = append(f.culprit.crashes, f.ends.Add(-simCheckTime))
		for _, s := range append(f.concurrent, f) {
			if !now.Before(s.member.downUntil) {
				s.member.pending = append(s.member.pending, s)
			}
		}
	}
}

func (w *crashSimulation) run(faults bool) {
	for n := range 3 {
		w.culprits = append(w.culprits, &simCulprit{
			digest: quarantiner.Digest(fmt.Sprint("culprit-", n)), next: time.Now().Add(time.Duration(w.rng.Int64N(int64(simSpan / 2)))),
			interval: 60*time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Second))),
		})
	}
	calm := 10 + w.rng.IntN(100) // steps between two faults
	for end := time.Now().Add(simSpan); time.Now().Before(end); time.Sleep(simStep) {
		now := time.Now()
		if faults && w.rng.IntN(calm) == 0 {
			w.injectFault(now)
		}
		for _, c := range w.culprits {
			for !now.Before(c.next) {
				w.send(c, now)
				c.next = c.next.Add(time.Duration(w.rng.Int64N(int64(2 * c.interval))))
			}
		}
		w.reportCrashes(now)
		w.step(now)
	}
}

// simSizes holds the numbers of instances to simulate.
var simSizes = []int{3, 4, 9, 9, 12, 24, 60, 9, 20, 9}

// runCrashSimulation runs one simulation. It returns the largest number of late requests and of crashes
// that one culprit caused.
func runCrashSimulation(t *testing.T, seed uint64, without safeguard) (late, crashes int) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 28))
		members := simSizes[seed%uint64(len(simSizes))]
		if seed%100 == 99 {
			members = 300
		}
		w := newCrashSimulation(rng, members, without)
		w.run(seed%5 != 0)
		for _, c := range w.culprits {
			late, crashes = max(late, c.lateRequests), max(crashes, len(c.crashes))
		}
	})
	return late, crashes
}

// Guards against requests that go on crashing runners. Each culprit crashes every runner and is
// sent through any instance, while instances, sources and leaders die, restart without state, are
// paused and cut off, reports and responses are lost and the store is down. From three seconds
// after its third crash on, instances without faults may let at most three of its requests reach
// runners.
func TestCrashingRequestIsQuarantinedDespiteFaults(t *testing.T) {
	for seed := range uint64(200) {
		late, crashes := runCrashSimulation(t, seed, allSafeguards)
		if late > 3 {
			t.Errorf("seed %d: %d requests reached runners too late, %d crashes in all", seed, late, crashes)
		}
	}
}

// The test above must fail without any one of the safeguards, or it does not test them.
func TestEachSafeguardOfTheQuarantineIsNeeded(t *testing.T) {
	for without, seed := range map[safeguard]uint64{noStore: 116, noReports: 2, noEarlyStorage: 106, noForwarding: 2} {
		t.Run(string(without), func(t *testing.T) {
			if late, _ := runCrashSimulation(t, seed, without); late <= 3 {
				t.Errorf("seed %d passes without it", seed)
			}
		})
	}
}
