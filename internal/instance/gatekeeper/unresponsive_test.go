package gatekeeper

import (
	"errors"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// Guards against a crashed runner that attracts requests: its row stays for seconds and all its
// slots look free, so that callers whose adapter is loaded nowhere queue for it until their wait
// limit. It must be skipped once connections to it fail, and used again after its first response;
// orders that get lost occasionally are no sign of a crash.
func TestUnresponsiveRunnersAreSkipped(t *testing.T) {
	refused := judge.Judge(judge.DialFailed{Err: errors.New("connection refused")})
	for _, tc := range []struct {
		name   string
		happen func(s *failureScore)
		want   bool
	}{
		{"no failure", func(*failureScore) {}, false},
		{"refuses connections", func(s *failureScore) { s.recordOrder(placer.Unreached); s.recordReport(refused) }, true},
		{"never responds", func(s *failureScore) {
			for range 4 {
				s.recordOrder(placer.Lost)
			}
		}, true},
		{"loses every other order", func(s *failureScore) {
			for range 10 {
				s.recordOrder(placer.Lost)
				s.recordOrder(placer.Accepted)
			}
		}, false},
		{"responds again", func(s *failureScore) {
			s.recordOrder(placer.Unreached)
			s.recordOrder(placer.Unreached)
			s.recordReport(nil)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s failureScore
			tc.happen(&s)
			if got := s >= unresponsive; got != tc.want {
				t.Errorf("skipped: %v, want %v", got, tc.want)
			}
		})
	}
}
