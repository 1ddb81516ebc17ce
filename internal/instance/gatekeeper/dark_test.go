package gatekeeper

import (
	"errors"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A runner crashes. Its row stays for seconds and all its places look vacant, so
// that callers whose adapter is nowhere stand in line for it until their patience
// ends. It is passed over once connections to it fail, and again considered with
// its first answer; orders that get lost now and then are no sign of a crash.
func TestRunnersThatDoNotLiveAreNoticed(t *testing.T) {
	refused := judge.Judge(judge.Dialed{Err: errors.New("connection refused")})
	for _, tc := range []struct {
		name   string
		happen func(d *darkness)
		want   bool
	}{
		{"nothing", func(*darkness) {}, false},
		{"takes no connection", func(d *darkness) { d.order(placer.Unreached); d.report(refused) }, true},
		{"answers nothing", func(d *darkness) {
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
		{"answers again", func(d *darkness) {
			d.order(placer.Unreached)
			d.order(placer.Unreached)
			d.report(nil)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d darkness
			tc.happen(&d)
			if got := d >= dark; got != tc.want {
				t.Errorf("passed over: %v, want %v", got, tc.want)
			}
		})
	}
}
