package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// prompt returns an entry whose prefill takes a time and has to be done within a limit.
func prompt(account string, priority int, prefill, limit time.Duration) Entry {
	return Entry{Account: account, Priority: priority, Reporter: "front-1", Tokens: int(prefill / (20 * time.Microsecond)), Prompt: admitter.Prompt{PrefillTime: prefill, Share: 1, Timeout: limit}}
}

// drain returns the accounts of the waiting entries in the order in which they are granted.
func drain(q *Queue, now time.Time) (order []string) {
	for ; q.Len() > 0; now = now.Add(time.Millisecond) {
		granted, _, _ := q.Next(now)
		for _, g := range granted {
			order = append(order, g.Account)
		}
	}
	return order
}

func ExampleQueue() {
	var q Queue
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	offer := func(account string, priority int, limit time.Duration) {
		answer, displaced := q.Offer(prompt(account, priority, 80*time.Millisecond, limit), now)
		fmt.Println(account, answer.Decision, answer.Wait, answer.Retry, len(displaced))
	}
	offer("first", 1, time.Second)  // granted
	offer("second", 1, time.Second) // granted: the runner may have a little work ahead
	offer("third", 1, 200*time.Millisecond)
	offer("fourth", 1, 250*time.Millisecond)
	offer("late", 1, 120*time.Millisecond)   // refused, with the time until the others are prefilled
	offer("urgent", 0, 200*time.Millisecond) // displaces the fourth
	// Output:
	// first 0 0s 0s 0
	// second 0 0s 0s 0
	// third 1 60ms 0s 0
	// fourth 1 140ms 0s 0
	// late 2 60ms 320ms 0
	// urgent 1 60ms 0s 1
}

// An account has sent ten prompts and another one joins. Guards against the first account being
// served for all of its prompts before the second one.
func TestAccountsTakeTurns(t *testing.T) {
	q := Queue{}
	q.Offer(prompt("busy", 0, 200*time.Millisecond, time.Minute), start)
	for range 4 {
		q.Offer(prompt("busy", 0, 20*time.Millisecond, time.Minute), start)
	}
	for range 3 {
		q.Offer(prompt("quiet", 0, 20*time.Millisecond, time.Minute), start)
	}
	q.Offer(prompt("urgent", -1, 20*time.Millisecond, time.Second), start)
	if diff := cmp.Diff([]string{"urgent", "quiet", "quiet", "quiet", "busy", "busy", "busy", "busy"}, drain(&q, start)); diff != "" {
		t.Error(diff)
	}
}

// A prompt that takes longer to prefill than its limit comes to an idle runner, and then to one
// that is busy for a while and one that is busy for long. Guards against prompts that are
// refused whenever they are sent.
func TestLongPromptIsJudgedByItsStart(t *testing.T) {
	for _, tc := range []struct {
		name string
		busy time.Duration
		want Decision
	}{{"idle", 0, Granted}, {"busy for a while", 200 * time.Millisecond, Queued}, {"busy for long", 300 * time.Millisecond, Refused}} {
		t.Run(tc.name, func(t *testing.T) {
			q := Queue{}
			q.Offer(prompt("a", 0, tc.busy, time.Minute), start)
			answer, _ := q.Offer(prompt("b", 0, 600*time.Millisecond, 450*time.Millisecond), start)
			if answer.Decision != tc.want {
				t.Errorf("got %+v, want decision %d", answer, tc.want)
			}
		})
	}
}

// All 16 slots of a runner are in use according to reports that are up to 300 ms old. Guards
// against more grants between two reports than slots become free.
func TestGrantsCountUntilTheyAreReported(t *testing.T) {
	q := Queue{Slots: Slots{Reported: 12, RunTime: 600 * time.Millisecond, Total: 16}}
	grants := func(now time.Time) int {
		n := 0
		for ; n < 20; n++ {
			if answer, _ := q.Offer(prompt("a", 0, time.Millisecond, 30*time.Millisecond), now); answer.Decision != Granted {
				break
			}
		}
		q.Clear(now)
		return n
	}
	at := start
	got := []int{grants(at)}
	at = at.Add(250 * time.Millisecond)
	got = append(got, grants(at))
	q.Reported("front-1", at.Add(10*time.Millisecond)) // includes the first ones
	q.Slots.Reported = 15
	got = append(got, grants(at))
	at = at.Add(301 * time.Millisecond) // the reports are older than any grant
	got = append(got, grants(at))
	if diff := cmp.Diff([]int{5, 0, 2, 2}, got); diff != "" {
		t.Error(diff)
	}
}

// One slot of a runner becomes free while the instance that keeps the queue has five requests of
// its own in it, which it counts as running only once they are sent. Guards against all five being
// granted at once.
func TestGrantsOfOneCallTakeASlotEach(t *testing.T) {
	q := Queue{Slots: Slots{Known: 5, RunTime: 600 * time.Millisecond, Total: 4}}
	for range 5 {
		e := prompt("a", 0, time.Millisecond, time.Minute)
		e.Reporter = ""
		if answer, _ := q.Offer(e, start); answer.Decision != Queued {
			t.Fatalf("got %+v, want it queued", answer)
		}
	}
	q.Slots.Known = 4
	if granted, _, again := q.Next(start); len(granted) != 1 || again <= 0 {
		t.Errorf("%d granted, next call after %s; want 1, and a later call", len(granted), again)
	}
}

// A refused caller returns after the time that it was told. Guards against a return before the
// backlog of its priority has drained, and against one that counts less urgent prompts.
func TestRetryIsWhenTheBacklogOfThePriorityDrains(t *testing.T) {
	fill := func() *Queue {
		q := &Queue{}
		q.Offer(prompt("a", 0, 200*time.Millisecond, time.Minute), start)
		for _, priority := range []int{0, 0, 1, 1, 1, 2} {
			q.Offer(prompt("a", priority, 50*time.Millisecond, time.Minute), start)
		}
		return q
	}
	for priority, want := range []time.Duration{300 * time.Millisecond, 450 * time.Millisecond, 500 * time.Millisecond} {
		q := fill()
		answer, displaced := q.Offer(prompt("b", priority, 50*time.Millisecond, 40*time.Millisecond), start)
		if diff := cmp.Diff(want, answer.Retry.Round(time.Millisecond)); answer.Decision != Refused || diff != "" || len(displaced) > 0 {
			t.Errorf("priority %d: %+v, %d displaced: %s", priority, answer, len(displaced), diff)
		}
	}
}

// The queue is full of urgent prompts, and more of them come. Guards against a less urgent prompt
// that is displaced before it has become as urgent as any.
func TestFullQueueKeepsTheFirstOfEachPriority(t *testing.T) {
	q := &Queue{}
	q.Offer(prompt("a", 0, 200*time.Millisecond, time.Minute), start)
	for range Capacity {
		q.Offer(prompt("a", 0, time.Millisecond, time.Minute), start)
	}
	if answer, displaced := q.Offer(prompt("b", 2, time.Millisecond, time.Minute), start); answer.Decision != Queued || len(displaced) != 1 || displaced[0].Priority != 0 {
		t.Fatalf("got %+v and %+v, want it queued instead of an urgent one", answer, displaced)
	}
	if answer, displaced := q.Offer(prompt("b", 2, time.Millisecond, time.Minute), start); answer.Decision != Refused || len(displaced) != 0 {
		t.Errorf("got %+v and %+v, want the second one refused", answer, displaced)
	}
	if answer, displaced := q.Offer(prompt("c", 0, time.Millisecond, time.Minute), start); answer.Decision != Queued || len(displaced) != 1 || displaced[0].Priority != 0 || q.Waiting(2) != 1 {
		t.Errorf("got %+v and %+v, want another urgent one displaced", answer, displaced)
	}
}

// An urgent prompt displaces prompts of two priorities. Guards against callers of the one priority
// that are told when the backlog of the other one drains.
func TestDisplacedOfEachPriorityAreToldTheirOwnBacklog(t *testing.T) {
	q := &Queue{}
	q.Offer(prompt("a", 0, 200*time.Millisecond, time.Minute), start)
	for _, priority := range []int{1, 2} {
		for _, limit := range []time.Duration{time.Minute, time.Second, time.Second} {
			q.Offer(prompt("a", priority, 50*time.Millisecond, limit), start)
		}
	}
	_, displaced := q.Offer(prompt("b", 0, 2*time.Second, time.Minute), start)
	got, want := make(map[int]time.Duration), map[int]time.Duration{1: 2300 * time.Millisecond, 2: 2400 * time.Millisecond}
	for _, r := range displaced {
		if got[r.Priority] = r.Retry; r.Backlog != r.Retry {
			t.Errorf("backlog %s, Retry-After %s", r.Backlog, r.Retry)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A request that finds room must not cost more than the question itself.
func BenchmarkOfferWithRoom(b *testing.B) {
	q := Queue{Slots: Slots{Reported: 4, RunTime: 600 * time.Millisecond, Total: 16, ReportAge: 75 * time.Millisecond}}
	e := Entry{Account: "a", Priority: 1, Tokens: 800, Reporter: "front-1", Prompt: admitter.Prompt{MaxGap: 250 * time.Millisecond, PrefillTime: 5 * time.Millisecond, Timeout: 400 * time.Millisecond}}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		if a, _ := q.Offer(e, now); a.Decision != Granted {
			b.Fatalf("%+v", a)
		}
		now = now.Add(50 * time.Millisecond)
	}
}

// An offer to a full queue, the worst case.
func BenchmarkOfferToFullQueue(b *testing.B) {
	q := Queue{Slots: Slots{Reported: 40, RunTime: 600 * time.Millisecond, Total: 16}}
	e := Entry{Account: "a", Priority: 1, Tokens: 800, Reporter: "front-1", Prompt: admitter.Prompt{MaxGap: 250 * time.Millisecond, PrefillTime: time.Millisecond, Timeout: time.Hour}}
	for i := range Capacity {
		e.Account = string(rune('a' + i%16))
		q.Offer(e, start)
	}
	for b.Loop() {
		q.Offer(e, start)
	}
}

// An urgent offer to a full queue that displaces half of it, the most that one offer costs.
func BenchmarkOfferThatDisplaces(b *testing.B) {
	const prefill = 10 * time.Millisecond
	var full Queue
	for i := range Capacity + 10 {
		limit := time.Hour
		if i%2 == 0 {
			limit = 2 * Capacity * prefill
		}
		e := prompt(string(rune('a'+i%16)), 2, prefill, limit)
		full.Offer(e, start)
	}
	urgent := prompt("a", 0, 2*Capacity*prefill, time.Hour)
	for b.Loop() {
		b.StopTimer()
		q := full
		q.entries = make([]*waiting, 0, Capacity+1)
		for _, w := range full.entries {
			entry := *w
			q.entries = append(q.entries, &entry)
		}
		b.StartTimer()
		if _, displaced := q.Offer(urgent, start); len(displaced) < Capacity/3 {
			b.Fatalf("%d displaced of %d", len(displaced), len(full.entries))
		}
	}
}

// A check of a full queue of which nothing may be granted yet, as it is done every few
// milliseconds.
func BenchmarkNextOfFullQueue(b *testing.B) {
	for _, tc := range []struct {
		name     string
		reported int
	}{{"slots", 40}, {"prefill", 0}} {
		b.Run(tc.name, func(b *testing.B) {
			q := Queue{Slots: Slots{Reported: tc.reported, RunTime: 600 * time.Millisecond, Total: 16}}
			e := Entry{Account: "a", Priority: 1, Tokens: 800, Prompt: admitter.Prompt{MaxGap: 250 * time.Millisecond, PrefillTime: 90 * time.Millisecond, Timeout: time.Hour}}
			for i := range Capacity + 20 {
				e.Account = string(rune('a' + i%16))
				q.Offer(e, start)
			}
			for b.Loop() {
				if granted, _, _ := q.Next(start); len(granted) > 0 {
					b.Fatal("granted; the benchmark measures something else")
				}
			}
		})
	}
}

// A stream that its caller takes up comes to a runner with more prompts ahead than a new request of its route may have.
// Guards against refusing it, and against letting it go before the new requests that were admitted, or before more
// urgent ones.
func TestExtendedPromptKeepsItsPlace(t *testing.T) {
	for _, tc := range []struct {
		name      string
		extension time.Duration
		want      []string
	}{
		{"new request", 0, []string{"urgent", "a", "b"}},
		{"stream that is taken up", time.Second, []string{"urgent", "a", "b", "extended"}},
		{"stream whose caller disconnects sooner", 5 * time.Millisecond, []string{"urgent", "a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := Queue{}
			const prefill, limit = 80 * time.Millisecond, 300 * time.Millisecond
			q.Offer(prompt("runs", 1, 2*prefill, time.Minute), start)
			q.Offer(prompt("a", 1, prefill, limit), start)
			q.Offer(prompt("b", 1, prefill, limit), start)
			e := prompt("extended", 1, prefill, limit)
			e.Prompt.Extension = tc.extension
			q.Offer(e, start)
			q.Offer(prompt("urgent", 0, 10*time.Millisecond, limit), start)
			if diff := cmp.Diff(tc.want, drain(&q, start)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
