package warmer_test

import (
	"fmt"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

func ExampleRecentSet() {
	recent := warmer.RecentSet[string]{Limit: 2}
	recent.Add("desk")
	recent.Add("clause")
	recent.Add("desk")
	recent.Add("port")
	fmt.Println(recent.Has("desk"), recent.Has("clause"), recent.Has("port"))
	// Output: true false true
}

// Guards against memory that grows with the number of adapters held over months.
func TestRecentSetKeepsNoMoreThanItsLimit(t *testing.T) {
	recent := warmer.RecentSet[int]{Limit: 10}
	for n := range 10_000 {
		recent.Add(n)
		recent.Add(1)
		if n%3 == 0 {
			recent.Drop(n)
		}
	}
	count := 0
	for n := range 10_000 {
		if recent.Has(n) {
			count++
		}
	}
	if count > 10 || !recent.Has(1) || !recent.Has(9998) {
		t.Errorf("contains %d values with a limit of 10, or lacks a recent one", count)
	}
}
