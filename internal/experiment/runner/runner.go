// Package runner runs one experiment: it starts a deployment, sends a workload,
// triggers events meanwhile and reports the results.
package runner

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/sardinetiller/sardinetiller/internal/experiment/auditor"
	"github.com/sardinetiller/sardinetiller/internal/experiment/reporter"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
)

// A Runner runs one experiment. Its fields are set before Run.
type Runner struct {
	Events   []Event
	OnReport func(ctx context.Context, d *stager.Deployment, report reporter.Report) error // called with the report before the deployment is stopped; may be nil
	Logger   log.Logger
	Plan     stager.Plan
	Progress func(done, total int, note string) // may be nil
	OnReady  func(*stager.Deployment)           // called when the deployment is ready; may be nil
	Workload sampler.Workload

	done               atomic.Int64
	note               atomic.Value
	deployment         *stager.Deployment
	mu                 sync.Mutex
	outOfRotation      map[int]bool // instances that the balancer does not use, by index
	settingsViolations []string     // reverted or missing revisions, and failed events
}

// An Event is triggered at a fraction of the workload's span.
type Event struct {
	At   float64 // fraction of the span, 0 to 1
	Name string
	Do   func(ctx context.Context, r *Runner) error
}

// revisionTimeout is how long the last revision may take to reach all instances.
const revisionTimeout = 5 * time.Second

// Run starts the deployment, sends the workload while the events are triggered, and
// returns the report.
func (r *Runner) Run(ctx context.Context) (reporter.Report, error) {
	calls, err := r.Workload.Draw()
	if err != nil {
		return reporter.Report{}, err
	}
	r.setNote("starting")
	deployment, err := stager.Start(ctx, r.Plan, r.Logger)
	if err != nil {
		return reporter.Report{}, err
	}
	defer deployment.Stop()
	r.deployment = deployment
	r.outOfRotation = make(map[int]bool)
	if r.OnReady != nil {
		r.OnReady(deployment)
	}
	results := r.runWorkload(ctx, calls)
	if err := ctx.Err(); err != nil {
		return reporter.Report{}, err
	}
	report := r.buildReport(results)
	if r.OnReport != nil {
		err = r.OnReport(ctx, deployment, report)
	}
	return report, err
}

// Deployment returns the running deployment.
func (r *Runner) Deployment() *stager.Deployment { return r.deployment }

// SetOutOfRotation removes an instance from the balancer's rotation or adds it back.
func (r *Runner) SetOutOfRotation(instance int, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outOfRotation[instance] = out
}

// addresses returns the caller addresses in rotation at the balancer, by domain. An
// instance that reports that it is not ready receives no new requests.
func (r *Runner) addresses() [][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make([][]string, len(r.Plan.Domains))
	for i, instance := range r.deployment.Instances {
		domain := slices.Index(r.Plan.Domains, instance.Server.Config.Domain)
		if ready, _ := instance.Server.Ready(); ready && !r.outOfRotation[i] {
			addresses[domain] = append(addresses[domain], r.deployment.Address(i))
		}
	}
	return addresses
}

func (r *Runner) buildReport(results []sender.Result) reporter.Report {
	var engines []generator.Record
	for _, e := range r.deployment.Engines {
		engines = append(engines, e.Record())
	}
	var calls []responder.Call
	for _, s := range r.deployment.Services {
		calls = append(calls, s.Calls()...)
	}
	audit := auditor.Audit{Calls: calls, Engines: engines, Results: results, Planned: true, Settings: r.settingsViolations}
	report := reporter.New(results, engines, r.retries())
	report.Violations = audit.Run()
	report.Details = audit.Details()
	return report
}

// retryLine matches a counter of retries in the metrics of an instance.
var retryLine = regexp.MustCompile(`(?m)^sardinetiller_retries_total\{reason="([^"]+)".*\} (\d+)$`)

func (r *Runner) retries() map[string]int {
	retries := make(map[string]int)
	for _, i := range r.deployment.Instances {
		var b bytes.Buffer
		i.Server.Metrics.WritePrometheus(&b)
		for _, match := range retryLine.FindAllStringSubmatch(b.String(), -1) {
			n, _ := strconv.Atoi(match[2]) // the pattern matches only digits
			if n > 0 {
				retries[match[1]] += n
			}
		}
	}
	return retries
}

func (r *Runner) setNote(note string) {
	r.note.Store(note)
	if r.Progress != nil {
		r.Progress(int(r.done.Load()), r.Workload.Calls, note)
	}
}

// runWorkload sends the workload while it triggers the events and watches the
// settings revisions.
func (r *Runner) runWorkload(ctx context.Context, calls []sampler.Call) []sender.Result {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { r.watchRevisions(watchCtx) })
	for _, e := range r.Events {
		background.Go(func() { r.runEvent(ctx, e) })
	}
	s := sender.Sender{Addresses: r.addresses, Key: stager.Key, Service: r.Plan.Service, OnResult: func(sender.Result) {
		done := int(r.done.Add(1))
		if note, ok := r.note.Load().(string); ok && r.Progress != nil {
			r.Progress(done, len(calls), note)
		}
	}}
	results := s.Run(ctx, calls)
	r.awaitRevision(ctx)
	stop()
	background.Wait()
	return results
}

func (r *Runner) runEvent(ctx context.Context, e Event) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(e.At * float64(r.Workload.Span))):
	}
	r.setNote(e.Name)
	if err := e.Do(ctx, r); err != nil && ctx.Err() == nil {
		r.addViolation("%s: %v", e.Name, err)
	}
}

func (r *Runner) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settingsViolations = append(r.settingsViolations, fmt.Sprintf(format, args...))
}

// watchRevisions polls the settings revision of every instance. It must never
// decrease.
func (r *Runner) watchRevisions(ctx context.Context) {
	last := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, i := range r.instances() {
			revision := i.Server.Watcher.Revision()
			if revision < last[i.Server.Incarnation] {
				r.addViolation("%s went back from revision %d to %d", i.Server.Incarnation, last[i.Server.Incarnation], revision)
			}
			last[i.Server.Incarnation] = revision
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *Runner) instances() []*stager.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.deployment.Instances)
}

// awaitRevision waits until the last applied revision is active at all instances.
func (r *Runner) awaitRevision(ctx context.Context) {
	want := r.deployment.Revision()
	deadline := time.Now().Add(revisionTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r.allAtRevision(want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.addViolation("revision %d is not active at all instances after %s", want, revisionTimeout)
}

func (r *Runner) allAtRevision(want uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, instance := range r.deployment.Instances {
		if !r.outOfRotation[i] && instance.Server.Watcher.Revision() != want {
			return false
		}
	}
	return true
}
