package loader_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/time/rate"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
)

var start = time.Unix(1000, 0)

func grant(b *loader.Budget, needs []loader.Need, now time.Time) []string {
	var granted []string
	b.Grant(needs, now, func(n loader.Need) bool {
		granted = append(granted, n.Adapter)
		return true
	})
	return granted
}

func TestGrantPrefersLoadsThatRemoveMostStall(t *testing.T) {
	b := &loader.Budget{Rate: rate.NewLimiter(1, 2), MaxConcurrent: 2}
	needs := []loader.Need{
		{Runner: "r", Adapter: "one", Waiting: 1, Oldest: start},
		{Runner: "r", Adapter: "many", Waiting: 9, Oldest: start},
		{Runner: "r", Adapter: "near", Waiting: 3, Oldest: start, Deadline: start.Add(time.Second)},
	}
	if diff := cmp.Diff([]string{"many", "near"}, grant(b, needs, start)); diff != "" {
		t.Error(diff)
	}
}

// Loads of an adapter that failed back off for longer each time, without delay for
// other adapters.
func TestFailedLoadDelaysOnlyItsAdapter(t *testing.T) {
	b := &loader.Budget{Rate: rate.NewLimiter(rate.Inf, 1), MaxConcurrent: 1}
	bad := loader.Need{Runner: "r", Adapter: "bad", Waiting: 9, Oldest: start}
	good := loader.Need{Runner: "r", Adapter: "good", Waiting: 1, Oldest: start}
	grant(b, []loader.Need{bad}, start)
	b.Finish(bad, false, start)
	if diff := cmp.Diff([]string{"good"}, grant(b, []loader.Need{bad, good}, start)); diff != "" {
		t.Error(diff)
	}
	b.Finish(good, true, start)
	first := b.Backoff("bad")
	grant(b, []loader.Need{bad}, first)
	b.Finish(bad, false, first)
	if second := b.Backoff("bad").Sub(first); second <= first.Sub(start) {
		t.Errorf("second wait %s is not longer than the first %s", second, first.Sub(start))
	}
}
