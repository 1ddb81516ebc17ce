package pooler

import "io"

// Exact returns a reader of a body with a known length. It fails with
// io.ErrUnexpectedEOF if the body ends early, so that a truncated response is
// never taken for a complete one.
func Exact(r io.Reader, length int) io.Reader { return &exactReader{reader: r, left: length} }

type exactReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	n, err := e.reader.Read(p)
	e.left -= n
	if err == io.EOF && e.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
