package forwarder

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// spareCopyFraction is the part of the goal that a request may be held back where its
// adapter is before one more copy of it is asked for.
const spareCopyFraction = 0.2

// requestSpareCopy asks for one more copy of an adapter whose requests wait for each other.
//
// A much wanted adapter draws its requests to the runners that hold it. As long
// as waiting there is shorter than a load, no request would choose a runner
// without a copy, so all of them wait almost that long and many are late. The
// copy that is asked for here serves those that come after. While one is on its
// way no other is asked for.
func (p *exchange) requestSpareCopy(terms []router.Terms, wait time.Duration) {
	if p.request.Copy.Adapter == "" || wait < time.Duration(spareCopyFraction*float64(p.request.Route.Goal)) {
		return
	}
	if runner, ok := router.SpareRunner(terms); ok {
		p.Placement.Spare(runner, p.request.Copy)
	}
}
