package stager_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
)

const (
	herdTokens = 20
	quietKey   = "quiet-key"
)

// BenchmarkHerd sends a thundering herd: within one second, five times as many
// requests as the engines can serve per second, nine tenths of them from one account. It reports the
// goodput (complete responses per second until the last one) as a fraction of the
// capacity, and the fraction of each account's calls that were completed.
func BenchmarkHerd(b *testing.B) {
	plan, err := stager.PlanFor(stager.Association)
	if err != nil {
		b.Fatal(err)
	}
	plan.Domains = plan.Domains[:1]
	plan.Engines, plan.Instances, plan.Services = 2, 2, 1
	d, err := stager.Start(b.Context(), plan, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	quiet := fmt.Appendf(nil, "kind: account\nname: quiet\nkeys:\n  - {hash: %x}\nadapters:\n  - {name: quiet, count: 2, versions: [1], service: %s, base: b}\n",
		sha256.Sum256([]byte(quietKey)), plan.Engine)
	if _, err := d.Apply(b.Context(), "quiet.yaml", quiet); err != nil {
		b.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	step := 25 * time.Millisecond / time.Duration(plan.Speed)
	capacity := float64(plan.Engines*plan.Batch) / (herdTokens * step.Seconds())
	loadAdapters(b, d)
	for b.Loop() {
		thunderingHerd(b, d, capacity)
	}
}

// loadAdapters loads the adapters of both accounts.
func loadAdapters(b *testing.B, d *stager.Deployment) {
	for _, r := range append(burst(b.Context(), d, stager.Key, "desk", 16), burst(b.Context(), d, quietKey, "quiet", 4)...) {
		if !r.Complete {
			b.Fatalf("%s: %s", r.Reason, r.Err)
		}
	}
}

func thunderingHerd(b *testing.B, d *stager.Deployment, capacity float64) {
	const overload = 5
	n := int(overload * capacity)
	start := time.Now()
	var loud, quiet []sender.Result
	var both sync.WaitGroup
	both.Go(func() { loud = burst(b.Context(), d, stager.Key, "desk", n*9/10) })
	both.Go(func() { quiet = burst(b.Context(), d, quietKey, "quiet", n/10) })
	both.Wait()
	last := start
	for _, r := range append(append([]sender.Result{}, loud...), quiet...) {
		if end := r.SentAt.Add(r.Duration); r.Complete && end.After(last) {
			last = end
		}
	}
	completed := countComplete(loud) + countComplete(quiet)
	b.ReportMetric(float64(completed)/last.Sub(start).Seconds()/capacity, "goodput")
	b.ReportMetric(float64(countComplete(loud))/float64(len(loud)), "loud")
	b.ReportMetric(float64(countComplete(quiet))/float64(len(quiet)), "quiet")
}

// burst sends n calls of one account within a second.
func burst(ctx context.Context, d *stager.Deployment, key, group string, n int) []sender.Result {
	calls := make([]sampler.Call, n)
	for i := range calls {
		calls[i] = sampler.Call{
			At: time.Second * time.Duration(i) / time.Duration(n), Adapter: fmt.Sprintf("%s-%d@1", group, i%2),
			Deadline: 5 * time.Second, Marker: fmt.Sprintf("%s-%d", group, i), Tokens: herdTokens,
		}
	}
	send := sender.Sender{Addresses: func() [][]string { return [][]string{{d.Address(0), d.Address(1)}} }, Key: key}
	return send.Run(ctx, calls)
}

func countComplete(results []sender.Result) int {
	n := 0
	for _, r := range results {
		if r.Complete {
			n++
		}
	}
	return n
}
