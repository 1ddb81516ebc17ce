package requester_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// Guards against a malformed response that counts as a success: of an order, or of a write to a store.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for _, sent := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				fmt.Fprint(c, sent)
			}
		}()
		var request fasthttp.Request
		request.SetRequestURI("http://" + l.Addr().String() + "/")
		var r requester.Requester
		status, body, observation := r.ReadAll(t.Context(), l.Addr().String(), &request)
		if _, ok := observation.(judge.Malformed); !ok {
			t.Errorf("%q: %d %q, %v", sent, status, body, observation)
		}
	}
}
