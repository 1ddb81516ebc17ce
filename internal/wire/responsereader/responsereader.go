// Package responsereader reads HTTP/1.1 responses and rejects malformed ones.
//
// The HTTP library repairs or ignores what does not follow the grammar, and a head that it has parsed does not
// show that. So each head is checked before the library parses it.
package responsereader

import (
	"bufio"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
)

// A Response is a response whose body has not been read.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader

	// Body ends with io.EOF only where the response is complete. It fails with io.ErrUnexpectedEOF if the
	// response ends early, and with a MalformedError if its chunks or trailer fields are malformed.
	Body io.Reader
}

// maxInterim bounds the interim responses before a response.
const maxInterim = 100

// Read reads the head of the next response that is not an interim one. noBody states that the response has no
// body whatever its header says, as for HEAD. The head must fit in the buffer of r. Read returns io.EOF if there is
// no response, and a MalformedError if it, or an interim response before it, is malformed.
func Read(r *bufio.Reader, noBody bool) (*Response, error) {
	for range maxInterim + 1 {
		h, err := readHead(r)
		switch {
		case err != nil:
			return nil, err
		case h.status == fasthttp.StatusSwitchingProtocols:
			return nil, malformed("protocol switch that was not requested", h.line)
		case h.status < fasthttp.StatusOK:
			_, _ = r.Discard(h.length) // never fails, as the head is in the buffer
			continue
		}
		return parse(r, h, noBody)
	}
	return nil, malformed("number of interim responses", "")
}

// parse makes the library parse a head that has been checked.
func parse(r *bufio.Reader, h head, noBody bool) (*Response, error) {
	header := &fasthttp.ResponseHeader{}
	if err := header.Read(r); err != nil {
		return nil, malformed("head", err.Error())
	}
	if h.chunked && h.hasLength {
		// The length may be meant for another reader of the connection, for which a part of the body is the
		// next response.
		header.SetConnectionClose()
	}
	response := &Response{Status: header.StatusCode(), Header: header}
	switch length := header.ContentLength(); {
	case noBody, h.status == fasthttp.StatusNoContent, h.status == fasthttp.StatusNotModified:
		response.Body = strings.NewReader("")
	case h.chunked:
		response.Body = &chunkedReader{reader: r}
	case length >= 0:
		response.Body = &exactReader{reader: r, remaining: length}
	default:
		response.Body = r // ends with the connection
	}
	return response, nil
}
