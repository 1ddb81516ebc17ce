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

var leavingSince = time.Unix(1000, 0)

// completeResult is what the caller of marker "c" sees if no invariant is violated.
func completeResult() sender.Result {
	return sender.Result{
		Call: sampler.Call{Adapter: "x@1", Marker: "c", Tokens: 2}, Complete: true, Verdict: judge.Ran, Text: "x@1|c:1/2 x@1|c:2/2 ",
	}
}

func executionOf(adapter string) generator.Run { return generator.Run{Marker: "c", Adapter: adapter} }

// The other tests rely on the audit. Each invariant is violated once here and must
// be reported, and no other violation with it.
func TestAuditReportsEachViolation(t *testing.T) {
	once, refused, cutOff := completeResult(), completeResult(), completeResult()
	once.Call.Once = true
	refused.Complete, refused.Verdict, refused.Reason = false, judge.NotRun, judge.ReasonDial
	cutOff.Complete, cutOff.Verdict, cutOff.Reason = false, judge.MayHaveRun, judge.ReasonCut
	wrongAdapter, truncated, mixed := completeResult(), completeResult(), completeResult()
	wrongAdapter.Text = "y@1|c:1/2 y@1|c:2/2 "
	truncated.Text = "x@1|c:1/2 "
	mixed.Text = "x@1|c:1/2 x@1|d:2/2 "
	stopping := refused
	stopping.Reason = judge.ReasonStopping
	for _, tc := range []struct {
		name   string
		result sender.Result
		record generator.Record
		audit  auditor.Audit
		want   auditor.Violations
	}{
		{"no violation", completeResult(), generator.Record{Runs: []generator.Run{executionOf("x@1")}}, auditor.Audit{Planned: true}, auditor.Violations{}},
		{"executed by another version", completeResult(), generator.Record{Runs: []generator.Run{executionOf("x@2")}}, auditor.Audit{}, auditor.Violations{Version: 1}},
		{"response of another adapter", wrongAdapter, generator.Record{}, auditor.Audit{}, auditor.Violations{Version: 1}},
		{"evicted while serving", completeResult(), generator.Record{EvictedInUse: []generator.InUseEviction{{Marker: "c"}}}, auditor.Audit{}, auditor.Violations{Pinned: 1}},
		{"truncated response", truncated, generator.Record{}, auditor.Audit{}, auditor.Violations{Complete: 1}},
		{"part of another caller's response", mixed, generator.Record{}, auditor.Audit{}, auditor.Violations{Complete: 1}},
		{"told not_run but executed", refused, generator.Record{Runs: []generator.Run{executionOf("x@1")}}, auditor.Audit{}, auditor.Violations{NotRun: 1}},
		{"executed twice", once, generator.Record{Runs: []generator.Run{executionOf("x@1"), executionOf("x@1")}}, auditor.Audit{}, auditor.Violations{Once: 1}},
		{
			"service called twice",
			sender.Result{Call: sampler.Call{Marker: "c", Once: true}, Verdict: judge.MayHaveRun},
			generator.Record{},
			auditor.Audit{Calls: []responder.Call{{Path: "/records/c"}, {Path: "/records/c"}}},
			auditor.Violations{Once: 1},
		},
		{"request to a draining engine", completeResult(), generator.Record{
			LeavingSince: leavingSince, Runs: []generator.Run{{Marker: "c", Adapter: "x@1", AcceptedAt: leavingSince.Add(4 * time.Second)}},
		}, auditor.Audit{}, auditor.Violations{Leaving: 1}},
		{"aborted by a planned stop", cutOff, generator.Record{}, auditor.Audit{Planned: true}, auditor.Violations{Graceful: 1}},
		{"rejected because of a planned stop", stopping, generator.Record{}, auditor.Audit{Planned: true}, auditor.Violations{Graceful: 1}},
		{"settings went back", completeResult(), generator.Record{}, auditor.Audit{Settings: []string{"back"}}, auditor.Violations{Settings: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.audit.Results = []sender.Result{tc.result}
			tc.audit.Engines = []generator.Record{tc.record}
			if diff := cmp.Diff(tc.want, tc.audit.Run()); diff != "" {
				t.Error(diff)
			}
			if got := len(tc.audit.Details()); got != tc.want.Total() {
				t.Errorf("%d lines for %d violations", got, tc.want.Total())
			}
		})
	}
}
