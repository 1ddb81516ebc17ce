package gatekeeper

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A scriptedEngine answers liveness probes from a script.
type scriptedEngine struct {
	Engine
	results []tracker.ProbeResult // the last one is repeated
	probes  int
}

func (e *scriptedEngine) Probe(context.Context, tracker.Runner) tracker.ProbeResult {
	e.probes++
	return e.results[min(e.probes, len(e.results))-1]
}

// Guards against false suspicions: responses break off for many reasons, and a request that is
// suspected three times is rejected. Only a runner that refuses connections, or that another
// incarnation has replaced, has crashed; a reset, a partition, a pause and a graceful shutdown are
// no crash.
func TestCrashDetection(t *testing.T) {
	const (
		unknown, alive, refuses, replaced = tracker.Unknown, tracker.Alive, tracker.Refuses, tracker.Replaced
	)
	for _, tc := range []struct {
		name    string
		results []tracker.ProbeResult
		before  func(g *Gatekeeper, r tracker.Runner) // called before the response breaks off
		after   func(g *Gatekeeper, r tracker.Runner) // called right after that
		want    bool
	}{
		{"the runner refuses connections", []tracker.ProbeResult{refuses}, nil, nil, true},
		{"no result while it dies, then refused", []tracker.ProbeResult{unknown, refuses}, nil, nil, true},
		{"another incarnation answers", []tracker.ProbeResult{replaced}, nil, nil, true},
		{"one connection reset, or response lost or corrupted", []tracker.ProbeResult{alive}, nil, nil, false},
		{"out of connections for a moment", []tracker.ProbeResult{refuses, alive}, nil, nil, false},
		{"network partition, or paused process", []tracker.ProbeResult{unknown}, nil, nil, false},
		{"occasional refusals on a bad network", []tracker.ProbeResult{refuses, unknown, refuses, unknown, alive}, nil, nil, false},
		{"shutdown announced before", []tracker.ProbeResult{refuses}, func(g *Gatekeeper, r tracker.Runner) {
			r.Leaving, r.Revision = true, 2
			g.setRunner(r, fromStore)
		}, nil, false},
		{"shutdown announced just after", []tracker.ProbeResult{refuses}, nil, func(g *Gatekeeper, r tracker.Runner) {
			r.Leaving, r.Revision = true, 2
			g.setRunner(r, fromStore)
		}, false},
		{"removed before", []tracker.ProbeResult{refuses}, func(g *Gatekeeper, r tracker.Runner) { g.removeRunnerNow(r.ID, r.Revision, fromStore, whyRow) }, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newDomainGatekeeper("a-1", "a")
				g.Engine = &scriptedEngine{results: tc.results}
				r := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
				g.setRunner(r, fromStore)
				if tc.before != nil {
					tc.before(g, r)
				}
				g.ReportBroken("d", nil, r, time.Now())
				if tc.after != nil {
					tc.after(g, r)
				}
				time.Sleep(probeTimeout + time.Second)
				synctest.Wait()
				if diff := cmp.Diff(tc.want, g.Suspects()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Guards against missed suspects and repeated probes. Twenty requests of one instance break off
// as a runner crashes, some later than others. All are suspected, the runner is probed once for
// all of them, and one that breaks off afterwards needs no further probe. A request that is sent
// to the crashed runner is no suspect.
func TestRunnerIsProbedOncePerCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("a-1", "a")
		engine := &scriptedEngine{results: []tracker.ProbeResult{tracker.Refuses}}
		g.Engine = engine
		r := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
		g.setRunner(r, fromStore)
		sent := time.Now()
		time.Sleep(time.Second)
		for n := range 20 {
			g.ReportBroken(quarantiner.Digest(rune('a'+n)), nil, r, sent)
		}
		time.Sleep(time.Second)
		g.ReportBroken("late", nil, r, sent)
		g.ReportBroken("sent after the crash", nil, r, time.Now())
		synctest.Wait()
		if got := len(g.quarantine.ledger.Cases()); got != 21 {
			t.Errorf("%d requests suspected, want 21", got)
		}
		if engine.probes != crashRefusals {
			t.Errorf("runner probed %d times, want %d", engine.probes, crashRefusals)
		}
		time.Sleep(crashRetention) // lets the timer run out
	})
}

// broken returns the run of a request that has just broken off.
func broken(d quarantiner.Digest, ran time.Duration) []brokenRun {
	return []brokenRun{{digest: d, sent: time.Now().Add(-ran), ran: ran}}
}

// Guards against a bad part that is not suspected as the other runs that broke off with it have as many parts as
// a header holds.
func TestCheckKeepsAllPartsOfItsRuns(t *testing.T) {
	const runs, parts = 64, 1400
	bad := quarantiner.DigestOfPart("llm", "bad")
	var checks crashChecks
	sent := time.Now()
	for run := range runs {
		var digests []quarantiner.Digest
		for part := range parts {
			digests = append(digests, quarantiner.DigestOfPart("llm", fmt.Sprint(run, part)))
		}
		checks.add("i-1", brokenRun{digest: quarantiner.Digest(fmt.Sprint(run)), parts: digests, sent: sent})
	}
	checks.add("i-1", brokenRun{digest: "d", parts: []quarantiner.Digest{bad}, sent: sent})
	kept := checks.end("i-1", true)
	if len(kept) != runs+1 || !slices.Contains(kept[runs].parts, bad) {
		t.Errorf("%d runs are kept, want %d", len(kept), runs+1)
	}
}

// Guards against requests that are quarantined as they were sent to runners that had crashed before:
// their instance had not noticed, but another one had.
func TestRequestSentAfterACrashIsNotSuspected(t *testing.T) {
	const (
		crashed  = time.Second // after the start, as another instance saw it
		reported = 1200 * time.Millisecond
	)
	for _, tc := range []struct {
		name   string
		sent   time.Duration
		broken time.Duration
		want   bool
	}{
		{"sent before the crash", 900 * time.Millisecond, crashed, true},
		{"sent after the crash", 1100 * time.Millisecond, 1101 * time.Millisecond, false},
		{"sent long after the crash, to a runner that was alive after all", crashRetention + 2*time.Second, crashRetention + 3*time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				g := newDomainGatekeeper("a-1", "a")
				g.Engine = &scriptedEngine{results: []tracker.ProbeResult{tracker.Refuses}}
				r := tracker.Runner{ID: "i-1", Domain: "a", Service: "llm", Revision: 1}
				g.setRunner(r, fromStore)
				time.AfterFunc(reported, func() {
					g.applyCrashReports([]quarantiner.CrashReport{{Digest: "culprit", Runner: r.ID, Age: reported - crashed}}, "front-2")
				})
				time.Sleep(tc.broken)
				g.ReportBroken("d", nil, r, began.Add(tc.sent))
				time.Sleep(time.Second)
				suspected := slices.ContainsFunc(g.quarantine.ledger.Cases(), func(c quarantiner.Case) bool { return c.Digest == "d" })
				if diff := cmp.Diff(tc.want, suspected); diff != "" {
					t.Error(diff)
				}
				time.Sleep(crashRetention) // lets the timer run out
			})
		})
	}
}
