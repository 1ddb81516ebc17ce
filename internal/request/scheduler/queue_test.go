package scheduler

import (
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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
