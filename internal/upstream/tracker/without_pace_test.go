package tracker_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against estimates and choices that change for runners that state no pace. The checksum is
// of the decisions of commit dcdab90, which knows no paces.
func TestDecisionsWithoutPaces(t *testing.T) {
	const want = uint64(15421851091589184687)
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		f := &tracker.Fleet{Domain: "a"}
		ids := make([]string, 30)
		for n := range ids {
			ids[n] = fmt.Sprint("r", n)
			service := []string{"llm", "llm", "records"}[n%3]
			f.Set(tracker.Runner{ID: ids[n], Service: service, Domain: []string{"a", "b"}[n%2], Slots: 6, Revision: 1})
			if n%4 == 0 {
				f.SetHeldCopy(ids[n], placer.Copy{Model: "m", Adapter: "held", Version: 1}, time.Time{}, true)
			}
		}
		var log strings.Builder
		choice := router.Router{Policy: router.FirstToken{CrossDomain: 0.015}}
		var slots tracker.RequestSlots
		for range 400 {
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			now := time.Now()
			id, tokens := ids[rng.IntN(len(ids))], rng.IntN(6000)
			run := f.Begin(id, tokens, now)
			if rng.IntN(3) > 0 {
				run.First(now.Add(time.Duration(rng.IntN(400)) * time.Millisecond))
				run.End(tracker.End(rng.IntN(4)), now.Add(time.Duration(rng.IntN(2000))*time.Millisecond))
			}
			f.SetPrefillBacklog(ids[rng.IntN(len(ids))], 0, time.Duration(rng.IntN(200))*time.Millisecond)
			d := tracker.Demand{Service: "records", Tokens: tokens, MaxPrefill: 225 * time.Millisecond, LoadTime: 300 * time.Millisecond, ReloadTime: 30 * time.Millisecond}
			if rng.IntN(3) > 0 {
				d.Service, d.Copy = "llm", placer.Copy{Model: "m", Adapter: []string{"held", "absent"}[rng.IntN(2)], Version: 1}
			}
			candidates := f.Candidates(d, now)
			slices.SortFunc(candidates, func(a, b router.Candidate) int { return cmp.Compare(a.Runner, b.Runner) })
			for _, c := range candidates {
				fmt.Fprintf(&log, "%s %s %t %.9g %s %t %d\n", c.Runner, c.Backlog.Round(time.Microsecond), c.Congested, c.Failing, c.ReadyIn, c.Resident, c.Running)
			}
			for _, terms := range choice.Choose(router.Request{Adapter: d.Copy.Adapter}, candidates) {
				fmt.Fprintf(&log, "%s %.9g %.9g %.9g\n", terms.Runner, terms.Total, terms.Queue, terms.Stall)
			}
			fmt.Fprintln(&log, f.RequestSlotWait(id), f.RunTime("llm"), f.BaseLatency("llm"), slotWaitWithoutPace(&slots, tokens, now))
			base, prefill := f.Latency("llm")
			fmt.Fprintf(&log, "%.9g %.9g\n", base, prefill)
		}
		if got := xxhash.Sum64String(log.String()); got != want {
			t.Errorf("the decisions have the checksum %d, want %d", got, want)
		}
	})
}

// slotWaitWithoutPace adds a request to a runner, ends it, and returns the waits at it.
func slotWaitWithoutPace(s *tracker.RequestSlots, milliseconds int, now time.Time) (waits [2]time.Duration) {
	e := s.Enter(now)
	if milliseconds%5 > 0 {
		s.Leave(e, 6, 1, now.Add(time.Duration(milliseconds)*time.Millisecond))
	}
	return [2]time.Duration{s.Wait(6, 1), s.Excess(1)}
}
