package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against request slots that are never released, and against instances that each count the
// slots of a runner by themselves.
func TestRequestSlotsAreCountedByTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSettledSimulation(t, 4)
		defer s.end()
		runner := s.runners[0].id
		var waits []bool
		var done []func()
		for n := range 3 {
			g, ctx := s.instances[n].running()
			slot, refused, ok := g.AcquireSlot(ctx, runner, time.Hour)
			if !ok || refused != nil {
				t.Fatalf("instance %d: refused %v, ok %t", n, refused, ok)
			}
			waits = append(waits, slot.Wait > 0)
			done = append(done, slot.Release)
		}
		if diff := cmp.Diff([]bool{false, false, true}, waits); diff != "" {
			t.Errorf("instances that wait at a runner with two slots: %s", diff)
		}
		for _, release := range done {
			release()
			release() // the second call has no effect
		}
		time.Sleep(time.Second)
		g, ctx := s.instances[3].running()
		slot, refused, ok := g.AcquireSlot(ctx, runner, 0)
		if !ok || refused != nil || slot.Wait != 0 {
			t.Fatalf("after all slots were released: wait %v, refused %v, ok %t", slot.Wait, refused, ok)
		}
		slot.Release()
	})
}
