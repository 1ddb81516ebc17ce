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

// An engine crashes and its owner tells all 41 instances of the domain. If each of them
// told all others in turn, with each beat for ten seconds, one crash would be 16,000
// messages. Only who saw it tells its domain, and who was told from another one.
func TestWordsOfCrashesAreRetoldOnce(t *testing.T) {
	word := quarantiner.Word{Digest: "d", Runner: "engine-1"}
	for _, tc := range []struct {
		name string
		hear func(s *Server)
		want int // words to be told with the next beat
	}{
		{"seen here", func(s *Server) { s.Crashed(word.Runner, map[quarantiner.Digest]time.Duration{word.Digest: 0}) }, 1},
		{"told by a peer of the domain", func(s *Server) {
			s.HeardCrashes(heartbeater.Instance{ID: "a-2", Domain: "a"}, relayer.Crashes{Words: []quarantiner.Word{word}})
		}, 0},
		{"told from another domain", func(s *Server) {
			s.HeardCrashes(heartbeater.Instance{ID: "b-1", Domain: "b"}, relayer.Crashes{Words: []quarantiner.Word{word}})
		}, 1},
		{"read in the table", func(s *Server) { s.takeWords([]quarantiner.Word{word}, fromTable) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{Logger: log.NewNopLogger(), Metrics: metrics.NewSet(), Monitor: &heartbeater.Monitor{}}
			s.Config.Domain = "a"
			tc.hear(s)
			if diff := cmp.Diff(tc.want, len(s.quarantine.words(time.Now()))); diff != "" {
				t.Error(diff)
			}
			if s.quarantine.ledger.Empty() {
				t.Error("the word was not taken in")
			}
		})
	}
}
