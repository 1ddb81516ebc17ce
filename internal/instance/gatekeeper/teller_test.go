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
// domain. They must stay with it: when the paused leader was tried again every second, its
// silence had to be detected each time, and for half of the time callers were refused for
// adapters whose state was unknown. Once the paused leader sends updates again it is the source
// again.
func TestInstancesStayWithWhoeverTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newChained("a-2", "a")
		own := elector.Tenure{Holder: "a-1", Address: "a-1", Fence: 1}
		other := elector.Tenure{Holder: "b-1", Address: "b-1", Fence: 1}
		g.links["a"].setHolder(own)
		g.links["b"].setHolder(other)
		hear := func(from source, a relayer.News) {
			g.choice.heard(from, time.Now())
			g.links["a"].take(a)
			g.links["b"].take(relayer.News{Tenure: other})
		}
		teller := func() source {
			s, _ := g.teller()
			return s
		}
		if diff := cmp.Diff("a-1", teller().id); diff != "" {
			t.Fatal("before the pause:", diff)
		}
		hear(sourceOf(own), relayer.News{Tenure: own})
		g.choice.silent(sourceOf(own), time.Now())
		silent := time.Now()
		var tellers []string
		for time.Since(silent) < 7*time.Second {
			s := teller()
			tellers = append(tellers, s.id)
			if s == sourceOf(other) {
				hear(s, relayer.News{Tenure: own, Silence: time.Since(silent)})
			}
			time.Sleep(beat)
		}
		for _, id := range tellers {
			if id != "b-1" {
				t.Fatalf("left the source: %v", tellers)
			}
		}
		hear(sourceOf(other), relayer.News{Tenure: own})
		if diff := cmp.Diff("a-1", teller().id); diff != "" {
			t.Error("after the pause:", diff)
		}
	})
}
