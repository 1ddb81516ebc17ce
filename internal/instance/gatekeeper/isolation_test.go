package gatekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// silentPeers are Peers that are not reached.
type silentPeers struct{ Peers }

func (silentPeers) Open(context.Context, string, relayer.Message) (Conversation, error) {
	return nil, judge.Refuse(judge.ReasonDial, "no peer is reached")
}

// Guards against requests that are read and refused, one after the other, by an instance that reaches neither runners nor
// other instances, while their callers would be served elsewhere; and against connections that are refused where a request may
// be served, or where there is no other instance.
func TestIsolatedInstanceTakesNoConnections(t *testing.T) {
	others := []detourer.Peer{{ID: "front-1", Address: "front-1"}, {ID: "front-2", Address: "front-2"}}
	for _, tc := range []struct {
		name    string
		peers   Peers
		others  []detourer.Peer
		reached map[string]bool // by service
		admits  bool
	}{
		{"neither runners nor instances", silentPeers{}, others, nil, false},
		{"runners of one service", silentPeers{}, others, map[string]bool{"plain": true}, true},
		{"other instances", statusPeers{after: detourer.StatusInterval}, others, nil, true},
		{"no other instance exists", silentPeers{}, nil, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := newTestGatekeeper()
				g.callers, g.Pool, g.Peers = &listener.Server{}, &pooler.Pool{}, tc.peers
				g.Forwarder = &forwarder.Forwarder{}
				g.detourer.SetPeers(tc.others)
				probe := func(reached func(service string) bool) {
					for service, runner := range map[string]string{"llm": "i-0", "plain": "i-1"} {
						g.Fleet.Set(tracker.Runner{ID: runner, Service: service, Domain: "a", Slots: 8, Revision: 1})
						g.Fleet.Detector.Failed(service, runner, time.Now())
						for range g.Fleet.Detector.Probes(service, "a", []detector.Candidate{{ID: runner, Domain: "a"}}, time.Now()) {
							g.Fleet.Detector.Probed(service, reached(service))
						}
					}
				}
				probe(func(service string) bool { return tc.reached[service] })
				var r resources
				observe := func(rounds int) {
					for range rounds {
						time.Sleep(readingInterval)
						g.watchDetourPeers(ctx)
						synctest.Wait()
						g.observeResources(&r, time.Now())
					}
				}
				observe(4)
				g.admitConnection() // one in a while is taken in any case
				if admits := g.admitConnection(); admits != tc.admits {
					t.Errorf("a connection is taken: %v", admits)
				}
				if releases := g.ReleasesConnections(); releases == tc.admits {
					t.Errorf("connections are closed after responses: %v", releases)
				}
				time.Sleep(time.Second)
				probe(func(string) bool { return true })
				observe(1)
				g.admitConnection()
				if !g.admitConnection() {
					t.Error("no connection is taken though runners are reached again")
				}
			})
		})
	}
}
