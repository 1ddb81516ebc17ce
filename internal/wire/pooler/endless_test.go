package pooler_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// Guards against bytes without end that keep a request reading, wherever they come.
func TestBytesWithoutEndEndTheRequest(t *testing.T) {
	many := strings.Repeat("x", 1<<16)
	for name, tc := range map[string]struct{ begin, repeat string }{
		"no line":                     {"", many},
		"status line":                 {"HTTP/1.1 200 ", many},
		"field":                       {"HTTP/1.1 200 OK\r\nX: ", many},
		"fields":                      {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: 1\r\n", 1000)},
		"interim responses":           {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		"chunk size":                  {"HTTP/1.1 200 OK\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<16)},
		"chunk extensions":            {"HTTP/1.1 200 OK\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+many[:500]+"\r\nx\r\n", 100)},
		"trailer":                     {"HTTP/1.1 200 OK\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: 1\r\n", 1000)},
		"body to another request":     {"HTTP/1.1 200 OK\r\nId: p\r\nContent-Length: 99999999999\r\n\r\n", many},
		"chunks to another request":   {"HTTP/1.1 200 OK\r\nId: p\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + many + "\r\n"},
		"responses to other requests": {"", strings.Repeat("HTTP/1.1 200 OK\r\nId: p\r\nContent-Length: 0\r\n\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, err := fmt.Fprint(c, tc.begin)
				for err == nil {
					_, err = fmt.Fprint(c, tc.repeat)
				}
				return false
			})
			p := newPool()
			done := make(chan judge.Observation, 1)
			go func() {
				_, observation := send(t, p, newCall(address, "q"))
				done <- observation
			}()
			select {
			case observation := <-done:
				if observation == nil || judge.Judge(observation).Verdict != judge.MayHaveRun {
					t.Errorf("%v", observation)
				}
			case <-time.After(time.Minute):
				t.Fatal("the request has not ended after a minute")
			}
			if p.Open() != 0 {
				t.Errorf("%d connections are open", p.Open())
			}
		})
	}
}
