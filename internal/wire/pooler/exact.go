package pooler

import "io"

// Exact returns a reader of a body with a known length. It fails with
// io.ErrUnexpectedEOF if the body ends early, so that a truncated response is
// never taken for a complete one.
func Exact(r io.Reader, length int) io.Reader { return &exactReader{reader: r, remaining: length} }

type exactReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	n, err := e.reader.Read(p)
	e.remaining -= n
	if err == io.EOF && e.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
