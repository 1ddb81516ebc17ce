package forwarder_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// A disconnectingSink is a caller that disconnects while a response is passed to it.
type disconnectingSink struct{ responses int }

var errDisconnected = errors.New("caller disconnected")

func (s *disconnectingSink) respond() error {
	s.responses++
	return errDisconnected
}

func (s *disconnectingSink) Head(*forwarder.Reply) error             { return s.respond() }
func (s *disconnectingSink) Event([]byte) error                      { return errDisconnected }
func (s *disconnectingSink) Complete(*forwarder.Reply, []byte) error { return s.respond() }

// A runner fails a request, which is retried on another runner, and the caller disconnects
// while it receives the second response. It must not be given the failed response as well:
// a second response to one request crashes the process and fails the requests of all other
// callers.
func TestDisconnectedCallerGetsOneResponse(t *testing.T) {
	failed := func() *forwarder.Reply {
		return &forwarder.Reply{Status: 500, Body: strings.NewReader("failed"), Close: func(bool) {}}
	}
	for _, tc := range []struct {
		name   string
		kind   matcher.Kind
		second func(ctx context.Context) *forwarder.Reply
	}{
		{"second attempt fails", matcher.Idempotent, func(context.Context) *forwarder.Reply { return failed() }},
		{"second attempt completes", matcher.Idempotent, func(context.Context) *forwarder.Reply {
			return &forwarder.Reply{Status: 200, Body: strings.NewReader("body"), Close: func(bool) {}}
		}},
		{"second attempt streams", matcher.Streaming, func(ctx context.Context) *forwarder.Reply {
			return streamReply(&body{ctx: ctx, from: 1, to: 3, end: io.EOF})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := &upstream{answer: func(ctx context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
				if n == 1 {
					return failed(), nil
				}
				return tc.second(ctx), nil
			}}
			route := &matcher.Route{Kind: tc.kind, Resumable: true, MaxExecutions: 2, LatencyTarget: time.Second, Timeout: 12 * time.Second}
			var caller disconnectingSink
			err := newForwarder(u, placement{}, 2).Forward(t.Context(), newRequest(route), &caller)
			if caller.responses != 1 {
				t.Errorf("caller received %d responses, want 1", caller.responses)
			}
			if err == nil || err.Reason != judge.ReasonCancelled {
				t.Errorf("error %v, want reason cancelled", err)
			}
		})
	}
}
