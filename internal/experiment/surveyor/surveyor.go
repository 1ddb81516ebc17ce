// Package surveyor measures how the cost of an instance scales: its idle cost with
// the number of peers and of runners, the cost of requests and tokens, and the cost
// of changes of the settings. docs/CAPACITY.md extrapolates from its slopes.
//
// Instances and stand-ins all run in this process, so processor time and memory per
// instance are upper bounds.
package surveyor

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
)

// A Surveyor runs the measurements. Its fields are set before use.
type Surveyor struct {
	Span     time.Duration // duration of the measurement of each point
	Progress func(name string, x float64)
}

// metrics maps the name of each metric to a function that returns its value at a point.
var metrics = map[string]func(p *Point) float64{
	"cpu":     func(p *Point) float64 { return p.CPU },
	"memory":  func(p *Point) float64 { return p.Memory },
	"peers":   func(p *Point) float64 { return p.Peers },
	"reads":   func(p *Point) float64 { return p.Reads },
	"commits": func(p *Point) float64 { return p.Commits },
	"bytes":   func(p *Point) float64 { return p.Bytes },
}

// Peers measures idle instances against the number of instances in their failure
// domain.
func (s *Surveyor) Peers(ctx context.Context, counts []int) (Slope, error) {
	return s.measureIdle(ctx, "control over peers", "instances in the domain", counts, func(n int) stager.Plan {
		return plan(n, 2)
	})
}

// Runners measures ten idle instances against the number of runners in their failure
// domain.
func (s *Surveyor) Runners(ctx context.Context, counts []int) (Slope, error) {
	const instances = 10
	return s.measureIdle(ctx, "control over runners", "runners in the domain", counts, func(n int) stager.Plan {
		return plan(instances, n)
	})
}

// Requests measures two instances against the number of requests per second. The
// processor time that callers and engines use for the same requests without
// instances in between is subtracted.
func (s *Surveyor) Requests(ctx context.Context, rates []int) (Slope, error) {
	return s.measureTraffic(ctx, "requests", "requests a second, 8 tokens each", rates, func(x int) sampler.Workload {
		return s.workload(x, 8)
	})
}

// Tokens measures two instances against the number of tokens per second that they
// forward, at 20 requests per second.
func (s *Surveyor) Tokens(ctx context.Context, rates []int) (Slope, error) {
	const requests = 20
	return s.measureTraffic(ctx, "tokens", "tokens a second, 20 requests a second", rates, func(x int) sampler.Workload {
		return s.workload(requests, x/requests)
	})
}

func (s *Surveyor) measureTraffic(ctx context.Context, name, over string, xs []int, workloadFor func(x int) sampler.Workload) (Slope, error) {
	slope := Slope{Name: name, Over: over}
	for _, x := range xs {
		w := workloadFor(x)
		p := plan(2, 4)
		p.Speed = 10 // one token every 2.5 ms, so that the requests complete in time
		baseline, err := s.directCPU(ctx, p, w)
		if err != nil {
			return slope, err
		}
		point, err := s.measurePoint(ctx, p, float64(x), baseline, func(ctx context.Context, deployment *stager.Deployment) error {
			return sendWorkload(ctx, w, []string{deployment.Address(0), deployment.Address(1)})
		})
		if err != nil {
			return slope, err
		}
		slope.Points = append(slope.Points, point)
	}
	slope.fit()
	return slope, nil
}

// Changes measures four instances against the number of changes per second of one
// settings file.
func (s *Surveyor) Changes(ctx context.Context, rates []int) (Slope, error) {
	slope := Slope{Name: "changes of the settings", Over: "changes a second"}
	for _, r := range rates {
		point, err := s.measurePoint(ctx, plan(4, 2), float64(r), 0, func(ctx context.Context, deployment *stager.Deployment) error {
			return s.applyChanges(ctx, deployment, r)
		})
		if err != nil {
			return slope, err
		}
		slope.Points = append(slope.Points, point)
	}
	slope.fit()
	return slope, nil
}

func (s *Surveyor) applyChanges(ctx context.Context, deployment *stager.Deployment, rate int) error {
	begin := time.Now()
	for i := range rate * int(s.Span/time.Second) {
		text := fmt.Appendf(nil, "kind: account\nname: other\nvalues: {deadline: %dms}\n", 1000+i)
		if _, err := deployment.Apply(ctx, "other.yaml", text); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	time.Sleep(time.Until(begin.Add(s.Span)))
	return nil
}

// workload returns a workload on few adapters, so that only the request path is
// measured.
func (s *Surveyor) workload(rate, tokens int) sampler.Workload {
	return sampler.Workload{
		Adapters: 8, Calls: max(1, rate*int(s.Span/time.Second)), Group: "desk", Seed: 1, Shape: sampler.Zipf,
		Skew: 1.1, Span: s.Span, Tokens: tokens, Versions: 1,
	}
}

func sendWorkload(ctx context.Context, w sampler.Workload, addresses []string) error {
	calls, err := w.Draw()
	if err != nil {
		return err
	}
	for i := range calls {
		calls[i].Stream = true
	}
	send := sender.Sender{Addresses: func() [][]string { return [][]string{addresses} }, Key: stager.Key}
	for _, r := range send.Run(ctx, calls) {
		if !r.Complete {
			return fmt.Errorf("a request got no complete response: %s %s", r.Reason, r.Err)
		}
	}
	return nil
}

// directCPU returns the processor time per second of callers and engines that do the
// same work without instances in between.
func (s *Surveyor) directCPU(ctx context.Context, p stager.Plan, w sampler.Workload) (float64, error) {
	p.Instances = 0
	deployment, err := stager.Start(ctx, p, log.NewNopLogger())
	if err != nil {
		return 0, err
	}
	defer deployment.Stop()
	engine := caller.Client{Timeout: 10 * time.Second}
	var addresses []string
	for _, e := range deployment.Engines {
		address := e.Listener.Addr().String()
		addresses = append(addresses, address)
		for i := range w.Adapters {
			name := fmt.Sprintf("%s-%d@1", w.Group, i)
			engine.Order(ctx, address, keeper.Load{Handle: keeper.ParseHandle(name)})
		}
	}
	before := takeSample(deployment)
	if err := sendWorkload(ctx, w, addresses); err != nil {
		return 0, err
	}
	after := takeSample(deployment)
	return (after.cpu - before.cpu) / after.at.Sub(before.at).Seconds(), nil
}

func (s *Surveyor) measureIdle(ctx context.Context, name, over string, counts []int, planFor func(n int) stager.Plan) (Slope, error) {
	slope := Slope{Name: name, Over: over}
	for _, n := range counts {
		bare := planFor(n)
		bare.Instances = 0
		baseline, err := s.standinCPU(ctx, bare)
		if err != nil {
			return slope, err
		}
		point, err := s.measurePoint(ctx, planFor(n), float64(n), baseline, func(ctx context.Context, _ *stager.Deployment) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(s.Span):
				return nil
			}
		})
		if err != nil {
			return slope, err
		}
		slope.Points = append(slope.Points, point)
	}
	slope.fit()
	return slope, nil
}

// warmUp is how long links, leases and first reports may take before a measurement.
const warmUp = 4 * time.Second

// measurePoint measures one point. It subtracts baselineCPU, the processor time per
// second of everything but the instances.
func (s *Surveyor) measurePoint(ctx context.Context, p stager.Plan, x, baselineCPU float64, do func(context.Context, *stager.Deployment) error) (Point, error) {
	if s.Progress != nil {
		s.Progress(p.Name, x)
	}
	deployment, err := stager.Start(ctx, p, log.NewNopLogger())
	if err != nil {
		return Point{}, err
	}
	defer deployment.Stop()
	time.Sleep(warmUp)
	before := takeSample(deployment)
	if err := do(ctx, deployment); err != nil {
		return Point{}, err
	}
	after := takeSample(deployment)
	return before.pointTo(after, baselineCPU, x, float64(p.Instances)), nil
}

// standinCPU returns the processor time per second of the stand-ins alone.
func (s *Surveyor) standinCPU(ctx context.Context, p stager.Plan) (float64, error) {
	deployment, err := stager.Start(ctx, p, log.NewNopLogger())
	if err != nil {
		return 0, err
	}
	defer deployment.Stop()
	before := takeSample(deployment)
	time.Sleep(s.Span / 2)
	after := takeSample(deployment)
	return (after.cpu - before.cpu) / after.at.Sub(before.at).Seconds(), nil
}

// plan returns one failure domain with the default lease, heartbeat and poll times of
// a daemon.
func plan(instances, runners int) stager.Plan {
	return stager.Plan{
		Name: fmt.Sprintf("%d instances, %d runners", instances, runners), Account: "survey", Adapters: 20000, Batch: 8,
		Beat: time.Second, Domains: []string{"a"}, Engine: "engine", Engines: runners, Fencing: true, Instances: instances,
		Lease: 10 * time.Second, Poll: 2 * time.Second, Rate: 1000, Service: "plain", Services: 1, Slots: 8, Speed: 1,
		Together: 8, Values: "{}",
	}
}
