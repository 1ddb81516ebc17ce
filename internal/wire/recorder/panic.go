package recorder

import (
	"fmt"
	"runtime/debug"
)

// maxStack limits the stack in a log line, in bytes.
const maxStack = 4 << 10

// Recover is deferred in each goroutine that serves one request. It keeps a panic there from ending
// the process, and with it the requests of all other callers: it counts and logs the panic, and calls
// failed, which may be nil. State that several requests share must be unlocked by deferred calls.
func (r *Recorder) Recover(where, request string, failed func()) {
	reason := recover()
	if reason == nil {
		return
	}
	stack := debug.Stack()
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_panics_total{where=%q}`, where)).Inc()
	r.Log(Panic, "msg", "recovered", "where", where, "request", request, "err", fmt.Sprint(reason), "stack", string(stack[:min(len(stack), maxStack)]))
	if failed != nil {
		failed()
	}
}
