package tracker_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

func candidates(f *tracker.Fleet, d tracker.Demand) []string {
	var ids []string
	for _, c := range f.Candidates(d, time.Now()) {
		ids = append(ids, c.Runner)
	}
	slices.Sort(ids)
	return ids
}

func TestCandidates(t *testing.T) {
	adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
	for _, tc := range []struct {
		name   string
		happen func(f *tracker.Fleet)
		demand tracker.Demand
		want   []string
	}{
		{"all of the service", func(*tracker.Fleet) {}, tracker.Demand{Service: "llm"}, []string{"i-1", "i-2"}},
		{"not one that leaves", func(f *tracker.Fleet) {
			f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Leaving: true, Revision: 2})
			f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 3}) // an ID does not come back
		}, tracker.Demand{Service: "llm"}, []string{"i-2"}},
		{"not one that takes no connection", func(f *tracker.Fleet) {
			f.Begin("i-2", 0, time.Now()).End(tracker.Dark, time.Now())
		}, tracker.Demand{Service: "llm"}, []string{"i-1"}},
		{"it is tried again later", func(f *tracker.Fleet) {
			f.Begin("i-2", 0, time.Now()).End(tracker.Dark, time.Now())
			time.Sleep(time.Second)
		}, tracker.Demand{Service: "llm"}, []string{"i-1", "i-2"}},
		{"not where an absent adapter cannot be loaded", func(f *tracker.Fleet) {
			f.Staffed("b", false)
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1"}},
		{"but where it is there", func(f *tracker.Fleet) {
			f.Held("i-2", map[placer.Copy]time.Time{adapter: {}})
			f.Staffed("b", false)
		}, tracker.Demand{Service: "llm", Copy: adapter}, []string{"i-1", "i-2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &tracker.Fleet{Domain: "a"}
				f.Set(tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Revision: 1})
				f.Set(tracker.Runner{ID: "i-2", Service: "llm", Domain: "b", Revision: 1})
				f.Set(tracker.Runner{ID: "i-3", Service: "plain", Domain: "a", Revision: 1})
				tc.happen(f)
				if diff := cmp.Diff(tc.want, candidates(f, tc.demand)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
