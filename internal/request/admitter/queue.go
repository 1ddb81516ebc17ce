package admitter

import (
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// An Item is one waiting request.
type Item struct {
	ID       string
	Account  string
	Adapter  string // name@version
	Priority int    // higher goes first
	Arrived  time.Time
	Deadline time.Time // zero if there is none
}

// A Queue holds the requests that wait for one runner. Limit and Share are set before use.
type Queue struct {
	Limit int     // maximum number of waiting items
	Share float64 // fraction of Limit that one account may hold once the queue is half full

	items  []Item
	served map[string]float64 // requests served by account, decaying
}

// servedDecay is the factor by which the served counts shrink with every request served, so
// that an old burst does not count against an account.
const servedDecay = 0.98

// Ahead returns how many waiting items would be served before another one of the account,
// assuming that they differ only in their account: its own, and of each other account as
// many as it would hold itself.
func (q *Queue) Ahead(account string) int {
	held := make(map[string]int)
	for i := range q.items {
		held[q.items[i].Account]++
	}
	own := held[account]
	ahead := own
	for other, n := range held {
		if other != account {
			ahead += min(n, own+1)
		}
	}
	return ahead
}

// Expired removes and returns the items whose deadline is nearer than run, the minimum time
// of an execution.
func (q *Queue) Expired(now time.Time, run time.Duration) []Item {
	var expired []Item
	q.items = slices.DeleteFunc(q.items, func(i Item) bool {
		late := !i.Deadline.IsZero() && now.Add(run).After(i.Deadline)
		if late {
			expired = append(expired, i)
		}
		return late
	})
	return expired
}

// Items returns the waiting items in order of arrival. The caller must not change them.
func (q *Queue) Items() []Item { return q.items }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Next removes and returns the next item to serve among those that ready accepts.
func (q *Queue) Next(ready func(Item) bool) (Item, bool) {
	best := -1
	for i := range q.items {
		if !ready(q.items[i]) {
			continue
		}
		if best < 0 || q.goesBefore(&q.items[i], &q.items[best]) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	item := q.items[best]
	q.items = slices.Delete(q.items, best, best+1)
	q.countServed(item.Account)
	return item, true
}

// Offer adds an item or refuses it with a NotRun error. If the queue is full, an account
// with few items may still add one: the account with the most items loses its last one,
// which is returned and must be refused with Displaced. Otherwise the first burst to arrive
// would keep everyone else out.
func (q *Queue) Offer(item Item) (displaced *Item, err error) {
	if 2*len(q.items) >= q.Limit && float64(q.countOf(item.Account)) >= q.Share*float64(q.Limit) {
		return nil, judge.Refuse(judge.ReasonShare, "account %s holds its share of the queue", item.Account).WithRetryAfter(time.Second)
	}
	if len(q.items) >= q.Limit {
		index := q.displaceable(item.Account)
		if index < 0 {
			return nil, judge.Refuse(judge.ReasonQueue, "the queue holds %d requests", len(q.items)).WithRetryAfter(time.Second)
		}
		removed := q.items[index]
		displaced = &removed
		q.items = slices.Delete(q.items, index, index+1)
	}
	q.items = append(q.items, item)
	return displaced, nil
}

// Displaced returns the error for the caller of a displaced item.
func Displaced(item *Item) *judge.Error {
	return judge.Refuse(judge.ReasonShare, "the queue is full and account %s holds the most of it", item.Account).WithRetryAfter(time.Second)
}

// displaceable returns the index of the last item of the account with the most items, or -1
// if the newcomer's account would hold as many.
func (q *Queue) displaceable(newcomer string) int {
	held := make(map[string]int)
	largest := ""
	for i := range q.items {
		account := q.items[i].Account
		held[account]++
		if held[account] > held[largest] {
			largest = account
		}
	}
	if held[newcomer]+1 >= held[largest] {
		return -1
	}
	for i := len(q.items) - 1; i >= 0; i-- {
		if q.items[i].Account == largest {
			return i
		}
	}
	return -1
}

// Remove removes an item whose caller disconnected. It returns whether the item was still
// waiting.
func (q *Queue) Remove(id string) bool {
	i := slices.IndexFunc(q.items, func(i Item) bool { return i.ID == id })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

func (q *Queue) goesBefore(a, b *Item) bool {
	if a.Account != b.Account {
		return q.served[a.Account] < q.served[b.Account]
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Deadline.Equal(b.Deadline) || a.Deadline.IsZero() {
		return false
	}
	return b.Deadline.IsZero() || a.Deadline.Before(b.Deadline)
}

func (q *Queue) countOf(account string) int {
	held := 0
	for i := range q.items {
		if q.items[i].Account == account {
			held++
		}
	}
	return held
}

func (q *Queue) countServed(account string) {
	if q.served == nil {
		q.served = make(map[string]float64)
	}
	for a, n := range q.served {
		q.served[a] = n * servedDecay
	}
	q.served[account]++
}
