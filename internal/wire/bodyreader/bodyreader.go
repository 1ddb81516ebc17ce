// Package bodyreader reads message bodies up to a limit. A body beyond its limit is an error: the
// part that was read must not be taken for all of it.
package bodyreader

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong reports a body beyond its limit. The rest of it is unread, so that its connection
// cannot be used again.
var ErrTooLong = errors.New("the body is too long")

// ReadAll reads a body of at most limit bytes to its end.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if err := check(int64(len(data)), limit); err != nil {
		return nil, err
	}
	return data, nil
}

// Discard reads a body of at most limit bytes to its end and drops it.
func Discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	return check(n, limit)
}

func check(length, limit int64) error {
	if length > limit {
		return fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	return nil
}
