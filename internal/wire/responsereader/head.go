package responsereader

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// A head is the head of a response that has been checked and is still in the buffer of its reader.
type head struct {
	length int    // in bytes, of the lines that have been checked
	line   string // status line
	status int

	http10    bool // the response is an HTTP/1.0 one
	hasLength bool // it has a Content-Length
	chunked   bool // its body is chunked
}

const crlf = "\r\n"

// readHead waits for a head. It checks each line as soon as it has arrived.
func readHead(r *bufio.Reader) (head, error) {
	var h head
	for awaited := 1; ; awaited = r.Buffered() + 1 {
		_, err := r.Peek(awaited)
		buffered, _ := r.Peek(r.Buffered()) // never fails
		complete, malformed := h.check(buffered[h.length:])
		switch {
		case malformed != nil:
			return head{}, malformed
		case complete:
			return h, nil
		case err != nil:
			return head{}, headError(err, buffered)
		}
	}
}

// headError returns the error for a head that has not arrived whole.
func headError(err error, arrived []byte) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return malformed("head, as it is too long", string(arrived[:min(len(arrived), maxText)]))
	case errors.Is(err, io.EOF) && len(arrived) > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// check checks further lines, and reports whether they complete the head.
func (h *head) check(arrived []byte) (complete bool, err error) {
	if end := bytes.Index(arrived, []byte(crlf+crlf)); end >= 0 {
		arrived = arrived[:end+len(crlf+crlf)]
	} else {
		arrived = arrived[:bytes.LastIndexByte(arrived, '\n')+1]
	}
	for line := range strings.Lines(string(arrived)) {
		first := h.length == 0
		h.length += len(line)
		line, terminated := strings.CutSuffix(line, crlf)
		switch {
		case !terminated:
			err = malformed("line ending", line)
		case first:
			err = h.checkStatusLine(line)
		case line == "":
			return true, nil
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// checkStatusLine checks a status line. The space after the status may be missing where there is no reason, as
// many servers leave it out.
func (h *head) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	h.line = line
	h.http10 = version == "HTTP/1.0"
	if !h.http10 && version != "HTTP/1.1" {
		return malformed("version", line)
	}
	if !validStatus(status) {
		return malformed("status", line)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("reason", line)
	}
	h.status, _ = strconv.Atoi(status) // never fails
	return nil
}

// validStatus reports whether a status is from 100 to 599. Others have three digits and no meaning, neither to
// this program nor to a caller.
func validStatus(status string) bool {
	const digits = "0123456789"
	return len(status) == 3 && strings.Trim(status, digits) == "" && status >= "100" && status <= "599"
}

// checkField checks a field line. A line that continues the field before is malformed, too.
func (h *head) checkField(line string) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if _, err := strconv.ParseUint(value, 10, 63); err != nil || h.hasLength {
			return malformed("length", line)
		}
		h.hasLength = true
	case strings.EqualFold(name, "Transfer-Encoding"):
		if !strings.EqualFold(value, "chunked") || h.chunked || h.http10 {
			return malformed("transfer coding", line)
		}
		h.chunked = true
	}
	return nil
}

// splitField returns the name and the value of a field line.
func splitField(line string) (name, value string, err error) {
	name, value, colon := strings.Cut(line, ":")
	switch {
	case !colon || !httpguts.ValidHeaderFieldName(name):
		return "", "", malformed("field name", line)
	case !httpguts.ValidHeaderFieldValue(value):
		return "", "", malformed("field value", line)
	}
	return name, strings.Trim(value, " \t"), nil
}
