package forwarder_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// Guards against a response over the limit whose caller gets the first part of its body as the whole one,
// and whose connection is used again although the rest of the body is still to come on it.
func TestResponseOverTheLimitIsNotTruncated(t *testing.T) {
	const size = 17 << 20
	for name, detoured := range map[string]bool{"at a runner": false, "over a detour": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reused := false
				reply := func() *forwarder.Reply {
					return &forwarder.Reply{
						Status: 200, Body: bytes.NewReader(make([]byte, size)), Close: func(complete bool) { reused = complete },
						BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
					}
				}
				u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return reply(), nil
				}}
				f := newForwarder(u, placement{}, 2)
				f.Detours = &detours{answer: func(_ context.Context, _ int, _ forwarder.DetourRequest, o *forwarder.DetourOutcome) (*forwarder.Reply, *judge.Error) {
					*o = forwarder.DetourOutcome{Peer: "front-2", Arrivals: 1, Executions: 1}
					return reply(), nil
				}}
				if detoured {
					partition(f, "i-0", "i-1")
				}
				route := resumableRoute()
				route.Kind, route.Resumable, route.MaxExecutions = matcher.Kind(0), false, 1
				var caller strictSink
				err := f.Forward(t.Context(), newRequest(route), &caller)
				if err == nil && len(caller.got) != size || reused && len(caller.got) != size {
					t.Errorf("error %v, %d of %d bytes, connection used again: %t", err, len(caller.got), size, reused)
				}
			})
		})
	}
}

// endlessBodies are bodies without end that are read at the same time.
type endlessBodies struct {
	count int // of bodies

	mu   sync.Mutex
	cond sync.Cond
	long int // bodies that are long, or have been closed
	held int // bytes of those that have not been closed
	most int // maximum of held
}

// An endlessBody is one of several bodies.
type endlessBody struct {
	bodies *endlessBodies
	length int
	long   bool
}

// longBody is from which length on a body waits until the others are long, too, in bytes.
const longBody = 1 << 20

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	all := b.bodies
	all.mu.Lock()
	defer all.mu.Unlock()
	if b.length >= longBody {
		b.count()
	}
	for b.long && all.long < all.count {
		all.cond.Wait()
	}
	b.length += len(p)
	all.held += len(p)
	all.most = max(all.most, all.held)
	return len(p), nil
}

// count counts the body as a long one.
func (b *endlessBody) count() {
	if !b.long {
		b.long = true
		b.bodies.long++
		b.bodies.cond.Broadcast()
	}
}

// Close ends the reading.
func (b *endlessBody) Close(bool) {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.count()
	b.bodies.held -= b.length
}

// Guards against runners whose responses do not end, and which together take the memory of the instance.
func TestEndlessResponsesTakeABoundedPartOfTheMemory(t *testing.T) {
	const requests, total = 20, 4 << 20
	all := &endlessBodies{count: requests}
	all.cond.L = &all.mu
	u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
		b := &endlessBody{bodies: all}
		return &forwarder.Reply{
			Status: 200, Body: b, Close: b.Close,
			BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
		}, nil
	}}
	f := newForwarder(u, placement{}, requests)
	f.Bodies.Total = total
	route := resumableRoute()
	route.Kind, route.Resumable, route.MaxExecutions = matcher.NonIdempotent, false, 1
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			err := f.Forward(t.Context(), newRequest(route), &strictSink{})
			if err == nil || err.Verdict != judge.MayHaveRun {
				t.Errorf("error %v", err)
			}
		})
	}
	callers.Wait()
	if all.most > 2*total {
		t.Errorf("%d bytes were held at a time, over %d", all.most, 2*total)
	}
}
