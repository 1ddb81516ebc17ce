package forwarder

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// spareCopyFraction is the fraction of the latency target that a request may wait where its
// adapter is resident before one more copy is requested.
const spareCopyFraction = 0.2

// requestSpareCopy requests one more copy of an adapter whose requests queue behind each
// other.
//
// A popular adapter attracts its requests to the runners that hold it. As long as the wait
// there is shorter than a load, no request chooses a runner without a copy, so all of them
// wait almost that long and many are late. The copy requested here serves later requests.
// While a copy is being loaded, no other is requested.
func (x *exchange) requestSpareCopy(terms []router.Terms, wait time.Duration) {
	if x.request.Copy.Adapter == "" || wait < time.Duration(spareCopyFraction*float64(x.request.Route.LatencyTarget)) {
		return
	}
	if runner, ok := router.SpareRunner(terms); ok {
		x.Placement.RequestSpareCopy(runner, x.request.Copy)
	}
}
