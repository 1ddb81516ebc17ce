package pooler_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// Guards against a malformed response that is taken for one, whole or in pieces, after interim responses, and
// where it is skipped because it names another request.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for _, tc := range []struct{ name, sent string }{
		{"status 000", "HTTP/1.1 000 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx"},
		{"status 099", "HTTP/1.1 099 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nId: q\r\nX Bad: 1\r\nContent-Length: 1\r\n\r\nx"},
		{"blank in the name of the length", "HTTP/1.1 200 OK\r\nId: q\r\nContent Length: 1\r\n\r\nx"},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length : 1\r\n\r\nx"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nId: q\r\nX\x01Bad: 1\r\nContent-Length: 1\r\n\r\nx"},
		{"blank in the name of a trailer", "HTTP/1.1 200 OK\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX Bad: 1\r\n\r\n"},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nId: q\r\nUpgrade: x\r\n\r\n"},
		{"after an interim response", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx"},
		{"malformed interim response", "HTTP/1.1 102 Processing\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx"},
		{"to another request", "HTTP/1.1 200 OK\r\nId: p\r\nX Bad: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 1\r\n\r\nx"},
	} {
		for _, pieces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in pieces %t", tc.name, pieces), func(t *testing.T) {
				t.Parallel()
				address, connections := startServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
					if !pieces {
						fmt.Fprint(c, tc.sent)
						return false
					}
					for i := range tc.sent {
						if _, err := fmt.Fprint(c, tc.sent[i:i+1]); err != nil {
							return false
						}
					}
					return false
				})
				p := newPool()
				for range 2 {
					got, observation := send(t, p, newCall(address, "q"))
					if observation == nil {
						t.Fatalf("got %q", got)
					}
					failed := judge.Judge(observation)
					if diff := cmp.Diff([]any{judge.MayHaveRun, judge.Reason("malformed")}, []any{failed.Verdict, failed.Reason}); diff != "" {
						t.Error(failed, diff)
					}
				}
				if got := connections.Load(); got != 2 {
					t.Errorf("%d connections, want one for each request", got)
				}
			})
		}
	}
}
