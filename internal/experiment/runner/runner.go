// Package runner runs one experiment: a deployment, a workload, and what
// happens meanwhile, with a report at the end.
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
	Kept     func(ctx context.Context, s *stager.Stage, report reporter.Report) error // called with the report while the deployment still runs; may be nil
	Logger   log.Logger
	Plan     stager.Plan
	Progress func(done, total int, note string) // may be nil
	Staged   func(*stager.Stage)                // called when the deployment is ready; may be nil
	Workload sampler.Workload

	done    atomic.Int64
	note    atomic.Value
	stage   *stager.Stage
	mu      sync.Mutex
	stopped map[int]bool // instances that the balancer has taken out
	faults  []string     // of the settings
}

// An Event happens at a part of the workload's span.
type Event struct {
	At   float64 // 0 to 1
	Name string
	Do   func(ctx context.Context, r *Runner) error
}

// settleSpan is how long the revisions may take to arrive everywhere.
const settleSpan = 5 * time.Second

// Run sets the deployment up, sends the workload while the events happen, and
// reports.
func (r *Runner) Run(ctx context.Context) (reporter.Report, error) {
	calls, err := r.Workload.Draw()
	if err != nil {
		return reporter.Report{}, err
	}
	r.say("starting")
	stage, err := stager.Start(ctx, r.Plan, r.Logger)
	if err != nil {
		return reporter.Report{}, err
	}
	defer stage.Stop()
	r.stage = stage
	r.stopped = make(map[int]bool)
	if r.Staged != nil {
		r.Staged(stage)
	}
	results := r.send(ctx, calls)
	if err := ctx.Err(); err != nil {
		return reporter.Report{}, err
	}
	report := r.report(results)
	if r.Kept != nil {
		err = r.Kept(ctx, stage, report)
	}
	return report, err
}

// Stage returns the deployment that runs.
func (r *Runner) Stage() *stager.Stage { return r.stage }

// Take takes an instance out of the balancer or puts it back.
func (r *Runner) Take(instance int, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[instance] = out
}

// addresses are the entry addresses of each domain as the balancer knows them:
// an instance that says it is not ready gets nothing new.
func (r *Runner) addresses() [][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make([][]string, len(r.Plan.Domains))
	for i, instance := range r.stage.Instances {
		domain := slices.Index(r.Plan.Domains, instance.Server.Config.Domain)
		if ready, _ := instance.Server.Ready(); ready && !r.stopped[i] {
			addresses[domain] = append(addresses[domain], r.stage.Address(i))
		}
	}
	return addresses
}

func (r *Runner) report(results []sender.Result) reporter.Report {
	var engines []generator.Books
	for _, e := range r.stage.Engines {
		engines = append(engines, e.Books())
	}
	var calls []responder.Call
	for _, s := range r.stage.Services {
		calls = append(calls, s.Books()...)
	}
	audit := auditor.Audit{Calls: calls, Engines: engines, Results: results, Planned: true, Settings: r.faults}
	report := reporter.New(results, engines, r.retries())
	report.Promises = audit.Run()
	report.Faults = audit.Faults()
	return report
}

// retryLine is a counter of retries among an instance's metrics.
var retryLine = regexp.MustCompile(`(?m)^sardinetiller_retries_total\{reason="([^"]+)".*\} (\d+)$`)

func (r *Runner) retries() map[string]int {
	retries := make(map[string]int)
	for _, i := range r.stage.Instances {
		var b bytes.Buffer
		i.Server.Metrics.WritePrometheus(&b)
		for _, match := range retryLine.FindAllStringSubmatch(b.String(), -1) {
			n, _ := strconv.Atoi(match[2]) // the pattern has digits only
			if n > 0 {
				retries[match[1]] += n
			}
		}
	}
	return retries
}

func (r *Runner) say(note string) {
	r.note.Store(note)
	if r.Progress != nil {
		r.Progress(int(r.done.Load()), r.Workload.Calls, note)
	}
}

// send sends the workload while the events happen and the revisions are
// watched.
func (r *Runner) send(ctx context.Context, calls []sampler.Call) []sender.Result {
	watched, stop := context.WithCancel(ctx)
	defer stop()
	var aside sync.WaitGroup
	aside.Go(func() { r.watch(watched) })
	for _, e := range r.Events {
		aside.Go(func() { r.happen(ctx, e) })
	}
	s := sender.Sender{Addresses: r.addresses, Key: stager.Key, Service: r.Plan.Service, Seen: func(sender.Result) {
		done := int(r.done.Add(1))
		if note, ok := r.note.Load().(string); ok && r.Progress != nil {
			r.Progress(done, len(calls), note)
		}
	}}
	results := s.Run(ctx, calls)
	r.awaitRevision(ctx)
	stop()
	aside.Wait()
	return results
}

func (r *Runner) happen(ctx context.Context, e Event) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(e.At * float64(r.Workload.Span))):
	}
	r.say(e.Name)
	if err := e.Do(ctx, r); err != nil && ctx.Err() == nil {
		r.fault("%s: %v", e.Name, err)
	}
}

func (r *Runner) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// watch looks at the revision of every instance again and again: none may go
// back.
func (r *Runner) watch(ctx context.Context) {
	last := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, i := range r.instances() {
			revision := i.Server.Watcher.Revision()
			if revision < last[i.Server.Incarnation] {
				r.fault("%s went back from revision %d to %d", i.Server.Incarnation, last[i.Server.Incarnation], revision)
			}
			last[i.Server.Incarnation] = revision
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *Runner) instances() []*stager.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.stage.Instances)
}

// awaitRevision waits until the last accepted revision is in force everywhere.
func (r *Runner) awaitRevision(ctx context.Context) {
	want := r.stage.Revision()
	deadline := time.Now().Add(settleSpan)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r.everywhere(want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.fault("revision %d is not in force everywhere after %s", want, settleSpan)
}

func (r *Runner) everywhere(want uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, instance := range r.stage.Instances {
		if !r.stopped[i] && instance.Server.Watcher.Revision() != want {
			return false
		}
	}
	return true
}
