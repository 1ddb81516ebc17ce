package judge

import (
	"errors"
	"fmt"
	"time"
)

// An Error is a failed request with the verdict that its caller is told.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Message string
	Retry   time.Duration // when asking again makes sense; 0 if never
}

// Refuse returns an Error that promises the request did not run.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// As returns the Error in err's chain. An error without one is judged
// MayHaveRun, because nothing is known that would exclude it.
func As(err error) *Error {
	var judged *Error
	if errors.As(err, &judged) {
		return judged
	}
	return &Error{Verdict: MayHaveRun, Reason: ReasonPeer, Message: err.Error()}
}

// After returns a copy of e that tells the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	after := *e
	after.Retry = d
	return &after
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}
