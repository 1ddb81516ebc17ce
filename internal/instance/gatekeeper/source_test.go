package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// The leader of a domain is paused for seconds, and its instances follow the leader of another
// domain. They must stay with it: when the paused leader was tried again every second, the
// missing updates had to be detected each time, and for half of the time callers were refused for
// adapters whose state was unknown. Once the paused leader sends updates again it is the source
// again.
func TestInstancesKeepAWorkingSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDomainGatekeeper("a-2", "a")
		ownLease := elector.Lease{Leader: "a-1", Address: "a-1", Fence: 1}
		otherLease := elector.Lease{Leader: "b-1", Address: "b-1", Fence: 1}
		g.links["a"].setLeader(ownLease)
		g.links["b"].setLeader(otherLease)
		receive := func(from source, update relayer.News) {
			g.source.received(from, time.Now())
			g.links["a"].apply(update)
			g.links["b"].apply(relayer.News{Lease: otherLease})
		}
		selected := func() source {
			s, _ := g.currentSource()
			return s
		}
		if diff := cmp.Diff("a-1", selected().id); diff != "" {
			t.Fatal("before the pause:", diff)
		}
		receive(sourceOf(ownLease), relayer.News{Lease: ownLease})
		g.source.failed(sourceOf(ownLease), time.Now())
		pauseStart := time.Now()
		var sources []string
		for time.Since(pauseStart) < 7*time.Second {
			s := selected()
			sources = append(sources, s.id)
			if s == sourceOf(otherLease) {
				receive(s, relayer.News{Lease: ownLease, SinceLeaderUpdate: time.Since(pauseStart)})
			}
			time.Sleep(updateInterval)
		}
		for _, id := range sources {
			if id != "b-1" {
				t.Fatalf("left the source: %v", sources)
			}
		}
		receive(sourceOf(otherLease), relayer.News{Lease: ownLease})
		if diff := cmp.Diff("a-1", selected().id); diff != "" {
			t.Error("after the pause:", diff)
		}
	})
}
