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

// A leaver is a caller that goes away just as an answer is given to it.
type disconnectingSink struct{ responses int }

var errDisconnected = errors.New("the caller has left")

func (l *disconnectingSink) respond() error {
	l.responses++
	return errDisconnected
}

func (l *disconnectingSink) Head(*forwarder.Reply) error          { return l.respond() }
func (l *disconnectingSink) Event([]byte) error                   { return errDisconnected }
func (l *disconnectingSink) Whole(*forwarder.Reply, []byte) error { return l.respond() }

// A runner fails a request, which is sent to another one; the caller leaves just as
// the answer of that one is given to it. The failure at hand must not be given as
// well: a second answer to one request ends the process, and with it the requests of
// all its other callers.
func TestDisconnectedCallerGetsOneResponse(t *testing.T) {
	failed := func() *forwarder.Reply {
		return &forwarder.Reply{Status: 500, Body: strings.NewReader("failed"), Close: func(bool) {}}
	}
	for _, tc := range []struct {
		name   string
		kind   matcher.Kind
		second func(ctx context.Context) *forwarder.Reply
	}{
		{"that fails too", matcher.Idempotent, func(context.Context) *forwarder.Reply { return failed() }},
		{"that is whole", matcher.Idempotent, func(context.Context) *forwarder.Reply {
			return &forwarder.Reply{Status: 200, Body: strings.NewReader("body"), Close: func(bool) {}}
		}},
		{"that is a stream", matcher.Streaming, func(ctx context.Context) *forwarder.Reply {
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
			route := &matcher.Route{Kind: tc.kind, Resumes: true, Attempts: 2, Goal: time.Second, Timeout: 12 * time.Second}
			var caller disconnectingSink
			err := newForwarder(u, placement{}, 2).Forward(t.Context(), newRequest(route), &caller)
			if caller.responses != 1 {
				t.Errorf("given %d answers, want 1", caller.responses)
			}
			if err == nil || err.Reason != judge.ReasonCancelled {
				t.Errorf("error %v, want that the caller went away", err)
			}
		})
	}
}
