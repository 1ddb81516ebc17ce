package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An upstream answers attempts as its script says.
type upstream struct {
	mu       sync.Mutex
	attempts []forwarder.Attempt
	answer   func(ctx context.Context, n int, a forwarder.Attempt) (*forwarder.Reply, judge.Observation)
}

func (u *upstream) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
	u.mu.Lock()
	u.attempts = append(u.attempts, a)
	n := len(u.attempts)
	u.mu.Unlock()
	return u.answer(ctx, n, a)
}

// A placement has every adapter there and room as its script says.
type placement struct {
	place   func(runner string, within time.Duration) (forwarder.Place, *judge.Error, bool)
	reserve func(a forwarder.Ask) (forwarder.Room, *judge.Error, bool)
	spare   func(runner string)
}

func (p placement) Wait(w forwarder.Waiter) { p.Spare(w.Runner, w.Copy) }
func (p placement) Spare(runner string, _ placer.Copy) {
	if p.spare != nil {
		p.spare(runner)
	}
}

func (p placement) Place(_ context.Context, runner string, within time.Duration) (forwarder.Place, *judge.Error, bool) {
	if p.place == nil {
		return forwarder.Place{}, nil, false
	}
	return p.place(runner, within)
}
func (placement) Use(string, placer.Copy) func()              { return func() {} }
func (placement) There(string, placer.Copy, time.Time)        {}
func (placement) Paused(string, time.Duration, time.Duration) {}
func (placement) Missing(string, placer.Copy)                 {}
func (p placement) Reserve(_ context.Context, a forwarder.Ask) (forwarder.Room, *judge.Error, bool) {
	if p.reserve == nil {
		return forwarder.Room{}, nil, false
	}
	return p.reserve(a)
}

// A quarantine holds what its script says, and keeps what it was told.
type quarantine struct {
	held      func() bool
	broken    []string // runners
	completed int
}

func (*quarantine) Suspects() bool { return true }
func (q *quarantine) Held(quarantiner.Digest) (time.Duration, bool) {
	return time.Minute, q.held != nil && q.held()
}

func (q *quarantine) Broke(_ quarantiner.Digest, r tracker.Runner, _ time.Time) {
	q.broken = append(q.broken, r.ID)
}
func (q *quarantine) Whole(quarantiner.Digest) { q.completed++ }

// A sink keeps what the caller saw.
type sink struct{ got string }

func (s *sink) Head(*forwarder.Reply) error { return nil }
func (s *sink) Event(data []byte) error     { s.got += string(data); return nil }
func (s *sink) Whole(_ *forwarder.Reply, body []byte) error {
	s.got = string(body)
	return nil
}

// A body gives events with pauses between them, and ends with its context.
type body struct {
	ctx    context.Context
	from   int
	to     int
	delays map[int]time.Duration // pause before an event
	end    error
}

func (b *body) Read(p []byte) (int, error) {
	if b.from > b.to {
		return 0, b.end
	}
	select {
	case <-time.After(b.delays[b.from]):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := copy(p, event(b.from))
	b.from++
	return n, nil
}

func event(id int) string { return fmt.Sprintf("id: %d\n\n", id) }

func streamReply(b *body) *forwarder.Reply {
	return &forwarder.Reply{
		Status: 200, Body: b, Close: func(bool) {},
		Broken: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
	}
}

func newForwarder(u *upstream, p placement, runners int) *forwarder.Forwarder {
	fleet := &tracker.Fleet{Domain: "a"}
	for n := range runners {
		fleet.Set(tracker.Runner{ID: fmt.Sprint("i-", n), Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Revision: 1})
	}
	return &forwarder.Forwarder{
		Burst: func() float64 { return 20 }, Ending: func() bool { return false }, Fleet: fleet, LoadTime: func() time.Duration { return time.Second },
		Newest: func(string, string) int { return 2 }, Part: 0.2, Placement: p, Quarantine: &quarantine{}, Recorder: &recorder.Recorder{Metrics: metrics.NewSet(), Out: io.Discard}, Retried: func(*judge.Error) {},
		ReturnTime: func() time.Duration { return time.Second }, Upstream: u, Window: 10 * time.Second,
	}
}

func newRequest(route *matcher.Route) *forwarder.Request {
	now := time.Now()
	return &forwarder.Request{
		ID: "q", Arrived: now, Deadline: now.Add(12 * time.Second), Copy: placer.Copy{Model: "m"}, Engine: &matcher.Engine{},
		Route: route, Service: "llm", Tokens: 100,
	}
}

func resumableRoute() *matcher.Route {
	return &matcher.Route{Kind: matcher.Streaming, Resumes: true, Attempts: 2, Goal: time.Second, Gap: 250 * time.Millisecond, Timeout: 12 * time.Second}
}

// A caller reads a stream whose runner puts the run back for more urgent ones
// and is silent for 2.5 s. No other runner can take over. Taking the silence
// for a failure cut the answer, although the runner would have gone on and the
// caller still waited.
func TestIdleStreamIsNotCutWithoutAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: 1, to: 3, delays: map[int]time.Duration{1: 2500 * time.Millisecond, 3: 3500 * time.Millisecond}, end: io.EOF}), nil
		}}
		var got sink
		err := newForwarder(u, placement{}, 1).Forward(t.Context(), newRequest(resumableRoute()), &got)
		if diff := cmp.Diff(event(1)+event(2)+event(3), got.got); err != nil || diff != "" {
			t.Errorf("%v %s", err, diff)
		}
	})
}

// The same with another runner that is free: after a while without a first
// event it gets the request, and the caller is served in time.
func TestUnresponsiveRunnerIsReplacedByFreeRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			b := &body{ctx: ctx, from: 1, to: 2, end: io.EOF}
			if n == 1 {
				b.delays = map[int]time.Duration{1: time.Hour}
			}
			return streamReply(b), nil
		}}
		var got sink
		started := time.Now()
		err := newForwarder(u, placement{}, 2).Forward(t.Context(), newRequest(resumableRoute()), &got)
		if diff := cmp.Diff(event(1)+event(2), got.got); err != nil || diff != "" {
			t.Errorf("%v %s", err, diff)
		}
		if took := time.Since(started); took > 3*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// A much wanted adapter lies at one of two runners, and its callers are held back
// there one after the other. Each wait is shorter than a load, so nobody goes
// elsewhere, and all are late. One more copy is asked for at the other runner,
// for those who come after; not for a short wait, and not while one is coming.
func TestPopularAdapterGetsSpareCopy(t *testing.T) {
	for _, tc := range []struct {
		name    string
		wait    time.Duration
		loading bool
		want    []string
	}{
		{"long wait", 400 * time.Millisecond, false, []string{"i-1"}},
		{"short wait", 50 * time.Millisecond, false, nil},
		{"a copy is on its way", 400 * time.Millisecond, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
				}}
				var requested []string
				f := newForwarder(u, placement{
					reserve: func(forwarder.Ask) (forwarder.Room, *judge.Error, bool) {
						return forwarder.Room{Wait: tc.wait}, nil, true
					},
					spare: func(runner string) { requested = append(requested, runner) },
				}, 2)
				adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 2}
				f.Fleet.Held("i-0", map[placer.Copy]time.Time{adapter: {}})
				f.Fleet.Held("i-1", nil)
				if tc.loading {
					f.Fleet.HeldOne("i-1", adapter, time.Now().Add(time.Second), true)
				}
				r := newRequest(resumableRoute())
				r.Copy = adapter
				var got sink
				if err := f.Forward(t.Context(), r, &got); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tc.want, requested); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A much wanted adapter lies at two runners and the first has no room. The
// caller is served by the second one; only when none has room it is refused,
// with the time to come back and the promise that nothing ran.
func TestRequestFallsBackFromFullRunner(t *testing.T) {
	for _, tc := range []struct {
		name string
		full int
		want string
	}{{"one of two full", 1, event(1)}, {"both full", 2, ""}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
				}}
				full := make(map[string]bool)
				p := placement{reserve: func(a forwarder.Ask) (forwarder.Room, *judge.Error, bool) {
					if full[a.Runner] || len(full) < tc.full {
						full[a.Runner] = true
						return forwarder.Room{}, judge.Refuse(judge.ReasonQueue, "full").After(300 * time.Millisecond), true
					}
					return forwarder.Room{}, nil, true
				}}
				var got sink
				err := newForwarder(u, p, 2).Forward(t.Context(), newRequest(resumableRoute()), &got)
				if diff := cmp.Diff(tc.want, got.got); diff != "" {
					t.Error(diff)
				}
				if tc.want == "" && (err == nil || err.Verdict != judge.NotRun || err.Retry < 300*time.Millisecond || err.Retry > time.Second || len(u.attempts) != 0) {
					t.Errorf("refused with %+v after %d attempts", err, len(u.attempts))
				}
			})
		})
	}
}

// A caller's prompt is held back until its runner has read what is before it.
// Meanwhile the runner says that it leaves. Sent to it, the request would reach
// a runner that takes nothing new; it has to go to the other one.
func TestDelayedRequestIsNotSentToLeavingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
		}}
		leaving := ""
		var f *forwarder.Forwarder
		f = newForwarder(u, placement{reserve: func(a forwarder.Ask) (forwarder.Room, *judge.Error, bool) {
			if leaving == "" {
				leaving = a.Runner
				time.AfterFunc(100*time.Millisecond, func() {
					f.Fleet.Set(tracker.Runner{ID: a.Runner, Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Leaving: true, Revision: 2})
				})
				return forwarder.Room{Wait: 300 * time.Millisecond}, nil, true
			}
			return forwarder.Room{}, nil, true
		}}, 2)
		var got sink
		err := f.Forward(t.Context(), newRequest(resumableRoute()), &got)
		if err != nil || len(u.attempts) != 1 || u.attempts[0].Runner.ID == leaving {
			t.Errorf("%v; %s leaves, sent to %+v", err, leaving, u.attempts)
		}
	})
}

// A caller reads a stream on version 1 of an adapter. Version 2 is named, and
// seconds later the runner breaks off. The run that goes on begins now, so it has
// to begin on version 2.
func TestResumedStreamUsesNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			if n == 1 {
				return streamReply(&body{ctx: ctx, from: 1, to: 2, end: io.ErrUnexpectedEOF}), nil
			}
			return streamReply(&body{ctx: ctx, from: 3, to: 3, end: io.EOF}), nil
		}}
		f := newForwarder(u, placement{}, 2)
		old, newest := placer.Copy{Model: "m", Adapter: "a", Version: 1}, placer.Copy{Model: "m", Adapter: "a", Version: 2}
		f.Fleet.Held("i-0", map[placer.Copy]time.Time{old: {}})
		f.Fleet.Held("i-1", map[placer.Copy]time.Time{newest: {}})
		r := newRequest(resumableRoute())
		r.Copy = old
		var got sink
		err := f.Forward(t.Context(), r, &got)
		if diff := cmp.Diff(event(1)+event(2)+event(3), got.got); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
		last := u.attempts[len(u.attempts)-1]
		if last.Runner.ID != "i-1" || last.Request.Copy != newest {
			t.Errorf("went on at %s with %v", last.Runner.ID, last.Request.Copy)
		}
	})
}

// A runner breaks off after its first byte, another one refuses. The refusal
// says nothing of the first: the caller of a stream that may not go on must not
// be promised that nothing ran.
func TestRefusalAfterExecutionIsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			if n == 1 {
				return nil, judge.Broken{Written: 10, Err: io.ErrUnexpectedEOF}
			}
			return &forwarder.Reply{
				Status: 503, NotRun: true, Body: &body{ctx: ctx, from: 1, end: io.EOF}, Close: func(bool) {},
				Broken: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
			}, nil
		}}
		var got sink
		err := newForwarder(u, placement{}, 2).Forward(t.Context(), newRequest(resumableRoute()), &got)
		if err == nil || err.Verdict != judge.MayHaveRun {
			t.Errorf("err = %+v", err)
		}
	})
}

// A caller complains of a failure, and the log has its request as answered: the
// runner itself had failed. The line must say so, or whoever looks for the cause
// looks in the wrong place.
func TestLogIncludesResponseStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return &forwarder.Reply{Status: 500, Body: strings.NewReader("failed"), Close: func(bool) {}}, nil
		}}
		f := newForwarder(u, placement{}, 1)
		var log bytes.Buffer
		f.Recorder = &recorder.Recorder{Metrics: metrics.NewSet(), Out: &log}
		r := newRequest(&matcher.Route{Kind: matcher.NonIdempotent, Attempts: 1, Goal: time.Second, Timeout: 12 * time.Second})
		if err := f.Forward(t.Context(), r, &sink{}); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		close(done)
		f.Recorder.Run(done)
		if !strings.Contains(log.String(), "kind=answered") || !strings.Contains(log.String(), "status=500") {
			t.Errorf("logged %s", log.String())
		}
	})
}

// An instance is told to stop while a request waits for its adapter, which does
// not come. When the grace time was over the request was cut off with the
// process, and its caller could not know that it had not run. It is told so, and
// to come back, while there is time.
func TestWaitingRequestIsRefusedBeforeShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			t.Error("sent")
			return nil, judge.Dialed{Err: io.EOF}
		}}
		f := newForwarder(u, placement{}, 1)
		ends := time.Now().Add(time.Second)
		f.Ending = func() bool { return !time.Now().Before(ends) }
		r := newRequest(resumableRoute())
		r.Copy = placer.Copy{Model: "m", Adapter: "a1", Version: 2}
		started := time.Now()
		err := f.Forward(t.Context(), r, &sink{})
		if err == nil || err.Verdict != judge.NotRun || err.Reason != judge.ReasonStopping || err.Retry == 0 {
			t.Errorf("got %+v", err)
		}
		if took := time.Since(started); took > 1100*time.Millisecond {
			t.Errorf("after %s", took)
		}
	})
}
