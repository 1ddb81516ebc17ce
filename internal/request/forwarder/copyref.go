package forwarder

import "github.com/sardinetiller/sardinetiller/internal/adapter/placer"

// A use is a copy that has to stay at a runner.
type copyRef struct {
	runner  string
	copy    placer.Copy
	release func()
}

// acquireCopy tells that a copy is in use, for plain services nothing. One use ends where
// the next begins.
func (p *exchange) acquireCopy(runner string) {
	c := p.request.Copy
	if c == (placer.Copy{}) || p.ref.release != nil && p.ref.runner == runner && p.ref.copy == c {
		return
	}
	p.releaseCopy()
	p.ref = copyRef{runner, c, p.Placement.Use(runner, c)}
}

func (p *exchange) releaseCopy() {
	if p.ref.release != nil {
		p.ref.release()
	}
	p.ref = copyRef{}
}
