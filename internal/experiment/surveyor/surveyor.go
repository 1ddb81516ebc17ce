// Package surveyor measures what grows with what: the control cost of an
// instance over peers and over runners, the cost of a request, the cost of a
// change of the settings. docs/CAPACITY.md extrapolates from its slopes.
//
// Everything runs in this process, instances and stand-ins together, so that
// processor time and memory for each instance are upper bounds.
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

// A Surveyor measures. Its fields are set before use.
type Surveyor struct {
	Span     time.Duration // of each point
	Progress func(name string, x float64)
}

// metrics reads each figure of a point.
var metrics = map[string]func(p *Point) float64{
	"cpu":     func(p *Point) float64 { return p.CPU },
	"memory":  func(p *Point) float64 { return p.Memory },
	"peers":   func(p *Point) float64 { return p.Peers },
	"reads":   func(p *Point) float64 { return p.Reads },
	"commits": func(p *Point) float64 { return p.Commits },
	"bytes":   func(p *Point) float64 { return p.Bytes },
}

// Peers measures an idle instance over the instances of its failure domain.
func (s *Surveyor) Peers(ctx context.Context, counts []int) (Slope, error) {
	return s.measureIdle(ctx, "control over peers", "instances in the domain", counts, func(n int) stager.Plan {
		return plan(n, 2)
	})
}

// Runners measures an idle instance over the runners of its failure domain,
// with ten instances.
func (s *Surveyor) Runners(ctx context.Context, counts []int) (Slope, error) {
	const instances = 10
	return s.measureIdle(ctx, "control over runners", "runners in the domain", counts, func(n int) stager.Plan {
		return plan(instances, n)
	})
}

// Requests measures two instances over the requests a second that they serve.
// What callers and engines use for the same requests without the system is
// taken off.
func (s *Surveyor) Requests(ctx context.Context, rates []int) (Slope, error) {
	return s.measureTraffic(ctx, "requests", "requests a second, 8 tokens each", rates, func(x int) sampler.Workload {
		return s.workload(x, 8)
	})
}

// Tokens measures two instances over the tokens a second that they pass on, at
// 20 requests a second.
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
		p.Speed = 10 // a token every 2.5 ms, so that requests end
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

// Changes measures four instances over changes of one file of the settings a
// second.
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

// workload draws requests for a few adapters, so that nothing but the path is
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
			return fmt.Errorf("a request was not answered: %s %s", r.Reason, r.Err)
		}
	}
	return nil
}

// directCPU returns the processor time a second of callers and engines that do the
// same work without the system between them.
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

// warmUp lets links, leases and first reports pass before the measurement.
const warmUp = 4 * time.Second

// measurePoint measures one size. Off is the processor time a second of what is not an
// instance, which is taken off.
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

// standinCPU returns the processor time a second of the stand-ins alone.
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

// plan is one failure domain with the times that a daemon has by default.
func plan(instances, runners int) stager.Plan {
	return stager.Plan{
		Name: fmt.Sprintf("%d instances, %d runners", instances, runners), Account: "survey", Adapters: 20000, Batch: 8,
		Beat: time.Second, Domains: []string{"a"}, Engine: "engine", Engines: runners, Fencing: true, Instances: instances,
		Lease: 10 * time.Second, Poll: 2 * time.Second, Rate: 1000, Service: "plain", Services: 1, Slots: 8, Speed: 1,
		Together: 8, Values: "{}",
	}
}
