package answerer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// A lateDispatcher passes a response on, and returns only when it would have been written.
type lateDispatcher struct{}

// Dispatch implements Dispatcher.
func (lateDispatcher) Dispatch(ctx context.Context, _ *streamer.Call, sink streamer.Sink) error {
	if err := sink.Head(streamer.Head{Status: fasthttp.StatusOK}); err != nil {
		return err
	}
	if err := sink.Data([]byte("body")); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if ctx.Err() != nil {
		return judge.Refuse(judge.ReasonCancelled, "cancelled")
	}
	return nil
}

// Guards against complete responses that are recorded as cancelled because they were written
// before the dispatch had ended.
func TestWrittenResponseIsNotCancelled(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stream bool
		want   string
	}{
		{"complete", false, "body"},
		{"stream", true, "data: body\n\ndata: [DONE]\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				a := &Answerer{Dispatcher: lateDispatcher{}, Logger: log.NewNopLogger(), Metrics: metrics.NewSet(), open: map[string]int{"": 1}}
				p := newPipe(ctx, cancel, a, &streamer.Call{Stream: tc.stream}, 0)
				go p.run()
				var got bytes.Buffer
				if tc.stream {
					conn, peer := net.Pipe()
					defer func() { _, _ = conn.Close(), peer.Close() }()
					p.writeStream(bufio.NewWriter(&got), conn)
				} else {
					c := &fasthttp.RequestCtx{}
					p.write(c)
					got.Write(c.Response.Body())
				}
				if diff := cmp.Diff(tc.want, got.String()); diff != "" {
					t.Error(diff)
				}
				if p.err != nil {
					t.Errorf("error %v of a response that was written", p.err)
				}
			})
		})
	}
}
