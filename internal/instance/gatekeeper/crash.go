package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A connection that ends in the middle of a response is no proof of a crash: it may have been
// reset, the response may have been lost or corrupted, or the runner may have shut down
// gracefully. It is a crash if the runner then refuses connections or another incarnation has
// replaced it. So the instance that saw a response break off probes the runner at once.

const (
	// probePause is the pause before each probe of a runner. One that has just crashed may
	// still accept a connection for a moment.
	probePause = 80 * time.Millisecond
	// crashRefusals is how many consecutive probes must be refused before a runner counts as
	// crashed. A live runner that has run out of connections may refuse one.
	crashRefusals = 2
	// probeTimeout bounds the probes of a runner. One that does not respond for longer is not
	// treated as crashed, as a network partition looks the same.
	probeTimeout = 2 * time.Second
	// crashRetention is how long a crash is remembered for requests whose responses break off
	// later than others because of packet loss.
	crashRetention = 10 * time.Second
	// maxCheckRuns bounds the runs that wait for the result of one check. A runner runs up to 64 at once.
	maxCheckRuns = 512
)

// crashChecks finds out which runners have crashed. Its zero value is ready to use.
type crashChecks struct {
	mu       sync.Mutex
	byRunner map[string]*crashCheck // by runner ID
}

// A crashCheck finds out whether a runner has crashed.
type crashCheck struct {
	started time.Time   // when the first response broke off there
	crashed bool        // the runner has crashed; requests that break off there later are suspected at once
	runs    []brokenRun // that broke off there
}

// A brokenRun is the run of a request whose response broke off.
type brokenRun struct {
	digest quarantiner.Digest
	parts  []quarantiner.Digest // of its prompt, as far as they may have crashed the runner
	sent   time.Time
	ran    time.Duration
}

// add records that the response to a request sent at the given time broke off at a runner.
// begin reports that a check must be started, crashed that one has shown a crash.
//
// Requests that were sent after the first response broke off are not suspected. A runner
// that is down may appear to accept them, behind a proxy; requests that were sent to three
// such runners before their rows were deleted were rejected permanently.
func (c *crashChecks) add(runner string, run brokenRun) (begin, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.byRunner == nil {
		c.byRunner = make(map[string]*crashCheck)
	}
	check, ok := c.byRunner[runner]
	if !ok {
		check = &crashCheck{started: now}
		c.byRunner[runner] = check
	}
	if run.sent.After(check.started) {
		return false, false
	}
	if !check.crashed && len(check.runs) < maxCheckRuns {
		check.runs = append(check.runs, run)
	}
	return !ok, check.crashed
}

// end ends a check and returns the runs that waited for it. A check that showed a crash
// is kept for requests that break off late.
func (c *crashChecks) end(runner string, crashed bool) []brokenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.byRunner[runner]
	runs := check.runs
	check.crashed, check.runs = crashed, nil
	if crashed {
		time.AfterFunc(crashRetention, func() { c.forget(runner) })
	} else {
		delete(c.byRunner, runner)
	}
	return runs
}

// down reports whether a runner has crashed or is being checked.
func (c *crashChecks) down(runner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, checked := c.byRunner[runner]
	return checked
}

func (c *crashChecks) forget(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byRunner, runner)
}

// Down implements forwarder.Quarantine.
func (g *Gatekeeper) Down(runner string) bool { return g.crashes.down(runner) }

// ReportBroken implements forwarder.Quarantine.
func (g *Gatekeeper) ReportBroken(d quarantiner.Digest, parts []quarantiner.Digest, runner tracker.Runner, sent time.Time) {
	if g.stopsGracefully(runner) {
		return
	}
	run := brokenRun{d, parts, sent, time.Since(sent)}
	begin, crashed := g.crashes.add(runner.ID, run)
	switch {
	case crashed:
		g.suspect(runner.ID, []brokenRun{run})
	case begin:
		go g.checkRunner(runner)
	}
}

// stopsGracefully reports whether a runner is shutting down gracefully, or has been removed.
func (g *Gatekeeper) stopsGracefully(runner tracker.Runner) bool {
	_, known := g.Fleet.Get(runner.ID)
	return !known || g.Fleet.Leaving(runner.ID)
}

// checkRunner finds out whether a runner has crashed, and if so suspects the requests that broke
// off there.
func (g *Gatekeeper) checkRunner(runner tracker.Runner) {
	began := time.Now()
	result := g.probeLiveness(runner)
	crashed := (result == tracker.Refuses || result == tracker.Replaced) && !g.Fleet.Leaving(runner.ID)
	runs := g.crashes.end(runner.ID, crashed)
	g.Recorder.Log(recorder.Suspect, "msg", "runner checked", "runner", runner.ID, "life", result, "crashed", crashed,
		"requests", len(runs), "took", time.Since(began))
	if crashed {
		g.suspect(runner.ID, runs)
	}
}

// probeLiveness probes a runner until it is clear whether it is alive, or until probeTimeout is
// over.
func (g *Gatekeeper) probeLiveness(runner tracker.Runner) tracker.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refused := 0
	for {
		pause(ctx, probePause)
		if ctx.Err() != nil {
			return tracker.Unknown
		}
		switch result := g.Engine.Probe(ctx, runner); result {
		case tracker.Alive, tracker.Replaced:
			return result
		case tracker.Refuses:
			refused++
			if refused >= crashRefusals {
				return result
			}
		default:
			refused = 0
		}
	}
}
