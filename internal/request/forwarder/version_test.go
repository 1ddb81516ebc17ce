package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// setVersions registers runners of the given software versions, i-0 and so on.
func setVersions(f *forwarder.Forwarder, versions ...string) {
	for n, version := range versions {
		f.Fleet.Set(tracker.Runner{ID: "i-" + string(rune('0'+n)), Service: "llm", Domain: "a", Slots: 8, Models: []string{"m"}, Revision: 2, Version: version})
	}
}

// Guards against a stream that goes on, within one response, at a runner of another software version
// than the one that brought its first event.
func TestRetryKeepsTheSoftwareVersion(t *testing.T) {
	const lostAt = 100 * time.Millisecond
	for _, tc := range []struct {
		name     string
		last     int      // event after which the first attempt breaks off
		versions []string // of the runners; the first attempt is sent to the first one
		removed  bool     // the first runner is removed when its response breaks off
		want     string
		at       string // software version of the last attempt
		reason   judge.Reason
	}{
		{"another runner of the version", 2, []string{"v1", "v2", "v2", "v1"}, true, wholeStream, "v1", ""},
		{"no other runner of the version", 2, []string{"v1", "v2", "v2"}, false, wholeStream, "v1", ""},
		{"the version has left", 2, []string{"v1", "v2", "v2"}, true, event(1) + event(2), "v1", judge.ReasonVersion},
		{"no event before", 0, []string{"v1", "v2"}, true, wholeStream, "v2", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{answer: breakAfter(tc.last, lostAt)}
				f := newForwarder(u, placement{}, 0)
				setVersions(f, tc.versions[0])
				time.AfterFunc(lostAt/2, func() {
					setVersions(f, tc.versions...)
					if tc.removed {
						f.Fleet.Remove("i-0", 2)
					}
				})
				if tc.last == 0 {
					setVersions(f, tc.versions...)
				}
				var got sink
				err := f.Forward(t.Context(), newRequest(resumableRoute()), &got)
				if diff := cmp.Diff(tc.want, got.got); diff != "" || (err == nil) != (tc.reason == "") || err != nil && err.Reason != tc.reason {
					t.Error(err, diff)
				}
				if at := u.attempts[len(u.attempts)-1].Runner; tc.last > 0 && at.Version != tc.at {
					t.Errorf("goes on at %s of version %s, began at %s", at.ID, at.Version, tc.at)
				}
			})
		})
	}
}

// Guards against a stream whose software version is lost at the hop to another instance: a detour
// states which version to keep, and its response at which one it began.
func TestDetourKeepsTheSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{answer: func(ctx context.Context, _ int, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			return streamReply(&body{ctx: ctx, from: a.LastEventID + 1, to: a.LastEventID + 1, end: errReset}), nil
		}}
		f := newForwarder(u, placement{}, 0)
		setVersions(f, "v1", "v2", "v1", "v2", "v1", "v2")
		d := &detours{answer: func(ctx context.Context, n int, r forwarder.DetourRequest, o *forwarder.DetourOutcome) (*forwarder.Reply, *judge.Error) {
			*o = forwarder.DetourOutcome{Peer: "front-2", Arrivals: 1, Executions: 1}
			if n == 1 {
				reply := streamReply(&body{ctx: ctx, from: 1, to: 2, end: errLink})
				reply.Version = "v2"
				return reply, nil
			}
			return streamReply(&body{ctx: ctx, from: r.LastEventID + 1, to: 4, end: io.EOF}), nil
		}}
		f.Detours = d
		partition(f, "i-0", "i-1", "i-2")
		if state := f.Fleet.Detector.State("llm"); state != detector.Partitioned {
			t.Fatal(state)
		}
		r := newRequest(resumableRoute())
		r.Route.MaxExecutions = 3
		var got sink
		if err := f.Forward(t.Context(), r, &got); err != nil || got.got != wholeStream {
			t.Error(err, got.got)
		}
		var pins []tracker.VersionPin
		for _, r := range d.requests {
			pins = append(pins, r.Pin)
		}
		if diff := cmp.Diff([]tracker.VersionPin{{}, tracker.PinTo("v2")}, pins[:2], cmp.AllowUnexported(tracker.VersionPin{})); diff != "" {
			t.Error(diff)
		}
	})
}
