package auditor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/auditor"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
)

var left = time.Unix(1000, 0)

// whole is what the caller of "c" sees when all is well.
func whole() sender.Result {
	return sender.Result{
		Call: sampler.Call{Adapter: "x@1", Marker: "c", Tokens: 2}, Whole: true, Verdict: judge.Ran, Text: "x@1|c:1/2 x@1|c:2/2 ",
	}
}

func ran(adapter string) generator.Run { return generator.Run{Marker: "c", Adapter: adapter} }

// The audit judges all else, so each promise is broken here once and must be
// reported, and nothing else with it.
func TestAuditReportsEachBrokenPromise(t *testing.T) {
	once, refused, cut := whole(), whole(), whole()
	once.Call.Once = true
	refused.Whole, refused.Verdict, refused.Reason = false, judge.NotRun, judge.ReasonDial
	cut.Whole, cut.Verdict, cut.Reason = false, judge.MayHaveRun, judge.ReasonCut
	stranger, short, mixed := whole(), whole(), whole()
	stranger.Text = "y@1|c:1/2 y@1|c:2/2 "
	short.Text = "x@1|c:1/2 "
	mixed.Text = "x@1|c:1/2 x@1|d:2/2 "
	stopping := refused
	stopping.Reason = judge.ReasonStopping
	for _, tc := range []struct {
		name   string
		result sender.Result
		books  generator.Books
		audit  auditor.Audit
		want   auditor.Promises
	}{
		{"all well", whole(), generator.Books{Runs: []generator.Run{ran("x@1")}}, auditor.Audit{Planned: true}, auditor.Promises{}},
		{"ran on another version", whole(), generator.Books{Runs: []generator.Run{ran("x@2")}}, auditor.Audit{}, auditor.Promises{Version: 1}},
		{"answered by another adapter", stranger, generator.Books{}, auditor.Audit{}, auditor.Promises{Version: 1}},
		{"evicted while serving", whole(), generator.Books{Under: []generator.Under{{Marker: "c"}}}, auditor.Audit{}, auditor.Promises{Pinned: 1}},
		{"short answer", short, generator.Books{}, auditor.Audit{}, auditor.Promises{Whole: 1}},
		{"another caller's part", mixed, generator.Books{}, auditor.Audit{}, auditor.Promises{Whole: 1}},
		{"told not_run", refused, generator.Books{Runs: []generator.Run{ran("x@1")}}, auditor.Audit{}, auditor.Promises{NotRun: 1}},
		{"ran twice", once, generator.Books{Runs: []generator.Run{ran("x@1"), ran("x@1")}}, auditor.Audit{}, auditor.Promises{Once: 1}},
		{
			"service called twice",
			sender.Result{Call: sampler.Call{Marker: "c", Once: true}, Verdict: judge.MayHaveRun},
			generator.Books{},
			auditor.Audit{Calls: []responder.Call{{Path: "/records/c"}, {Path: "/records/c"}}},
			auditor.Promises{Once: 1},
		},
		{"work to a leaving engine", whole(), generator.Books{
			Left: left, Runs: []generator.Run{{Marker: "c", Adapter: "x@1", Began: left.Add(4 * time.Second)}},
		}, auditor.Audit{}, auditor.Promises{Leaving: 1}},
		{"cut by a planned stop", cut, generator.Books{}, auditor.Audit{Planned: true}, auditor.Promises{Graceful: 1}},
		{"refused for a planned stop", stopping, generator.Books{}, auditor.Audit{Planned: true}, auditor.Promises{Graceful: 1}},
		{"settings went back", whole(), generator.Books{}, auditor.Audit{Settings: []string{"back"}}, auditor.Promises{Settings: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.audit.Results = []sender.Result{tc.result}
			tc.audit.Engines = []generator.Books{tc.books}
			if diff := cmp.Diff(tc.want, tc.audit.Run()); diff != "" {
				t.Error(diff)
			}
			if got := len(tc.audit.Faults()); got != tc.want.Total() {
				t.Errorf("%d lines for %d violations", got, tc.want.Total())
			}
		})
	}
}
