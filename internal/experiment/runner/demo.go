package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
)

// Demo returns the experiment of the demo command: a shift change at one of the
// predefined deployments, while the settings change, an engine drains and an
// entry instance is replaced.
func Demo(deployment string, seed uint64) (*Runner, error) {
	plan, err := stager.PlanFor(deployment)
	if err != nil {
		return nil, err
	}
	return &Runner{
		Plan: plan,
		Workload: sampler.Workload{
			Adapters: plan.Adapters, Away: 0.05, Calls: 2000, Group: "desk", Near: 0.1, Once: 0.2, Plain: 0.1, Seed: seed,
			Shape: sampler.Shift, Skew: 1.5, Span: 15 * time.Second, Tokens: 24, Versions: 2,
		},
		Events: []Event{
			{At: 0.25, Name: "the settings change", Do: changeSettings},
			{At: 0.45, Name: "an engine leaves", Do: drainEngine},
			{At: 0.6, Name: "an instance is replaced", Do: replaceInstance},
		},
	}, nil
}

func changeSettings(ctx context.Context, r *Runner) error {
	p := r.Plan
	root := fmt.Appendf(nil, "kind: root\nvalues: %s\nweights: {rate: %v, together: %d}\n# changed\n", p.Values, p.Rate*p.Speed, p.Together)
	_, err := r.deployment.Apply(ctx, "root.yaml", root)
	return err
}

func drainEngine(_ context.Context, r *Runner) error {
	r.deployment.Engines[0].Set(generator.Faults{Leaving: true})
	return nil
}

// replaceInstance starts an additional instance in the first domain and gracefully
// stops another one there.
func replaceInstance(_ context.Context, r *Runner) error {
	instance, err := r.deployment.Launch(r.Plan.Domains[0]+"-9", r.Plan.Domains[0])
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.deployment.Instances = append(r.deployment.Instances, instance)
	replaced := r.deployment.Instances[0]
	r.mu.Unlock()
	replaced.Stop()
	r.SetOutOfRotation(0, true)
	return nil
}
