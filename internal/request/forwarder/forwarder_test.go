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
	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An upstream is a scripted forwarder.Upstream that records its attempts.
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

// A placement is a scripted forwarder.Placement. Unset functions grant nothing.
type placement struct {
	acquireSlot      func(runner string, within time.Duration) (forwarder.RequestSlot, *judge.Error, bool)
	reserve          func(request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool)
	requestSpareCopy func(runner string)
	reportRefusal    func(runner string, c placer.Copy)
	reportWaiting    func(w forwarder.Waiter)
	takeToken        func(runner string) bool
}

func (p placement) ReportWaiting(w forwarder.Waiter) {
	if p.reportWaiting != nil {
		p.reportWaiting(w)
	}
	p.RequestSpareCopy(w.Runner, w.Copy)
}

func (p placement) RequestSpareCopy(runner string, _ placer.Copy) {
	if p.requestSpareCopy != nil {
		p.requestSpareCopy(runner)
	}
}

func (p placement) AcquireSlot(_ context.Context, runner string, within time.Duration) (forwarder.RequestSlot, *judge.Error, bool) {
	if p.acquireSlot == nil {
		return forwarder.RequestSlot{}, nil, false
	}
	return p.acquireSlot(runner, within)
}

func (p placement) TakeToken(_ context.Context, runner string) bool {
	return p.takeToken == nil || p.takeToken(runner)
}
func (placement) AcquireCopy(string, placer.Copy) func()         { return func() {} }
func (placement) ReportHit(string, placer.Copy, time.Time)       {}
func (placement) ReportGap(string, time.Duration, time.Duration) {}
func (placement) ReportMiss(string, placer.Copy)                 {}
func (p placement) ReportRefusal(runner string, c placer.Copy) {
	if p.reportRefusal != nil {
		p.reportRefusal(runner, c)
	}
}

func (p placement) Reserve(_ context.Context, request forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
	if p.reserve == nil {
		return forwarder.Reservation{}, nil, false
	}
	return p.reserve(request)
}

// A quarantine is a scripted forwarder.Quarantine that records the reports it receives, for
// concurrent use. The records are read once all requests have ended.
type quarantine struct {
	quarantined func() bool
	down        func(runner string) bool // nil: none is
	badPart     quarantiner.Digest       // quarantined part of prompts; empty for none
	allowsTrial bool

	mu          sync.Mutex
	broken      []string // runners
	brokenParts []quarantiner.Digest
	completed   int
	sound       []quarantiner.Digest
}

func (*quarantine) Suspects() bool         { return true }
func (*quarantine) QuarantinesParts() bool { return true }
func (q *quarantine) Quarantined(d quarantiner.Digest) (time.Duration, bool) {
	if d.IsPart() {
		return time.Minute, d == q.badPart
	}
	return time.Minute, q.quarantined != nil && q.quarantined()
}

func (q *quarantine) ReportBroken(_ quarantiner.Digest, parts []quarantiner.Digest, r tracker.Runner, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.brokenParts = append(q.brokenParts, parts...)
	q.broken = append(q.broken, r.ID)
}

func (q *quarantine) ReportCompleted(quarantiner.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completed++
}

func (q *quarantine) ReportSound(parts []quarantiner.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sound = append(q.sound, parts...)
}

func (q *quarantine) Down(runner string) bool                             { return q.down != nil && q.down(runner) }
func (q *quarantine) Trial(quarantiner.Digest, []quarantiner.Digest) bool { return q.allowsTrial }

// A sink records the body that the caller receives.
type sink struct{ got string }

func (s *sink) Head(*forwarder.Reply) error { return nil }
func (s *sink) Event(data []byte) error     { s.got += string(data); return nil }
func (s *sink) Complete(_ *forwarder.Reply, body []byte) error {
	s.got = string(body)
	return nil
}

// A body produces events with delays between them and ends with its context.
type body struct {
	ctx    context.Context
	from   int
	to     int
	delays map[int]time.Duration // before an event, by ID
	end    error
}

func (b *body) Read(p []byte) (int, error) {
	if b.from > b.to {
		return 0, b.end
	}
	delay, stop := pacer.After(b.delays[b.from])
	defer stop()
	select {
	case <-delay:
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
		BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
	}
}

func newForwarder(u *upstream, p placement, runners int) *forwarder.Forwarder {
	fleet := &tracker.Fleet{Domain: "a"}
	for n := range runners {
		fleet.Set(tracker.Runner{ID: fmt.Sprint("i-", n), Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Revision: 1})
	}
	return &forwarder.Forwarder{
		Instances: func() int { return 1 }, InstancesKnown: func() bool { return true }, RetryBurst: func() float64 { return 20 }, StoppingSoon: func() bool { return false }, Fleet: fleet, LoadTime: func() time.Duration { return time.Second },
		NewestVersion: func(string, string) int { return 2 }, RetriesPerRequest: 0.2, Placement: p, Quarantine: &quarantine{}, Recorder: &recorder.Recorder{Metrics: metrics.NewSet(), Out: io.Discard}, OnRetry: func(*judge.Error) {},
		ReloadTime: func() time.Duration { return time.Second }, Upstream: u, RetryWindow: 10 * time.Second,
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
	return &matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxExecutions: 2, LatencyTarget: time.Second, MaxGap: 250 * time.Millisecond, Timeout: 12 * time.Second}
}

// A runner preempts a streaming request for more urgent ones and sends nothing for 2.5 s,
// and no other runner can take over. The idle time must not be treated as a failure: the
// runner continues, and the caller still waits.
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

// If another runner is free, a request whose runner sends no first event is retried there,
// so that the caller is served in time.
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

// A popular adapter is resident on one of two runners, and its requests queue there. Each
// wait is shorter than a load, so no request would choose the other runner, and all would
// be late. A long wait must request one more copy at the other runner; a short wait must
// not, nor must a long one while a copy is being loaded.
func TestPopularAdapterGetsSpareCopy(t *testing.T) {
	for _, tc := range []struct {
		name    string
		wait    time.Duration
		loading bool
		want    []string
	}{
		{"long wait", 400 * time.Millisecond, false, []string{"i-1"}},
		{"short wait", 50 * time.Millisecond, false, nil},
		{"a copy is being loaded", 400 * time.Millisecond, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
				}}
				var requested []string
				f := newForwarder(u, placement{
					reserve: func(forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
						return forwarder.Reservation{Delay: tc.wait}, nil, true
					},
					requestSpareCopy: func(runner string) { requested = append(requested, runner) },
				}, 2)
				adapter := placer.Copy{Model: "m", Adapter: "a1", Version: 2}
				f.Fleet.SetHeld("i-0", map[placer.Copy]time.Time{adapter: {}})
				f.Fleet.SetHeld("i-1", nil)
				if tc.loading {
					f.Fleet.SetHeldCopy("i-1", adapter, time.Now().Add(time.Second), true)
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

// Of two runners that hold the adapter, the first has no capacity. The request must be
// served by the second one. Only if neither has capacity is it refused, with a Retry-After
// and the verdict that it did not run.
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
				p := placement{reserve: func(a forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
					if full[a.Runner] || len(full) < tc.full {
						full[a.Runner] = true
						return forwarder.Reservation{}, judge.Refuse(judge.ReasonQueue, "full").WithRetryAfter(300 * time.Millisecond), true
					}
					return forwarder.Reservation{}, nil, true
				}}
				var got sink
				err := newForwarder(u, p, 2).Forward(t.Context(), newRequest(resumableRoute()), &got)
				if diff := cmp.Diff(tc.want, got.got); diff != "" {
					t.Error(diff)
				}
				if tc.want == "" && (err == nil || err.Verdict != judge.NotRun || err.RetryAfter < 300*time.Millisecond || err.RetryAfter > time.Second || len(u.attempts) != 0) {
					t.Errorf("refused with %+v after %d attempts", err, len(u.attempts))
				}
			})
		})
	}
}

// A request is delayed until its runner has prefilled the prompts ahead of it, and the
// runner starts draining in the meantime. The request must go to the other runner, as a
// draining runner accepts nothing new.
func TestDelayedRequestIsNotSentToLeavingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, _ int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: 1, to: 1, end: io.EOF}), nil
		}}
		leaving := ""
		var f *forwarder.Forwarder
		f = newForwarder(u, placement{reserve: func(a forwarder.ReserveRequest) (forwarder.Reservation, *judge.Error, bool) {
			if leaving == "" {
				leaving = a.Runner
				time.AfterFunc(100*time.Millisecond, func() {
					f.Fleet.Set(tracker.Runner{ID: a.Runner, Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Leaving: true, Revision: 2})
				})
				return forwarder.Reservation{Delay: 300 * time.Millisecond}, nil, true
			}
			return forwarder.Reservation{}, nil, true
		}}, 2)
		var got sink
		err := f.Forward(t.Context(), newRequest(resumableRoute()), &got)
		if err != nil || len(u.attempts) != 1 || u.attempts[0].Runner.ID == leaving {
			t.Errorf("%v; %s is draining, attempts %+v", err, leaving, u.attempts)
		}
	})
}

// A stream of version 1 of an adapter breaks off after version 2 was published. The resumed
// execution starts now, so it must use version 2.
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
		f.Fleet.SetHeld("i-0", map[placer.Copy]time.Time{old: {}})
		f.Fleet.SetHeld("i-1", map[placer.Copy]time.Time{newest: {}})
		r := newRequest(resumableRoute())
		r.Copy = old
		var got sink
		err := f.Forward(t.Context(), r, &got)
		if diff := cmp.Diff(event(1)+event(2)+event(3), got.got); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
		last := u.attempts[len(u.attempts)-1]
		if last.Runner.ID != "i-1" || last.Request.Copy != newest {
			t.Errorf("resumed at %s with %v", last.Runner.ID, last.Request.Copy)
		}
	})
}

// A runner breaks the connection after the request was sent, and another one refuses the
// retry. The refusal says nothing about the first attempt, so the caller must not get the
// verdict that nothing ran.
func TestRefusalAfterExecutionIsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			if n == 1 {
				return nil, judge.Broken{Written: 10, Err: io.ErrUnexpectedEOF}
			}
			return &forwarder.Reply{
				Status: 503, NotRun: true, Body: &body{ctx: ctx, from: 1, end: io.EOF}, Close: func(bool) {},
				BodyError: func(err error) judge.Observation { return judge.Broken{Written: 1, Head: true, Err: err} },
			}, nil
		}}
		var got sink
		err := newForwarder(u, placement{}, 2).Forward(t.Context(), newRequest(resumableRoute()), &got)
		if err == nil || err.Verdict != judge.MayHaveRun {
			t.Errorf("err = %+v", err)
		}
	})
}

// A failure response from a runner counts as a complete response. The log line must include the status,
// so that the failure can be traced to the runner.
func TestLogIncludesResponseStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return &forwarder.Reply{Status: 500, Body: strings.NewReader("failed"), Close: func(bool) {}}, nil
		}}
		f := newForwarder(u, placement{}, 1)
		var log bytes.Buffer
		f.Recorder = &recorder.Recorder{Metrics: metrics.NewSet(), Out: &log}
		r := newRequest(&matcher.Route{Kind: matcher.NonIdempotent, MaxExecutions: 1, LatencyTarget: time.Second, Timeout: 12 * time.Second})
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

// An instance is shutting down while a request waits for an adapter that does not arrive.
// The request must be refused before the grace period ends, with a Retry-After and the
// verdict that it did not run: cut off with the process, its caller could not know that.
func TestWaitingRequestIsRefusedBeforeShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(context.Context, int, forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			t.Error("sent")
			return nil, judge.DialFailed{Err: io.EOF}
		}}
		f := newForwarder(u, placement{}, 1)
		ends := time.Now().Add(time.Second)
		f.StoppingSoon = func() bool { return !time.Now().Before(ends) }
		r := newRequest(resumableRoute())
		r.Copy = placer.Copy{Model: "m", Adapter: "a1", Version: 2}
		started := time.Now()
		err := f.Forward(t.Context(), r, &sink{})
		if err == nil || err.Verdict != judge.NotRun || err.Reason != judge.ReasonStopping || err.RetryAfter == 0 {
			t.Errorf("got %+v", err)
		}
		if took := time.Since(started); took > 1100*time.Millisecond {
			t.Errorf("after %s", took)
		}
	})
}
