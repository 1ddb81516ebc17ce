package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// Guards against demand that no leader hears of: a request that is refused by the estimates of
// this instance asks no leader for a reservation.
func TestRequestRefusedWithoutAskingIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []string
		f := newForwarder(&upstream{answer: oneEvent}, placement{reportRefusal: func(runner string, c placer.Copy) { got = append(got, runner+" "+c.String()) }}, 1)
		c := placer.Copy{Model: "m", Adapter: "a1", Version: 2}
		f.Fleet.SetHeldCopy("i-0", c, time.Time{}, true)
		f.Fleet.SetPrefillBacklog("i-0", 0, 3*time.Second)
		r := newRequest(resumableRoute())
		r.Copy = c
		if err := f.Forward(t.Context(), r, &sink{}); err == nil {
			t.Fatal("the request was served, want it refused")
		}
		if diff := cmp.Diff([]string{"i-0 " + c.String()}, got); diff != "" {
			t.Errorf("reported refusals (-want +got):\n%s", diff)
		}
	})
}
