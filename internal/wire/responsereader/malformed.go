package responsereader

import (
	"errors"
	"fmt"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A MalformedError reports a response that does not follow the grammar of HTTP/1.1.
type MalformedError struct {
	Part string // of the response that is malformed
	Text string // of that part, or its beginning
}

// maxText is the maximum length of the Text of a MalformedError, in bytes.
const maxText = 64

func malformed(part, text string) error {
	return &MalformedError{Part: part, Text: text[:min(len(text), maxText)]}
}

// Error implements error. It has no control bytes.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed %s: %q", e.Part, e.Text) }

// Observe returns the observation for a request whose response could not be read.
func Observe(broken judge.Broken) judge.Observation {
	var malformed *MalformedError
	if errors.As(broken.Err, &malformed) {
		return judge.Malformed{Err: malformed}
	}
	return broken
}
