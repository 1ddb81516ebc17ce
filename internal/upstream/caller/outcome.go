package caller

import (
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// orderOutcome derives the outcome of an order from the response. If the connection
// failed after bytes were sent, the outcome is unknown: the engine may still execute
// the order later.
func orderOutcome(path string, status int, observed judge.Observation) Answer {
	if observed != nil {
		if judge.Judge(observed).Verdict == judge.NotRun {
			return Answer{Outcome: keeper.Failed}
		}
		return Answer{Outcome: keeper.Lost}
	}
	switch status {
	case fasthttp.StatusOK:
		return Answer{Outcome: keeper.Done}
	case fasthttp.StatusPreconditionFailed:
		return Answer{Outcome: keeper.Failed, Fenced: true}
	case fasthttp.StatusNotFound:
		if path == pathEvict {
			return Answer{Outcome: keeper.Done} // already evicted
		}
		return Answer{Outcome: keeper.Failed}
	case fasthttp.StatusConflict, fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return Answer{Outcome: keeper.Failed}
	default:
		return Answer{Outcome: keeper.Lost}
	}
}

func statusError(status int, observed judge.Observation) error {
	if observed != nil {
		return judge.Judge(observed)
	}
	if status != fasthttp.StatusOK {
		return judge.Judge(judge.Failed{Status: status})
	}
	return nil
}
