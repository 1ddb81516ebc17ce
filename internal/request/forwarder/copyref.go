package forwarder

import "github.com/sardinetiller/sardinetiller/internal/adapter/placer"

// A copyRef is a reference that keeps a copy at a runner.
type copyRef struct {
	runner  string
	copy    placer.Copy
	release func()
}

// acquireCopy acquires a reference to the request's copy at the runner; for plain services
// it does nothing. A reference at another runner is released first.
func (x *exchange) acquireCopy(runner string) {
	c := x.request.Copy
	if c == (placer.Copy{}) || x.ref.release != nil && x.ref.runner == runner && x.ref.copy == c {
		return
	}
	x.releaseCopy()
	x.ref = copyRef{runner, c, x.Placement.AcquireCopy(runner, c)}
}

func (x *exchange) releaseCopy() {
	if x.ref.release != nil {
		x.ref.release()
	}
	x.ref = copyRef{}
}
