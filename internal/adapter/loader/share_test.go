package loader_test

import (
	"math"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
)

func TestShare(t *testing.T) {
	others := map[string]float64{"b": 0.5}
	for _, tc := range []struct {
		name  string
		own   int
		peer  int
		other int // -1: no report
		want  float64
	}{
		{"no queue", 0, 0, 0, 0.25},
		{"only own queue", 4, 0, 0, 0.25*0.25 + 0.75},
		{"equal queue of peer", 4, 4, 0, 0.25*0.25 + 0.75/2},
		{"equal queue of other domain", 4, 0, 4, 0.25*0.25 + 0.75/2},
		{"no report of other domain", 4, 0, -1, 0.25*0.25 + 0.75*0.5},
		{"no own queue", 0, 2, 2, 0.25 * 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := loader.Sharer{Fresh: time.Second}
			s.Peer("p", tc.peer, start)
			if tc.other >= 0 {
				s.Domain("b", tc.other, start)
			}
			got := s.Share(loader.Allotment{Fixed: 0.25, QueueLength: tc.own}, others, start)
			if math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("Share = %v, want %v", got, tc.want)
			}
		})
	}
}

// Two partitioned domains both have queues. Guards against each taking the share of
// the other, which together would exceed the rate.
func TestSharesOfPartitionedDomainsFitTheRate(t *testing.T) {
	sum := 0.0
	for _, other := range []string{"a", "b"} {
		s := loader.Sharer{Fresh: time.Second}
		s.Domain(other, 0, start.Add(-time.Minute)) // long ago
		sum += s.Share(loader.Allotment{Fixed: 0.5, QueueLength: 9}, map[string]float64{other: 0.5}, start)
	}
	if sum > 1 {
		t.Errorf("shares add up to %v", sum)
	}
}
