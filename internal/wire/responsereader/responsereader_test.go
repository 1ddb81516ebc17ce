package responsereader_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/wire/responsereader"
)

// bufferSize is the buffer of the readers, in bytes.
const bufferSize = 1 << 10

func ExampleRead() {
	for _, sent := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		response, err := responsereader.Read(bufio.NewReader(strings.NewReader(sent)), false)
		if err != nil {
			fmt.Println(err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		fmt.Println(response.Status, string(body), err)
	}
	// Output:
	// 200 body <nil>
	// malformed status: "HTTP/1.1 000 OK"
}

// outcome is what was read of a response.
type outcome struct {
	Status int
	Body   string
	Closes bool   // its connection must not be used again
	Rest   string // that was sent after it
}

// read reads a response and its body.
func read(r io.Reader, noBody bool) (outcome, error) {
	reader := bufio.NewReaderSize(r, bufferSize)
	response, err := responsereader.Read(reader, noBody)
	if err != nil {
		return outcome{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{}, err
	}
	rest, err := io.ReadAll(reader)
	return outcome{response.Status, string(body), response.Header.ConnectionClose(), string(rest)}, err
}

// readers return what was sent at once, and in the smallest pieces.
var readers = map[string]func(sent string) io.Reader{
	"at once":   func(sent string) io.Reader { return strings.NewReader(sent) },
	"in pieces": func(sent string) io.Reader { return iotest.OneByteReader(strings.NewReader(sent)) },
}

// Guards against unusual responses that follow the grammar and are rejected.
func TestReadAcceptsUnusualResponses(t *testing.T) {
	const (
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		chunks  = "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
	)
	for _, tc := range []struct {
		name, sent string
		noBody     bool
		want       outcome
	}{
		{name: "length", sent: "HTTP/1.1 200 OK\r\n" + length + "rest", want: outcome{200, "body", false, "rest"}},
		{name: "length 0", sent: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nrest", want: outcome{200, "", false, "rest"}},
		{name: "chunks", sent: "HTTP/1.1 200 OK\r\n" + chunked + chunks + "rest", want: outcome{200, "body", false, "rest"}},
		{name: "until the connection ends", sent: "HTTP/1.1 200 OK\r\n\r\nbody", want: outcome{200, "body", true, ""}},
		{name: "HTTP/1.0", sent: "HTTP/1.0 200 OK\r\n" + length, want: outcome{200, "body", true, ""}},
		{name: "empty reason", sent: "HTTP/1.1 200 \r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "no reason", sent: "HTTP/1.1 200\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "reason with high bytes, tabs and blanks", sent: "HTTP/1.1 200  O\xe9\tK \r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "lower-case names", sent: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", want: outcome{200, "body", false, ""}},
		{name: "all characters of names", sent: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "high bytes and tabs in a value", sent: "HTTP/1.1 200 OK\r\nX: \t\xff\xe9\ta\t\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "empty value", sent: "HTTP/1.1 200 OK\r\nX:\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "no blank after the colon", sent: "HTTP/1.1 200 OK\r\nContent-Length:4\r\n\r\nbody", want: outcome{200, "body", false, ""}},
		{name: "chunk extensions", sent: "HTTP/1.1 200 OK\r\n" + chunked + "4 ; a=\"b c\" ;d\r\nbody\r\n0;e\r\n\r\n", want: outcome{200, "body", false, ""}},
		{name: "sizes in capitals and with zeros", sent: "HTTP/1.1 200 OK\r\n" + chunked + "00A\r\n0123456789\r\n000\r\n\r\n", want: outcome{200, "0123456789", false, ""}},
		{name: "trailer", sent: "HTTP/1.1 200 OK\r\nTrailer: X\r\n" + chunked + "4\r\nbody\r\n0\r\nX: 1\r\nY:2\r\n\r\nrest", want: outcome{200, "body", false, "rest"}},
		{name: "interim responses", sent: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\nX: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "interim response alone in its packet", sent: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length, want: outcome{200, "body", false, ""}},
		{name: "no content", sent: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\nrest", want: outcome{204, "", false, "rest"}},
		{name: "not modified", sent: "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nrest", want: outcome{304, "", false, "rest"}},
		{name: "to a HEAD", sent: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest", noBody: true, want: outcome{200, "", false, "rest"}},
		{name: "highest status", sent: "HTTP/1.1 599 Odd\r\n" + length, want: outcome{599, "body", false, ""}},
		{name: "chunks beside a length", sent: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + chunked + chunks, want: outcome{200, "body", true, ""}},
		{name: "a length beside chunks", sent: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n" + chunks, want: outcome{200, "body", true, ""}},
		{name: "empty line in the body", sent: "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r\n\r\nbody", want: outcome{200, "\r\n\r\nbody", false, ""}},
	} {
		for how, newReader := range readers {
			t.Run(tc.name+" "+how, func(t *testing.T) {
				got, err := read(newReader(tc.sent), tc.noBody)
				if diff := cmp.Diff(tc.want, got); diff != "" || err != nil {
					t.Error(err, diff)
				}
			})
		}
	}
}

// Guards against malformed responses that are repaired, or whose malformed parts are ignored.
func TestReadRejectsMalformedResponses(t *testing.T) {
	const (
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for part, responses := range map[string][]string{
		"version": {
			"HTTP/3.7 200 OK\r\n" + length, "HTTP/1.2 200 OK\r\n" + length, "HTTP/1.10 200 OK\r\n" + length, "http/1.1 200 OK\r\n" + length,
			" HTTP/1.1 200 OK\r\n" + length, "\r\nHTTP/1.1 200 OK\r\n" + length, "HTTP/1.1\t200 OK\r\n" + length, "\x00\x01\r\n\r\n", "HTTP\r\n" + length,
		},
		"status": {
			"HTTP/1.1 000 OK\r\n" + length, "HTTP/1.1 000\r\n" + length, "HTTP/1.1 001 OK\r\n" + length, "HTTP/1.1 099 OK\r\n" + length,
			"HTTP/1.1 600 OK\r\n" + length, "HTTP/1.1 999 OK\r\n" + length, "HTTP/1.1 20 OK\r\n" + length, "HTTP/1.1 0200 OK\r\n" + length,
			"HTTP/1.1 2x0 OK\r\n" + length, "HTTP/1.1 +20 OK\r\n" + length, "HTTP/1.1 \xb2\xb20 OK\r\n" + length, "HTTP/1.1  200 OK\r\n" + length, "HTTP/1.1 \r\n" + length, "HTTP/1.1\r\n" + length,
		},
		"reason":    {"HTTP/1.1 200 O\x01K\r\n" + length, "HTTP/1.1 200 O\x7fK\r\n" + length, "HTTP/1.1 200 O\rK\r\n" + length},
		"protocol":  {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		"number of": {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 200)},
		"field name": {
			"HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX\tBad: 1\r\n" + length,
			"HTTP/1.1 200 OK\r\nX-Bad : 1\r\n" + length, "HTTP/1.1 200 OK\r\nX-Bad\t: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX\xe9: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX(1): 1\r\n" + length,
			"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\n: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX\r\n" + length, "HTTP/1.1 200 OK\r\n X: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n" + length, "HTTP/1.1 200 OK\r\nX: 1\r\n\t2: 3\r\n" + length,
			"HTTP/1.1 102 Processing\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
			chunked + "4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n", chunked + "4\r\nbody\r\n0\r\nX-Bad : 1\r\n\r\n", chunked + "4\r\nbody\r\n0\r\nX: 1\r\n 2\r\n\r\n",
		},
		"field value":     {"HTTP/1.1 200 OK\r\nX: \x01\r\n" + length, "HTTP/1.1 200 OK\r\nX: \x7f\r\n" + length, "HTTP/1.1 200 OK\r\nX: a\rb\r\n" + length, chunked + "4\r\nbody\r\n0\r\nX: \x00\r\n\r\n"},
		"line ending":     {"HTTP/1.1 200 OK\n" + length, "HTTP/1.1 200 OK\nX: 1\r\n" + length, "HTTP/1.1 200 OK\r\nX: 1\nY: 2\r\n" + length, "HTTP/1.1 200 OK\r\nX: 1\n\n" + "body", chunked + "4\nbody\r\n0\r\n\r\n", chunked + "4\r\nbody\n0\r\n\r\n", chunked + "4\r\nbody\r\n0\r\n\n"},
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody"},
		"transfer coding": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"chunk size":      {chunked + "x\r\n", chunked + "\r\n", chunked + "-1\r\n", chunked + "+1\r\na\r\n", chunked + "0x1\r\na\r\n", chunked + "1_0\r\n", chunked + " 1\r\na\r\n", chunked + "1 \r\na\r\n", chunked + "1;\x00\r\na\r\n", chunked + "ffffffffffffffffff\r\n"},
		"end of a chunk":  {chunked + "4\r\nbodyx\r\n0\r\n\r\n", chunked + "3\r\nbody\r\n0\r\n\r\n"},
		"trailer field":   {chunked + "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n", chunked + "4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"head, as":        {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", bufferSize) + "\r\n" + length, strings.Repeat("x", 2*bufferSize)},
		"chunk, as":       {chunked + "4;" + strings.Repeat("x", bufferSize) + "\r\nbody\r\n0\r\n\r\n", chunked + strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\na\r\n", 100), chunked + "0\r\n" + strings.Repeat("X: 1\r\n", 1<<12)},
	} {
		for _, sent := range responses {
			for how, newReader := range readers {
				t.Run(fmt.Sprintf("%s %.60q %s", part, sent, how), func(t *testing.T) {
					got, err := read(newReader(sent), false)
					var malformed *responsereader.MalformedError
					if !errors.As(err, &malformed) || !strings.HasPrefix(malformed.Part, part) {
						t.Errorf("%+v, %v", got, err)
					}
				})
			}
		}
	}
}

// Guards against responses that end early and look complete, or are taken for malformed ones.
func TestReadReportsResponsesThatEndEarly(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for length := 1; length < len(whole); length++ {
			want := io.ErrUnexpectedEOF
			if strings.HasSuffix(whole[:length], "Processing\r\n\r\n") {
				want = io.EOF // before the first byte of the response
			}
			if got, err := read(strings.NewReader(whole[:length]), false); !errors.Is(err, want) {
				t.Errorf("%q: %+v, %v, want %v", whole[:length], got, err, want)
			}
		}
	}
	if _, err := read(strings.NewReader(""), false); !errors.Is(err, io.EOF) {
		t.Errorf("nothing: %v", err)
	}
	errReset := errors.New("reset")
	if _, err := read(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nbo"), iotest.ErrReader(errReset)), false); !errors.Is(err, errReset) {
		t.Errorf("reset: %v", err)
	}
}

// Guards against log lines that a runner writes: an error has no control bytes, and is short.
func TestMalformedErrorIsShortAndPrintable(t *testing.T) {
	_, err := read(strings.NewReader("HTTP/1.1 200 \x1b\x00"+strings.Repeat("\xff", 500)+"\r\n\r\n"), false)
	if err == nil {
		t.Fatal("no error")
	}
	text := err.Error()
	if len(text) > 400 || strings.ContainsFunc(text, func(c rune) bool { return c < ' ' || c >= 0x7f }) {
		t.Errorf("%q", text)
	}
}

// Guards against a chunk whose beginning is held back until the rest of it arrives.
func TestChunksAreReadAsTheyArrive(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go fmt.Fprint(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n")
	response, err := responsereader.Read(bufio.NewReader(r), false)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 100)
	if n, err := response.Body.Read(got); string(got[:n]) != "id: 1\n\n" || err != nil {
		t.Errorf("%q, %v", got[:n], err)
	}
}
