package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A slotAllocator grants request slots at runners of a plain service and counts the slots
// held.
type slotAllocator struct {
	waits map[string]time.Duration // by runner; for other runners no instance can grant a slot
	asked []string
	held  map[string]int
}

func (s *slotAllocator) acquireSlot(runner string, within time.Duration) (forwarder.RequestSlot, *judge.Error, bool) {
	s.asked = append(s.asked, runner)
	wait, ok := s.waits[runner]
	switch {
	case !ok:
		return forwarder.RequestSlot{}, nil, false
	case wait > within:
		return forwarder.RequestSlot{}, judge.Refuse(judge.ReasonQueue, "full").WithRetryAfter(wait - within), true
	}
	if s.held == nil {
		s.held = make(map[string]int)
	}
	s.held[runner]++
	return forwarder.RequestSlot{Wait: wait, Release: func() { s.held[runner]-- }}, nil, true
}

// Requests of a plain service go to the runner of their own failure domain, or to a second
// one if the wait at the first is long, and are refused immediately if they would be late
// everywhere.
func TestRequestSlots(t *testing.T) {
	const target = 300 * time.Millisecond
	for _, tc := range []struct {
		name   string
		waits  map[string]time.Duration
		sent   string // runner; empty for none
		asked  int    // number of runners asked; 0: any
		reason judge.Reason
	}{
		{"own runner free", map[string]time.Duration{"own": 0, "far": 0}, "own", 1, ""},
		{"own runner almost free", map[string]time.Duration{"own": 40 * time.Millisecond, "far": 0}, "own", 1, ""},
		{"other runner has the shorter wait", map[string]time.Duration{"own": 100 * time.Millisecond, "far": 0}, "far", 2, ""},
		{"own runner has the shorter wait", map[string]time.Duration{"own": 100 * time.Millisecond, "far": 120 * time.Millisecond}, "own", 2, ""},
		{"own runner full", map[string]time.Duration{"own": time.Second, "far": 120 * time.Millisecond}, "far", 2, ""},
		{"both runners full", map[string]time.Duration{"own": time.Second, "far": 200 * time.Millisecond}, "", 2, judge.ReasonQueue},
		{"third runner free", map[string]time.Duration{"own": time.Second, "far": time.Second, "farther": 0}, "farther", 0, ""},
		{"no answer for the own runner", map[string]time.Duration{"far": 0}, "far", 2, ""},
		{"no answer for any runner", nil, "own", 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				allocator := &slotAllocator{waits: tc.waits}
				sent := ""
				u := &upstream{answer: func(_ context.Context, _ int, a forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
					sent = a.Runner.ID
					if allocator.waits != nil && allocator.held[sent] != 1 {
						t.Errorf("sent to %s without a slot there: %v", sent, allocator.held)
					}
					return &forwarder.Reply{Status: 200, Body: strings.NewReader("body"), Close: func(bool) {}}, nil
				}}
				f := newForwarder(u, placement{acquireSlot: allocator.acquireSlot}, 0)
				f.Fleet.Set(tracker.Runner{ID: "own", Service: "plain", Domain: "a", Slots: 6, Revision: 1})
				f.Fleet.Set(tracker.Runner{ID: "far", Service: "plain", Domain: "b", Slots: 6, Revision: 1})
				if _, third := tc.waits["farther"]; third {
					f.Fleet.Set(tracker.Runner{ID: "farther", Service: "plain", Domain: "c", Slots: 6, Revision: 1})
				}
				now := time.Now()
				r := &forwarder.Request{
					ID: "q", Arrived: now, Deadline: now.Add(3 * time.Second), Service: "plain",
					Route: &matcher.Route{Name: "r", MaxExecutions: 1, LatencyTarget: target},
				}
				reason := judge.Reason("")
				if err := f.Forward(t.Context(), r, &sink{}); err != nil {
					reason = err.Reason
					if err.Verdict != judge.NotRun || err.RetryAfter <= 0 {
						t.Errorf("refused with %+v", err)
					}
				}
				asked := len(allocator.asked)
				if tc.asked == 0 {
					asked = 0 // two or three, depending on the random order
				}
				if diff := cmp.Diff([]any{tc.sent, tc.asked, tc.reason}, []any{sent, asked, reason}); diff != "" {
					t.Error(diff)
				}
				for runner, n := range allocator.held {
					if n != 0 {
						t.Errorf("%d slots still held at %s", n, runner)
					}
				}
			})
		})
	}
}

// A slot that was held by a failed attempt must be released when the request is retried.
func TestSlotIsReleasedBeforeRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := &slotAllocator{waits: map[string]time.Duration{"i-0": 0, "i-1": 0}}
		u := &upstream{answer: func(_ context.Context, n int, _ forwarder.Attempt) (*forwarder.Reply, judge.Observation) {
			if n == 1 {
				return nil, judge.Broken{Written: 1, Err: io.EOF}
			}
			return &forwarder.Reply{Status: 200, Body: strings.NewReader("body"), Close: func(bool) {}}, nil
		}}
		f := newForwarder(u, placement{acquireSlot: allocator.acquireSlot}, 0)
		for n := range 2 {
			f.Fleet.Set(tracker.Runner{ID: fmt.Sprint("i-", n), Service: "plain", Domain: "a", Slots: 6, Revision: 1})
		}
		now := time.Now()
		r := &forwarder.Request{
			ID: "q", Arrived: now, Deadline: now.Add(3 * time.Second), Service: "plain",
			Route: &matcher.Route{Name: "r", Kind: matcher.Idempotent, MaxExecutions: 2, LatencyTarget: 300 * time.Millisecond},
		}
		if err := f.Forward(t.Context(), r, &sink{}); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(map[string]int{"i-0": 0, "i-1": 0}, allocator.held); diff != "" {
			t.Error(diff)
		}
	})
}
