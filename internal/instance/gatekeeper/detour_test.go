package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// Guards against a stream that a peer handles like a new request: it would send the stream to the
// runner that has just broken off, or wait for longer than its caller does.
func TestDetourCarriesTheStateOfTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatekeeper()
		g.init()
		g.catalog.Store(&matcher.Catalog{Version: 1, Services: map[string]matcher.Service{"llm": {}}})
		lastEvent := time.Now()
		time.Sleep(time.Second)
		sent := forwarder.Request{
			ID: "q", Arrived: lastEvent.Add(-time.Second), Deadline: time.Now().Add(time.Minute), Service: "llm", Route: &matcher.Route{},
			LastEventID: 2, Resumed: true, LastEventAt: lastEvent, Avoid: []string{"i-0"},
		}
		got, err := g.detouredRequest(heartbeater.Instance{ID: "front-1"}, detourMessage(forwarder.DetourRequest{Request: &sent}, time.Now()), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		type state struct {
			LastEventID          int
			Resumed              bool
			Arrived, LastEventAt time.Time
			Avoid                []string
		}
		stateOf := func(r *forwarder.Request) state {
			return state{r.LastEventID, r.Resumed, r.Arrived, r.LastEventAt, r.Avoid}
		}
		if diff := cmp.Diff(stateOf(&sent), stateOf(got)); diff != "" {
			t.Error(diff)
		}
	})
}
