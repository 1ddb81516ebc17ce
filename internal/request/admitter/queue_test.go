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

// drain returns the IDs of all items in the order in which they are served.
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

// A burst of one account may fill half of the queue and is then limited to its share. The
// other account must still get in and be served as often.
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
		t.Errorf("refused %d because of the share, want 20", refused)
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
		t.Errorf("quiet account got %d of the first 10 positions, want 5: %v", quiet, first)
	}
}

// Two accounts have filled the queue. An account without items must still get in,
// displacing items of the account that holds the most, until all hold about as many.
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
