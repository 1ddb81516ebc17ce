// Package reporter summarizes the results of the callers and the records of the
// stand-ins, as a table or as one JSON object.
package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinetiller/sardinetiller/internal/experiment/auditor"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
)

// A Report summarizes one run.
type Report struct {
	Requests        int                `json:"requests"`
	Verdicts        map[string]int     `json:"verdicts"`
	Refusals        map[string]int     `json:"refusals"` // by reason
	Retries         map[string]int     `json:"retries"`  // by reason
	Stall           Quantiles          `json:"stall"`    // seconds
	FirstByte       Quantiles          `json:"first"`    // time to the first byte of complete responses, in seconds
	TotalStall      float64            `json:"total"`    // sum over all requests, in seconds
	StalledFraction float64            `json:"stalled"`  // fraction of the requests that stalled
	BatchEfficiency float64            `json:"batch"`    // used fraction of each engine step
	Loads           int                `json:"loads"`
	Evictions       int                `json:"evictions"`
	Violations      auditor.Violations `json:"promises"`
	Details         []string           `json:"faults"` // one line for each violation of an invariant
}

// Quantiles are quantiles of a distribution, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Range and precision of the histograms.
const (
	minDuration       = int64(time.Microsecond)
	maxDuration       = int64(10 * time.Minute)
	significantDigits = 3
)

// New returns the report of a run. The retries are counted by the instances; all
// other values come from the callers and the records of the stand-ins.
func New(results []sender.Result, records []generator.Record, retries map[string]int) Report {
	r := Report{Requests: len(results), Verdicts: make(map[string]int), Refusals: make(map[string]int), Retries: retries}
	stall := hdrhistogram.New(minDuration, maxDuration, significantDigits)
	first := hdrhistogram.New(minDuration, maxDuration, significantDigits)
	stalled := 0
	for i := range results {
		result := &results[i]
		r.Verdicts[verdict(result)]++
		if result.Reason != "" {
			r.Refusals[string(result.Reason)]++
		}
		s := stallOf(result)
		if s > 0 {
			stalled++
		}
		r.TotalStall += s.Seconds()
		_ = stall.RecordValue(min(int64(s), maxDuration)) // in bounds
		if result.Complete {
			_ = first.RecordValue(min(int64(result.FirstByte), maxDuration)) // in bounds
		}
	}
	r.StalledFraction = float64(stalled) / float64(max(1, len(results)))
	r.Stall = quantiles(stall)
	r.FirstByte = quantiles(first)
	r.addEngineRecords(records)
	return r
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\t%s\n", r.Requests, formatCounts(r.Verdicts))
	fmt.Fprintf(t, "refusals\t%d\t%s\n", sum(r.Refusals), formatCounts(r.Refusals))
	fmt.Fprintf(t, "retries\t%d\t%s\n", sum(r.Retries), formatCounts(r.Retries))
	fmt.Fprintf(t, "load stall\t%.3f s\tp50 %.3f  p95 %.3f  p99 %.3f s, %.0f %% of requests\n",
		r.TotalStall, r.Stall.P50, r.Stall.P95, r.Stall.P99, 100*r.StalledFraction)
	fmt.Fprintf(t, "first byte\t\tp50 %.3f  p95 %.3f  p99 %.3f s\n", r.FirstByte.P50, r.FirstByte.P95, r.FirstByte.P99)
	fmt.Fprintf(t, "batch efficiency\t%.1f %%\t\n", 100*r.BatchEfficiency)
	fmt.Fprintf(t, "adapter loads\t%d\t%d evictions\n", r.Loads, r.Evictions)
	fmt.Fprintln(t)
	fmt.Fprintln(t, "promise\tviolations\t(books of the stand-ins against what the callers saw)")
	v := r.Violations
	for _, row := range []struct {
		name  string
		count int
	}{
		{"exact adapter and version", v.Version},
		{"never evicted while serving", v.Pinned},
		{"whole answer, its own", v.Complete},
		{"not_run did not run", v.NotRun},
		{"at most once", v.Once},
		{"leaving upstream left alone", v.Leaving},
		{"planned stop cuts nothing off", v.Graceful},
		{"settings never revert", v.Settings},
	} {
		fmt.Fprintf(t, "  %s\t%d\t\n", row.name, row.count)
	}
	return t.Flush()
}

func (r *Report) addEngineRecords(records []generator.Record) {
	steps, filled := 0, 0
	for _, record := range records {
		r.Loads += record.Loads
		r.Evictions += record.Evictions
		steps += record.Steps * record.Batch
		filled += record.FilledSlots
	}
	if steps > 0 {
		r.BatchEfficiency = float64(filled) / float64(steps)
	}
}

// stallOf returns how long a request waited because its adapter was not resident.
// A request without a complete response counts as stalled for at least its
// deadline, so that no policy gains by rejecting requests.
func stallOf(r *sender.Result) time.Duration {
	if r.Complete {
		return r.Stall
	}
	return max(r.Duration, r.Call.Deadline)
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, m[key]))
	}
	return strings.Join(parts, ", ")
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return time.Duration(h.ValueAtQuantile(q)).Seconds() }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func sum(m map[string]int) int {
	total := 0
	for _, n := range m {
		total += n
	}
	return total
}

func verdict(r *sender.Result) string {
	if r.Verdict == "" {
		return "no answer"
	}
	return string(r.Verdict)
}
