package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Guards against pace being used for a service whose runners state none, and for one whose
// runners have ceased to state it.
func TestStatesPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &tracker.Fleet{Domain: "a"}
		f.Set(tracker.Runner{ID: "r1", Service: "llm", Domain: "a", Revision: 1})
		f.Set(tracker.Runner{ID: "r2", Service: "records", Domain: "a", Revision: 1})
		states := func() []bool { return []bool{f.StatesPace("llm"), f.StatesPace("records"), f.StatesPace("none")} }
		var got [][]bool
		got = append(got, states())
		f.ObservePace("r2", gauger.Statement{At: time.Now(), Percent: 250})
		got = append(got, states())
		time.Sleep(gauger.Memory + time.Second)
		got = append(got, states())
		want := [][]bool{{false, false, false}, {false, true, false}, {false, false, false}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("services that state a pace before, with and after a statement (-want +got):\n%s", diff)
		}
	})
}
