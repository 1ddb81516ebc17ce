package judge

import (
	"errors"
	"fmt"
	"time"
)

// An Error is a failed request with the verdict reported to its caller.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration // time after which a retry makes sense; 0 if none does
}

// Refuse returns an Error that guarantees that the request did not run.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// redirectDelay is the retry hint for a caller that is to go to another instance: at once, but for the
// time that its new connection takes.
const redirectDelay = 50 * time.Millisecond

// Stopping returns the Error of a request that did not run because its instance stops.
func Stopping(message string) *Error {
	return Refuse(ReasonStopping, "%s", message).WithRetryAfter(redirectDelay)
}

// Internal returns the Error of a request that a fault of this program ended.
func Internal() *Error {
	return &Error{Verdict: MayHaveRun, Reason: ReasonInternal, Message: "a fault of this program ended the request"}
}

// As returns the Error in err's chain. Any other error yields MayHaveRun, because nothing
// rules it out.
func As(err error) *Error {
	var judged *Error
	if errors.As(err, &judged) {
		return judged
	}
	return &Error{Verdict: MayHaveRun, Reason: ReasonPeer, Message: err.Error()}
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	after := *e
	after.RetryAfter = d
	return &after
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}
