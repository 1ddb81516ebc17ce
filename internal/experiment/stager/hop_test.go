package stager_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// BenchmarkHop measures the latency that the instances add, compared with the same
// request sent directly to an engine in the same run: through the owner, and
// through an instance that forwards to the owner. It sends 500 requests per second.
func BenchmarkHop(b *testing.B) {
	plan, err := stager.PlanFor(stager.Association)
	if err != nil {
		b.Fatal(err)
	}
	plan.Domains = plan.Domains[:1]
	plan.Engines, plan.Instances, plan.Services, plan.Batch, plan.Speed = 1, 2, 1, 64, 25
	d, err := stager.Start(b.Context(), plan, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	owner, other := 0, 1
	if d.Instances[1].Server.Owns(plan.Engine + "-1") {
		owner, other = 1, 0
	}
	ask(b, d.Address(owner), "desk-1@1") // loads the adapter
	resident := d.Engines[0].Resident()
	for _, target := range []struct{ name, address, model string }{
		{"engine", d.Engines[0].Listener.Addr().String(), resident[0]},
		{"owner", d.Address(owner), "desk-1@1"},
		{"passed on", d.Address(other), "desk-1@1"},
	} {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			runPaced(b, func() { ask(b, target.address, target.model) })
		})
	}
}

// runPaced starts one call every 2 ms and reports quantiles of their durations.
func runPaced(b *testing.B, call func()) {
	const every = 2 * time.Millisecond
	var mu sync.Mutex
	var took []time.Duration
	var calls sync.WaitGroup
	ticker := pacer.NewTicker(every)
	defer ticker.Stop()
	for range b.N {
		ticker.Wait(b.Context(), nil)
		calls.Go(func() {
			start := time.Now()
			call()
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(start))
		})
	}
	calls.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

func ask(b *testing.B, address, model string) {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+stager.Key)
	request.SetRequestURI("http://" + address + "/v1/completions")
	request.SetBodyString(fmt.Sprintf(`{"model":%q,"max_tokens":1,"prompt":"x"}`, model))
	var r requester.Requester
	status, body, observation := r.ReadAll(b.Context(), address, request)
	if observation != nil || status != fasthttp.StatusOK {
		b.Errorf("status %d %s %+v", status, body, observation)
	}
}
