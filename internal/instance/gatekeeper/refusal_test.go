package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// In an overload, members refuse most requests without asking the leader. Guards against a
// leader that takes the few that reach it for all of the demand and loads no further copy, and
// against reports where copies are not loaded ahead of demand.
func TestRefusedRequestsCountAsDemand(t *testing.T) {
	c := placer.Copy{Model: "m", Adapter: "a1", Version: 1}
	refused := []relayer.CopyUse{{Runner: "i-1", Copy: c, Requests: 20}}
	for _, tc := range []struct {
		ahead  configurer.Switch
		report []relayer.CopyUse
		counts bool
	}{
		{configurer.On, refused, true},
		{configurer.Off, nil, false},
	} {
		t.Run(string(tc.ahead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGatekeeper()
				g.Config.Load.Ahead = tc.ahead
				r := tracker.Runner{ID: "i-1", Service: "llm", Domain: "a", Slots: 8, Revision: 1}
				g.Fleet.Set(r)
				for range 20 {
					g.ReportRefusal("i-1", c)
				}
				l, d := g.links["a"], g.controllers["a"]
				l.mu.Lock()
				got := l.pendingDemand.refused[keyOf("i-1", c)]
				l.mu.Unlock()
				want := 0
				for _, u := range tc.report {
					want += u.Requests
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("refusals to report (-want +got):\n%s", diff)
				}
				d.setRunner(r, true)
				d.applyDemand("front-1", relayer.Demand{Refused: refused})
				if rate := d.ahead.forecaster.Rate(c, time.Now().Add(50*time.Millisecond)); (rate > 0) != tc.counts {
					t.Errorf("rate of arrivals %v, want it counted: %v", rate, tc.counts)
				}
			})
		})
	}
}
