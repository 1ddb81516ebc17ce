// Package auditor compares what the callers saw with the books of the
// stand-ins and counts, for each promise, how often it was broken. It never
// looks at the system's own counters.
package auditor

import (
	"fmt"
	"strings"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
)

// Promises are the violations of each promise.
type Promises struct {
	Version  int `json:"version"`  // a run or an answer of another adapter or version
	Pinned   int `json:"pinned"`   // an eviction under a running request
	Whole    int `json:"whole"`    // an answer that is not whole, or another caller's
	NotRun   int `json:"notrun"`   // told not_run and run all the same
	Once     int `json:"once"`     // run twice though marked
	Leaving  int `json:"leaving"`  // new work to an upstream that leaves
	Graceful int `json:"graceful"` // a request cut off by a planned stop
	Settings int `json:"settings"` // a revision that went back or did not arrive
}

// Total returns the violations of all promises.
func (p *Promises) Total() int {
	return p.Version + p.Pinned + p.Whole + p.NotRun + p.Once + p.Leaving + p.Graceful + p.Settings
}

// An Audit is what there is to compare. Its fields are set before Run.
type Audit struct {
	Calls    []responder.Call  // of the plain services
	Engines  []generator.Books // by engine
	Results  []sender.Result
	Planned  bool     // every stop was planned, so no request may be cut off
	Settings []string // faults that watching the revisions found

	faults []string
	runs   map[string][]run // by what the caller said
}

// A run is one execution of a call, by an engine or a service.
type run struct {
	adapter string
}

// leavingGrace is how long an upstream that leaves may still be given work.
const leavingGrace = 3 * time.Second

// Faults returns a line for each violation that Run found.
func (a *Audit) Faults() []string { return a.faults }

// Run counts the violations.
func (a *Audit) Run() Promises {
	a.index()
	p := Promises{Settings: len(a.Settings)}
	a.faults = append(a.faults, a.Settings...)
	for i := range a.Results {
		a.result(&a.Results[i], &p)
	}
	for i := range a.Engines {
		a.engine(&a.Engines[i], &p)
	}
	return p
}

func (a *Audit) engine(b *generator.Books, p *Promises) {
	p.Pinned += len(b.Under)
	for _, u := range b.Under {
		a.fault("%s was evicted with fencing number %#x under %s, which had run for %s", u.Handle, u.Fence, u.Marker, u.Age)
	}
	if b.Left.IsZero() {
		return
	}
	for _, r := range b.Runs {
		if r.Began.After(b.Left.Add(leavingGrace)) {
			p.Leaving++
			a.fault("%s began %s after its engine said that it leaves", r.Marker, r.Began.Sub(b.Left))
		}
	}
}

func (a *Audit) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}

// index gathers the runs of each call by what the caller said.
func (a *Audit) index() {
	a.runs = make(map[string][]run)
	for _, b := range a.Engines {
		for _, r := range b.Runs {
			a.runs[r.Marker] = append(a.runs[r.Marker], run{adapter: r.Adapter})
		}
	}
	for _, c := range a.Calls {
		marker := c.Path[strings.LastIndexByte(c.Path, '/')+1:]
		a.runs[marker] = append(a.runs[marker], run{})
	}
}

func (a *Audit) result(r *sender.Result, p *Promises) {
	runs := a.runs[r.Call.Marker]
	for _, run := range runs {
		if run.adapter != r.Call.Adapter {
			p.Version++
			a.fault("%s asked for %s and ran on %s", r.Call.Marker, r.Call.Adapter, run.adapter)
		}
	}
	if r.Call.Once && len(runs) > 1 {
		p.Once++
		a.fault("%s ran %d times", r.Call.Marker, len(runs))
	}
	if r.Verdict == judge.NotRun && len(runs) > 0 {
		p.NotRun++
		a.fault("%s was told not_run (%s) and ran %d times", r.Call.Marker, r.Reason, len(runs))
	}
	if r.Whole && r.Call.Adapter != "" {
		a.answer(r, p)
	}
	if a.Planned && cutOff(r) {
		p.Graceful++
		a.fault("%s was cut off %s after it was sent at %s to %s: %s %s %s", r.Call.Marker, r.Took.Round(time.Millisecond),
			r.Sent.Format(time.TimeOnly), r.Runner, r.Verdict, r.Reason, r.Err)
	}
}

// answer checks that an answer is whole, the caller's own, and of the adapter
// that it named.
func (a *Audit) answer(r *sender.Result, p *Promises) {
	var want strings.Builder
	for i := range r.Call.Tokens {
		fmt.Fprintf(&want, "%s|%s:%d/%d ", r.Call.Adapter, r.Call.Marker, i+1, r.Call.Tokens)
	}
	if r.Text == want.String() {
		return
	}
	if !strings.HasPrefix(r.Text, r.Call.Adapter+"|") {
		p.Version++
		a.fault("%s asked for %s and got %.60q", r.Call.Marker, r.Call.Adapter, r.Text)
		return
	}
	p.Whole++
	a.fault("%s got %.60q as a whole answer", r.Call.Marker, r.Text)
}

// cutOff reports whether a request ended because an instance stopped: it was
// cut in flight, or refused for it.
func cutOff(r *sender.Result) bool {
	switch {
	case r.Whole:
		return false
	case r.Verdict == judge.NotRun:
		return r.Reason == judge.ReasonStopping || r.Reason == judge.ReasonOwner || r.Reason == judge.ReasonPeer
	default:
		return r.Reason != judge.ReasonDeadline && r.Reason != judge.ReasonDuplicate
	}
}
