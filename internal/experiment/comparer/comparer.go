// Package comparer runs one experiment under several policies, workload shapes and
// seeds and tabulates the results.
package comparer

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"github.com/sardinetiller/sardinetiller/internal/experiment/reporter"
	"github.com/sardinetiller/sardinetiller/internal/experiment/runner"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/setting/decoder"
)

// A Description defines the experiment. It is read from a YAML file.
type Description struct {
	Deployment string           `yaml:"deployment"`
	Parallel   int              `yaml:"parallel"` // number of concurrent runs
	Policies   []Policy         `yaml:"policies"`
	Seeds      []uint64         `yaml:"seeds"`
	Shapes     []sampler.Shape  `yaml:"shapes"`
	Workload   sampler.Workload `yaml:"workload"`
}

// A Policy combines a routing policy with an eviction policy.
type Policy struct {
	Name     string `yaml:"name"`
	Evict    string `yaml:"evict"`    // heat or lru
	Values   string `yaml:"values"`   // YAML of the root values, including the routing policy
	Baseline bool   `yaml:"baseline"` // whether other policies are compared with it
}

// A Cell holds the results of one policy and workload shape over all seeds.
type Cell struct {
	Shape            sampler.Shape     `json:"shape"`
	Policy           string            `json:"policy"`
	Stall            Spread            `json:"stall"`  // total load stall of all requests, in seconds
	StallP99         Spread            `json:"worst"`  // 99th percentile of the load stall, in seconds
	Batch            Spread            `json:"batch"`  // used fraction of each engine step
	LoadsPer1000     Spread            `json:"loads"`  // adapter loads per 1,000 requests
	CompleteFraction Spread            `json:"whole"`  // fraction of requests with a complete response
	Violations       int               `json:"broken"` // of invariants, over all seeds
	Reports          []reporter.Report `json:"reports"`
}

// A Spread is the median, minimum and maximum of several runs.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// Read decodes and validates a description.
func Read(file string, data []byte) (*Description, error) {
	var d Description
	if err := decoder.Strict(data, &d); err != nil {
		return nil, fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, true))
	}
	if _, err := stager.PlanFor(d.Deployment); err != nil {
		return nil, fmt.Errorf("%s: deployment: %w", file, err)
	}
	if len(d.Policies) == 0 || len(d.Seeds) == 0 || len(d.Shapes) == 0 {
		return nil, fmt.Errorf("%s: policies, seeds and shapes must each have an entry", file)
	}
	for _, s := range d.Shapes {
		if !slices.Contains(sampler.Shapes, s) {
			return nil, fmt.Errorf("%s: shapes: %q is unknown; write one of %v", file, s, sampler.Shapes)
		}
	}
	return &d, nil
}

// A Comparer runs a description. Its fields are set before Run.
type Comparer struct {
	Description *Description
	Progress    func(done, total int) // may be nil
}

// Run returns the results by shape and policy. If ctx is cancelled it returns the
// results so far.
func (c *Comparer) Run(ctx context.Context) ([]Cell, error) {
	d := c.Description
	var cells []Cell
	for _, shape := range d.Shapes {
		for _, policy := range d.Policies {
			cells = append(cells, Cell{Shape: shape, Policy: policy.Name})
		}
	}
	var mu sync.Mutex
	done := 0
	var group errgroup.Group
	group.SetLimit(max(1, d.Parallel))
	for _, seed := range d.Seeds {
		for i := range cells {
			group.Go(func() error {
				report, err := c.runOne(ctx, cells[i].Shape, d.Policies[i%len(d.Policies)], seed)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				cells[i].Reports = append(cells[i].Reports, report)
				done++
				if c.Progress != nil {
					c.Progress(done, len(d.Seeds)*len(cells))
				}
				return nil
			})
		}
	}
	err := group.Wait()
	for i := range cells {
		cells[i].aggregate()
	}
	return cells, err
}

func (c *Comparer) runOne(ctx context.Context, shape sampler.Shape, policy Policy, seed uint64) (reporter.Report, error) {
	if err := ctx.Err(); err != nil {
		return reporter.Report{}, err
	}
	plan, err := stager.PlanFor(c.Description.Deployment)
	if err != nil {
		return reporter.Report{}, err
	}
	plan.Values = policy.Values
	plan.LRU = policy.Evict == "lru"
	workload := c.Description.Workload
	workload.Shape = shape
	workload.Seed = seed
	r := runner.Runner{Logger: log.NewNopLogger(), Plan: plan, Workload: workload}
	return r.Run(ctx)
}

func (c *Cell) aggregate() {
	spreadOf := func(value func(r *reporter.Report) float64) Spread {
		var values []float64
		for i := range c.Reports {
			values = append(values, value(&c.Reports[i]))
		}
		return spread(values)
	}
	c.Stall = spreadOf(func(r *reporter.Report) float64 { return r.TotalStall })
	c.StallP99 = spreadOf(func(r *reporter.Report) float64 { return r.Stall.P99 })
	c.Batch = spreadOf(func(r *reporter.Report) float64 { return r.BatchEfficiency })
	c.LoadsPer1000 = spreadOf(func(r *reporter.Report) float64 { return float64(r.Loads) * 1000 / float64(r.Requests) })
	c.CompleteFraction = spreadOf(func(r *reporter.Report) float64 { return float64(r.Verdicts["ran"]) / float64(r.Requests) })
	for i := range c.Reports {
		c.Violations += c.Reports[i].Violations.Total()
	}
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{} // JSON cannot represent NaN; an empty Reports shows that nothing was measured
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// Rows returns the cells as a table that includes the ratio of the stall to that of
// the best baseline of the same shape.
func Rows(d *Description, cells []Cell) [][]string {
	rows := [][]string{{"SHAPE", "POLICY", "STALL S", "SPREAD", "RATIO", "P99 S", "BATCH", "LOADS/1000", "WHOLE", "BROKEN"}}
	for _, c := range cells {
		best := math.Inf(1)
		for i, other := range cells {
			if other.Shape == c.Shape && d.Policies[i%len(d.Policies)].Baseline {
				best = min(best, other.Stall.Median)
			}
		}
		rows = append(rows, []string{
			string(c.Shape), c.Policy, fmt.Sprintf("%.1f", c.Stall.Median), fmt.Sprintf("%.1f-%.1f", c.Stall.Min, c.Stall.Max),
			fmt.Sprintf("%.2f", c.Stall.Median/best), fmt.Sprintf("%.2f", c.StallP99.Median), fmt.Sprintf("%.3f", c.Batch.Median),
			fmt.Sprintf("%.0f", c.LoadsPer1000.Median), fmt.Sprintf("%.3f", c.CompleteFraction.Median), fmt.Sprint(c.Violations),
		})
	}
	return rows
}

// EstimatedDuration returns a rough upper bound on the duration of the experiment.
func (d *Description) EstimatedDuration() time.Duration {
	const overhead = 5 * time.Second
	runs := len(d.Policies) * len(d.Seeds) * len(d.Shapes)
	return time.Duration(1+runs/max(1, d.Parallel)) * (d.Workload.Span + overhead)
}
