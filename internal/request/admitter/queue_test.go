package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

var start = time.Unix(1000, 0)

func anyItem(admitter.Item) bool { return true }

// drain returns the IDs in the order in which they are served.
func drain(q *admitter.Queue) []string {
	var ids []string
	for {
		item, ok := q.Next(anyItem)
		if !ok {
			return ids
		}
		ids = append(ids, item.ID)
	}
}

func TestNextOrder(t *testing.T) {
	q := &admitter.Queue{Limit: 10, Share: 1}
	for _, item := range []admitter.Item{
		{ID: "late", Account: "a", Deadline: start.Add(time.Minute)},
		{ID: "soon", Account: "a", Deadline: start.Add(time.Second)},
		{ID: "never", Account: "a"},
		{ID: "urgent", Account: "a", Priority: 1},
		{ID: "other", Account: "b"},
	} {
		if _, err := q.Offer(item); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"urgent", "other", "soon", "late", "never"}
	if diff := cmp.Diff(want, drain(q)); diff != "" {
		t.Error(diff)
	}
}

// One account sends a herd. It fills half the queue, then only its share; the
// other account still finds room, and is served as often.
func TestBurstOfOneAccountLeavesCapacityForOthers(t *testing.T) {
	q := &admitter.Queue{Limit: 20, Share: 0.5}
	refused := 0
	for i := range 30 {
		_, err := q.Offer(admitter.Item{ID: fmt.Sprint(i), Account: "herd"})
		if err != nil && judge.As(err).Reason == judge.ReasonShare {
			refused++
		}
	}
	if refused != 20 {
		t.Errorf("refused %d for the share, want 20", refused)
	}
	for i := range 5 {
		if _, err := q.Offer(admitter.Item{ID: fmt.Sprint("q", i), Account: "quiet"}); err != nil {
			t.Fatal(err)
		}
	}
	first := drain(q)[:10]
	quiet := 0
	for _, id := range first {
		if id[0] == 'q' {
			quiet++
		}
	}
	if quiet != 5 {
		t.Errorf("quiet account got %d of the first 10 places, want 5: %v", quiet, first)
	}
}

// Two loud accounts have filled the queue. A quiet one still gets in, at the cost
// of whoever holds the most, until all hold about as much.
func TestSmallAccountDisplacesLargestInFullQueue(t *testing.T) {
	q := &admitter.Queue{Limit: 10, Share: 1}
	for i := range 10 {
		_, _ = q.Offer(admitter.Item{ID: fmt.Sprint("l", i), Account: []string{"loud", "loud", "louder", "louder", "louder"}[i%5]})
	}
	var displaced []string
	for i := range 10 {
		out, err := q.Offer(admitter.Item{ID: fmt.Sprint("q", i), Account: "quiet"})
		if err != nil {
			break
		}
		displaced = append(displaced, out.ID)
	}
	want := []string{"l9", "l8", "l6"}
	if diff := cmp.Diff(want, displaced); diff != "" || q.Len() != 10 {
		t.Errorf("%d wait: %s", q.Len(), diff)
	}
}

func TestAhead(t *testing.T) {
	q := &admitter.Queue{Limit: 20, Share: 1}
	for i, account := range []string{"loud", "loud", "loud", "loud", "quiet"} {
		_, _ = q.Offer(admitter.Item{ID: fmt.Sprint(i), Account: account})
	}
	for account, want := range map[string]int{"new": 2, "quiet": 3, "loud": 5} {
		if got := q.Ahead(account); got != want {
			t.Errorf("Ahead(%s) = %d, want %d", account, got, want)
		}
	}
}

func TestExpired(t *testing.T) {
	q := &admitter.Queue{Limit: 10, Share: 1}
	_, _ = q.Offer(admitter.Item{ID: "late", Deadline: start.Add(time.Second)})
	_, _ = q.Offer(admitter.Item{ID: "fine", Deadline: start.Add(time.Minute)})
	_, _ = q.Offer(admitter.Item{ID: "open"})
	expired := q.Expired(start.Add(900*time.Millisecond), 200*time.Millisecond)
	if len(expired) != 1 || expired[0].ID != "late" || q.Len() != 2 {
		t.Errorf("expired %v, %d left", expired, q.Len())
	}
}
