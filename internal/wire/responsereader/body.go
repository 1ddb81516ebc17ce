package responsereader

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// An exactReader reads a body with a known length.
type exactReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.reader.Read(p[:min(len(p), e.remaining)])
	e.remaining -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// A chunkedReader reads a chunked body and its trailer fields, which it drops. Unlike that of the standard library it
// returns what has arrived of a chunk, and checks the trailer fields.
type chunkedReader struct {
	reader    *bufio.Reader
	begun     bool  // a chunk has been read whose line ending is unread
	excess    int   // bytes that are not data, beyond those of usual chunks
	err       error // that ended the body
	remaining int64 // unread bytes of the current chunk
}

const (
	// maxExcess bounds what a body has of chunk extensions, in bytes, and of trailer fields.
	maxExcess = 16 << 10
	// usualOverhead is how many bytes of a chunk that are not data do not count, beside as many as of its data:
	// chunks may be small.
	usualOverhead = 16
)

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.remaining == 0 && c.err == nil {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	if err != nil {
		c.err = unexpected(err)
	}
	return n, c.err
}

// next reads up to the data of the next chunk. It returns io.EOF after the last one.
func (c *chunkedReader) next() error {
	if c.begun {
		switch line, err := c.readLine(); {
		case err != nil:
			return err
		case len(line) > 0:
			return malformed("end of a chunk", string(line))
		}
	}
	c.begun = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, extensions, extended := bytes.Cut(line, []byte(";"))
	if extended {
		size = bytes.TrimRight(size, " \t")
	}
	length, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || !httpguts.ValidHeaderFieldValue(string(extensions)) {
		return malformed("chunk size", string(line))
	}
	c.remaining = int64(length)
	c.excess = max(0, c.excess-usualOverhead-int(min(c.remaining, maxExcess)))
	if c.remaining == 0 {
		return c.readTrailer()
	}
	return nil
}

// readTrailer reads the trailer fields. It returns io.EOF at their end.
func (c *chunkedReader) readTrailer() error {
	for {
		line, err := c.readLine()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		}
		name, _, err := splitField(string(line))
		if err != nil {
			return err
		}
		if !httpguts.ValidTrailerHeader(name) {
			return malformed("trailer field", string(line))
		}
	}
}

// readLine reads a line, which is valid until the next read.
func (c *chunkedReader) readLine() ([]byte, error) {
	data, err := c.reader.ReadSlice('\n')
	c.excess += len(data)
	switch {
	case errors.Is(err, bufio.ErrBufferFull), err == nil && c.excess > maxExcess:
		return nil, malformed("chunk, as its lines are too long", string(data[:min(len(data), maxText)]))
	case err != nil:
		return nil, unexpected(err)
	}
	line, terminated := bytes.CutSuffix(data, []byte(crlf))
	if !terminated {
		return nil, malformed("line ending", string(line))
	}
	return line, nil
}

// unexpected returns the error for a body that ends early.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
