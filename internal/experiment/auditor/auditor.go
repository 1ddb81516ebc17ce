// Package auditor compares what the callers saw with the records of the stand-ins
// and counts the violations of each invariant. It does not use the system's own
// metrics.
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

// Violations counts, for each invariant, how often it was violated.
type Violations struct {
	Version  int `json:"version"`  // executed or answered by another adapter or version
	Pinned   int `json:"pinned"`   // adapter evicted while it ran a request
	Complete int `json:"whole"`    // response truncated or of another caller
	NotRun   int `json:"notrun"`   // executed although the caller was told not_run
	Once     int `json:"once"`     // executed more than once although marked X-Once
	Leaving  int `json:"leaving"`  // request accepted by an upstream that drains
	Graceful int `json:"graceful"` // request aborted or rejected because of a planned stop
	Settings int `json:"settings"` // revision that went back or did not reach all instances
}

// Total returns the violations of all invariants.
func (v *Violations) Total() int {
	return v.Version + v.Pinned + v.Complete + v.NotRun + v.Once + v.Leaving + v.Graceful + v.Settings
}

// An Audit compares results with records. Its fields are set before Run.
type Audit struct {
	Calls    []responder.Call   // of the plain services
	Engines  []generator.Record // one per engine
	Results  []sender.Result
	Planned  bool     // all stops were planned, so no request may be aborted
	Settings []string // violations found while watching the settings revisions

	details    []string
	executions map[string][]execution // by marker
}

// An execution is one execution of a call by an engine or a plain service.
type execution struct {
	adapter string
}

// leavingGrace is how long an upstream that drains may still receive requests.
const leavingGrace = 3 * time.Second

// Details returns one line for each violation that Run found.
func (a *Audit) Details() []string { return a.details }

// Run counts the violations.
func (a *Audit) Run() Violations {
	a.indexExecutions()
	v := Violations{Settings: len(a.Settings)}
	a.details = append(a.details, a.Settings...)
	for i := range a.Results {
		a.checkResult(&a.Results[i], &v)
	}
	for i := range a.Engines {
		a.checkEngine(&a.Engines[i], &v)
	}
	return v
}

func (a *Audit) checkEngine(record *generator.Record, v *Violations) {
	v.Pinned += len(record.EvictedInUse)
	for _, u := range record.EvictedInUse {
		a.addDetail("%s was evicted with fencing token %#x while it served %s, accepted %s before", u.Handle, u.Fence, u.Marker, u.RequestAge)
	}
	if record.LeavingSince.IsZero() {
		return
	}
	for _, r := range record.Runs {
		if r.AcceptedAt.After(record.LeavingSince.Add(leavingGrace)) {
			v.Leaving++
			a.addDetail("%s was accepted %s after its engine reported that it drains", r.Marker, r.AcceptedAt.Sub(record.LeavingSince))
		}
	}
}

func (a *Audit) addDetail(format string, args ...any) {
	a.details = append(a.details, fmt.Sprintf(format, args...))
}

// indexExecutions groups the executions by the marker of their call.
func (a *Audit) indexExecutions() {
	a.executions = make(map[string][]execution)
	for _, record := range a.Engines {
		for _, r := range record.Runs {
			a.executions[r.Marker] = append(a.executions[r.Marker], execution{adapter: r.Adapter})
		}
	}
	for _, c := range a.Calls {
		marker := c.Path[strings.LastIndexByte(c.Path, '/')+1:]
		a.executions[marker] = append(a.executions[marker], execution{})
	}
}

func (a *Audit) checkResult(r *sender.Result, v *Violations) {
	executions := a.executions[r.Call.Marker]
	for _, run := range executions {
		if run.adapter != r.Call.Adapter {
			v.Version++
			a.addDetail("%s asked for %s and ran on %s", r.Call.Marker, r.Call.Adapter, run.adapter)
		}
	}
	if r.Call.Once && len(executions) > 1 {
		v.Once++
		a.addDetail("%s ran %d times", r.Call.Marker, len(executions))
	}
	if r.Verdict == judge.NotRun && len(executions) > 0 {
		v.NotRun++
		a.addDetail("%s was told not_run (%s) and ran %d times", r.Call.Marker, r.Reason, len(executions))
	}
	if r.Complete && r.Call.Adapter != "" {
		a.checkResponse(r, v)
	}
	if a.Planned && cutOff(r) {
		v.Graceful++
		a.addDetail("%s was aborted or rejected %s after it was sent at %s to %s: %s %s %s", r.Call.Marker, r.Duration.Round(time.Millisecond),
			r.SentAt.Format(time.TimeOnly), r.Runner, r.Verdict, r.Reason, r.Err)
	}
}

// checkResponse checks that a response is complete, belongs to the caller, and was
// given by the adapter that the caller named.
func (a *Audit) checkResponse(r *sender.Result, v *Violations) {
	var want strings.Builder
	for i := range r.Call.Tokens {
		fmt.Fprintf(&want, "%s|%s:%d/%d ", r.Call.Adapter, r.Call.Marker, i+1, r.Call.Tokens)
	}
	if r.Text == want.String() {
		return
	}
	if !strings.HasPrefix(r.Text, r.Call.Adapter+"|") {
		v.Version++
		a.addDetail("%s asked for %s and got %.60q", r.Call.Marker, r.Call.Adapter, r.Text)
		return
	}
	v.Complete++
	a.addDetail("%s got %.60q as a complete response", r.Call.Marker, r.Text)
}

// cutOff reports whether a request failed because an instance stopped: it was
// aborted in flight, or rejected for that reason.
func cutOff(r *sender.Result) bool {
	switch {
	case r.Complete:
		return false
	case r.Verdict == judge.NotRun:
		return r.Reason == judge.ReasonStopping || r.Reason == judge.ReasonOwner || r.Reason == judge.ReasonPeer
	default:
		return r.Reason != judge.ReasonDeadline && r.Reason != judge.ReasonDuplicate
	}
}
