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
func TestRunnersThatDoNotLiveAreNoticed(t *testing.T) {
	refused := judge.Judge(judge.Dialed{Err: errors.New("connection refused")})
	for _, tc := range []struct {
		name   string
		happen func(d *darkness)
		want   bool
	}{
		{"no sign", func(*darkness) {}, false},
		{"refuses connections", func(d *darkness) { d.order(placer.Unreached); d.report(refused) }, true},
		{"never responds", func(d *darkness) {
			for range 4 {
				d.order(placer.Lost)
			}
		}, true},
		{"loses every other order", func(d *darkness) {
			for range 10 {
				d.order(placer.Lost)
				d.order(placer.Accepted)
			}
		}, false},
		{"responds again", func(d *darkness) {
			d.order(placer.Unreached)
			d.order(placer.Unreached)
			d.report(nil)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d darkness
			tc.happen(&d)
			if got := d >= dark; got != tc.want {
				t.Errorf("skipped: %v, want %v", got, tc.want)
			}
		})
	}
}
