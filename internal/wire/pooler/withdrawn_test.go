package pooler_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// Guards against requests that are written although their callers have left while they waited for a
// connection, and against the loss of that connection.
func TestWithdrawnRequestIsNotWritten(t *testing.T) {
	for _, tc := range []struct {
		name     string
		withdraw func(call *pooler.Call, cancel context.CancelFunc)
	}{
		{"caller left", func(call *pooler.Call, _ context.CancelFunc) { call.Withdrawn = func() bool { return true } }},
		{"context ended", func(call *pooler.Call, cancel context.CancelFunc) { call.OnConnected = cancel }},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(tc.name+map[bool]string{false: ", new connection", true: ", kept connection"}[kept], func(t *testing.T) {
				var arrived atomic.Int64
				address, connections := startServer(t, func(c net.Conn, _ int, r *http.Request) bool {
					arrived.Add(1)
					writeResponse(c, r.Header.Get("Id"), "body")
					return true
				})
				p := newPool()
				want := int64(1)
				if kept {
					want++
					if _, observation := send(t, p, newCall(address, "before")); observation != nil {
						t.Fatal(observation)
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				call := newCall(address, "withdrawn")
				tc.withdraw(&call, cancel)
				_, observation := p.Do(ctx, call)
				if diff := cmp.Diff(judge.Observation(judge.Withdrawn{}), observation); diff != "" {
					t.Error(diff)
				}
				if body, observation := send(t, p, newCall(address, "after")); body != "body" || observation != nil {
					t.Error(body, observation)
				}
				if diff := cmp.Diff([]int64{want, 1}, []int64{arrived.Load(), connections.Load()}); diff != "" {
					t.Errorf("requests, connections: %s", diff)
				}
			})
		}
	}
}
