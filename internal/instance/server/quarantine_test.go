package server

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// The owner of an engine reports its crash to all 41 instances of the failure domain. If
// each of them relayed it to all others with each heartbeat for ten seconds, one crash
// would cost 16,000 messages. So only the instance that observed the crash, or received
// the report from another domain, sends it to its own domain.
func TestCrashReportsAreRelayedOnce(t *testing.T) {
	report := quarantiner.CrashReport{Digest: "d", Runner: "engine-1"}
	for _, tc := range []struct {
		name    string
		receive func(s *Server)
		want    int // crash reports sent with the next heartbeat
	}{
		{"observed here", func(s *Server) { s.Crashed(report.Runner, map[quarantiner.Digest]time.Duration{report.Digest: 0}) }, 1},
		{"received from a peer of the domain", func(s *Server) {
			s.HandleCrashReports(heartbeater.Instance{ID: "a-2", Domain: "a"}, relayer.Crashes{Reports: []quarantiner.CrashReport{report}})
		}, 0},
		{"received from another domain", func(s *Server) {
			s.HandleCrashReports(heartbeater.Instance{ID: "b-1", Domain: "b"}, relayer.Crashes{Reports: []quarantiner.CrashReport{report}})
		}, 1},
		{"read from the table", func(s *Server) { s.applyCrashReports([]quarantiner.CrashReport{report}, sourceTable) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{Logger: log.NewNopLogger(), Metrics: metrics.NewSet(), Monitor: &heartbeater.Monitor{}}
			s.Config.Domain = "a"
			tc.receive(s)
			if diff := cmp.Diff(tc.want, len(s.quarantine.scheduledReports(time.Now()))); diff != "" {
				t.Error(diff)
			}
			if s.quarantine.ledger.Empty() {
				t.Error("the crash report was not recorded")
			}
		})
	}
}
