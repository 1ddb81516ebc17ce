package bodyreader

import (
	"fmt"
	"io"
	"sync/atomic"
)

// A Budget bounds the memory of all bodies that are being read. Its fields are set before use; it is safe for
// concurrent use.
type Budget struct {
	Total int64 // that long bodies may take together, in bytes; 0 for no limit

	used atomic.Int64
}

// shortBody is the length up to which a body takes nothing from a Budget, in bytes: peers that send long ones
// do not keep short ones from being read.
const shortBody = 64 << 10

// ReadAll is like the function, and fails with ErrTooLong, too, if the bodies are too long together.
func (b *Budget) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	counted := &countedBody{body: body, budget: b}
	defer counted.release()
	return ReadAll(counted, limit)
}

// A countedBody takes what is read of a body from a Budget.
type countedBody struct {
	body   io.Reader
	budget *Budget
	length int64
	taken  int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.length += int64(n)
	if excess := c.length - shortBody - c.taken; excess > 0 {
		c.taken += excess
		if used := c.budget.used.Add(excess); c.budget.Total > 0 && used > c.budget.Total {
			return 0, fmt.Errorf("%w: all bodies together have over %d bytes", ErrTooLong, c.budget.Total)
		}
	}
	return n, err
}

// release returns what was taken.
func (c *countedBody) release() { c.budget.used.Add(-c.taken) }
