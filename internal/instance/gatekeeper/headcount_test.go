package gatekeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// All instances restart together, and the leader that counts them starts from zero. Guards
// against publishing the first counts: each of a hundred instances would assume that there are
// only three and send thirty times its share of retries, to runners that are already full.
func TestRetryShareIsSafeAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 195
		leader, member := newDomainGatekeeper("b-1", "b"), newDomainGatekeeper("b-2", "b")
		makeLeader(leader, "b")
		if got := member.Members(); got < instances {
			t.Errorf("%d members before the first update, want %d or more", got, instances)
		}
		number := -1
		for n := range instances {
			leader.controllers["b"].applyDemand(fmt.Sprint("front-", n), relayer.Demand{Domain: "b"})
			time.Sleep(2 * time.Millisecond)
			update, next, _ := leader.controllers["b"].updateFor("b-2", number, true)
			number = next
			member.links["b"].apply(update)
			if got := member.Members(); got < instances {
				t.Fatalf("%d members after %d have reported, want %d or more", got, n+1, instances)
			}
		}
		time.Sleep(countSettleTime)
		update, _, _ := leader.controllers["b"].updateFor("b-2", number, true)
		member.links["b"].apply(update)
		if got := member.Members(); got != instances {
			t.Errorf("%d members when all have reported, want %d", got, instances)
		}
	})
}

// The count rises at once and falls late, and expires without reports.
func TestHeadcountFallsLate(t *testing.T) {
	var h headcount
	start := time.Now()
	for _, step := range []struct {
		at       time.Duration
		reported int
		want     int
	}{
		{0, 0, assumedInstances},
		{100 * time.Millisecond, 9, 9},
		{200 * time.Millisecond, 195, 195},
		{countWindow, 3, 195},
		{2 * countWindow, 3, 195},
		{3*countWindow + 200*time.Millisecond, 3, 3},
		{10 * countWindow, 9, 9},
	} {
		h.observe(step.reported, start.Add(step.at))
		if got := h.get(); got != step.want {
			t.Errorf("after %s, report of %d: %d instances, want %d", step.at, step.reported, got, step.want)
		}
	}
}
