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
func (p *exchange) acquireCopy(runner string) {
	c := p.request.Copy
	if c == (placer.Copy{}) || p.ref.release != nil && p.ref.runner == runner && p.ref.copy == c {
		return
	}
	p.releaseCopy()
	p.ref = copyRef{runner, c, p.Placement.AcquireCopy(runner, c)}
}

func (p *exchange) releaseCopy() {
	if p.ref.release != nil {
		p.ref.release()
	}
	p.ref = copyRef{}
}
