package forwarder

import "github.com/sardinetiller/sardinetiller/internal/adapter/placer"

// A use is a copy that has to stay at a runner.
type use struct {
	runner string
	copy   placer.Copy
	done   func()
}

// use tells that a copy is in use, for plain services nothing. One use ends where
// the next begins.
func (p *exchange) use(runner string) {
	c := p.request.Copy
	if c == (placer.Copy{}) || p.using.done != nil && p.using.runner == runner && p.using.copy == c {
		return
	}
	p.unuse()
	p.using = use{runner, c, p.Placement.Use(runner, c)}
}

func (p *exchange) unuse() {
	if p.using.done != nil {
		p.using.done()
	}
	p.using = use{}
}
