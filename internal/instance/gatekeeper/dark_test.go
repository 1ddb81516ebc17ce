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
	refused := judge.Judge(judge.Dialed{Err: errors.New("connection refused")})
	for _, tc := range []struct {
		name   string
		happen func(d *failureScore)
		want   bool
	}{
		{"no sign", func(*failureScore) {}, false},
		{"refuses connections", func(d *failureScore) { d.recordOrder(placer.Unreached); d.recordReport(refused) }, true},
		{"never responds", func(d *failureScore) {
			for range 4 {
				d.recordOrder(placer.Lost)
			}
		}, true},
		{"loses every other order", func(d *failureScore) {
			for range 10 {
				d.recordOrder(placer.Lost)
				d.recordOrder(placer.Accepted)
			}
		}, false},
		{"responds again", func(d *failureScore) {
			d.recordOrder(placer.Unreached)
			d.recordOrder(placer.Unreached)
			d.recordReport(nil)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d failureScore
			tc.happen(&d)
			if got := d >= unresponsive; got != tc.want {
				t.Errorf("skipped: %v, want %v", got, tc.want)
			}
		})
	}
}
