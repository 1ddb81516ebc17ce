package answerer

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// doneEvent ends a complete stream.
const doneEvent = "data: [DONE]\n\n"

// A Failure is the error body for callers: the format of OpenAI with the verdict
// and the reason added.
type Failure struct {
	Error Detail `json:"error"`
}

// A Detail is the content of a Failure.
type Detail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    string        `json:"code"`
	Param   *string       `json:"param"` // always null
	Verdict judge.Verdict `json:"verdict"`
	Reason  judge.Reason  `json:"reason"`
}

// statuses maps reasons to HTTP statuses; other reasons get one by the verdict.
var statuses = map[judge.Reason]int{
	judge.ReasonAdapter:   fasthttp.StatusNotFound,
	judge.ReasonAuth:      fasthttp.StatusUnauthorized,
	judge.ReasonBody:      fasthttp.StatusBadRequest,
	judge.ReasonClaim:     fasthttp.StatusServiceUnavailable,
	judge.ReasonDeadline:  fasthttp.StatusGatewayTimeout,
	judge.ReasonDuplicate: fasthttp.StatusConflict,
	judge.ReasonHeader:    fasthttp.StatusBadRequest,
	judge.ReasonQueue:     fasthttp.StatusTooManyRequests,
	judge.ReasonShare:     fasthttp.StatusTooManyRequests,
	judge.ReasonStarting:  fasthttp.StatusServiceUnavailable,
	judge.ReasonStopping:  fasthttp.StatusServiceUnavailable,
	judge.ReasonUpstream:  fasthttp.StatusServiceUnavailable,
}

// status returns the HTTP status of a failure. Without a status for the reason, it
// is 503 if the request did not run and 502 if it ran or may have run.
func status(err *judge.Error) int {
	if s, ok := statuses[err.Reason]; ok {
		return s
	}
	if err.Verdict == judge.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

func failure(err *judge.Error) Failure {
	kind := "server_error"
	if s := status(err); s < fasthttp.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return Failure{Error: Detail{
		Message: err.Message, Type: kind, Code: string(err.Reason), Verdict: err.Verdict, Reason: err.Reason,
	}}
}

// errorEvent returns the last event of an incomplete stream.
func errorEvent(err *judge.Error) []byte {
	data, _ := json.Marshal(failure(err)) // strings always marshal
	return append(append([]byte("data: "), data...), "\n\n"...)
}

func writeError(c *fasthttp.RequestCtx, err *judge.Error) {
	listener.WriteJSON(c, status(err), failure(err))
	if err.RetryAfter > 0 {
		seconds := int(math.Ceil(err.RetryAfter.Seconds()))
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
}
