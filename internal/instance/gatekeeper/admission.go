package gatekeeper

import (
	"fmt"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/scheduler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// An admissionQueue is the queue of one runner, with the requests of this instance and of others
// that wait in it. All fields are guarded by the lock passed to begin.
type admissionQueue struct {
	scheduler.Queue

	advancing bool // a goroutine grants the waiting entries
	tickets   map[scheduler.ID]chan admission
}

// An admission is the result of an entry that waited.
type admission struct {
	err      error
	reserved relayer.Reserved
}

// A ticket is a place in an admissionQueue.
type ticket struct {
	leave  func()           // gives up the place
	result <-chan admission // receives the result, unless the place was given up
	wait   time.Duration    // expected until the request is granted
}

// A queueOwner is what an admissionQueue needs to know.
type queueOwner struct {
	gatekeeper *Gatekeeper
	lock       sync.Locker
	refresh    func() error // updates the slots; returns why nothing is granted here any more
	runner     string
}

// admissionStep is how often a queue with entries checks whether one may be granted: reports of
// slots that became free arrive every few milliseconds.
const admissionStep = 10 * time.Millisecond

// admit offers an entry. It returns a reservation, a ticket of an entry that waits, or a
// refusal. It is called with the owner's lock held.
func (a *admissionQueue) admit(o queueOwner, e scheduler.Entry, now time.Time) (relayer.Reserved, *ticket, error) {
	g := o.gatekeeper
	answer, displaced := a.Offer(e, now)
	for i := range displaced {
		g.countAdmission("displaced", displaced[i].Priority)
		a.refuse(o, &displaced[i], "displaced")
	}
	switch answer.Decision {
	case scheduler.Granted:
		g.countAdmission("granted", e.Priority)
		return relayer.Reserved{PrefillBacklog: answer.Backlog}, nil, nil
	case scheduler.Refused:
		g.countAdmission("refused", e.Priority)
		g.logAdmission(o.runner, "refused", &e, answer.Wait, 0, answer.Retry)
		return relayer.Reserved{}, nil, judge.Refuse(judge.ReasonQueue, "the turn of a prompt there comes in %s", answer.Wait.Round(time.Millisecond)).WithRetryAfter(answer.Retry)
	default:
		g.countAdmission("queued", e.Priority)
		return relayer.Reserved{}, a.wait(o, answer), nil
	}
}

// wait returns a ticket for an entry that was queued.
func (a *admissionQueue) wait(o queueOwner, answer scheduler.Answer) *ticket {
	if a.tickets == nil {
		a.tickets = make(map[scheduler.ID]chan admission)
	}
	result := make(chan admission, 1)
	a.tickets[answer.ID] = result
	if !a.advancing {
		a.advancing = true
		go a.advance(o)
	}
	leave := func() {
		o.lock.Lock()
		defer o.lock.Unlock()
		if a.Remove(answer.ID) {
			delete(a.tickets, answer.ID)
		}
	}
	return &ticket{leave: leave, result: result, wait: answer.Wait}
}

// advance grants and refuses the entries when their time has come, until none is left.
func (a *admissionQueue) advance(o queueOwner) {
	for {
		again, more := a.step(o)
		if !more {
			return
		}
		time.Sleep(min(max(again, time.Millisecond), admissionStep))
	}
}

// step grants and refuses the entries whose time has come. It returns the time until the next
// step, if entries are left.
func (a *admissionQueue) step(o queueOwner) (again time.Duration, more bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	now := time.Now()
	if err := o.refresh(); err != nil {
		for _, r := range a.Clear(now) {
			a.answer(r.ID, admission{err: err})
		}
		a.advancing = false
		return 0, false
	}
	granted, late, again := a.Next(now)
	for i := range granted {
		o.gatekeeper.countAdmission("granted", granted[i].Priority)
		a.answer(granted[i].ID, admission{reserved: relayer.Reserved{PrefillBacklog: granted[i].Backlog}})
	}
	for i := range late {
		o.gatekeeper.countAdmission("refused", late[i].Priority)
		a.refuse(o, &late[i], "late")
	}
	a.advancing = a.Len() > 0
	return again, a.advancing
}

// refuse refuses an entry that was removed from the queue.
func (a *admissionQueue) refuse(o queueOwner, r *scheduler.Removal, decision string) {
	o.gatekeeper.logAdmission(o.runner, decision, &r.Entry, r.Wait, r.Waited, r.Retry)
	refused := judge.Refuse(judge.ReasonQueue, "after %s the turn of a prompt there comes in another %s", r.Waited.Round(time.Millisecond), r.Wait.Round(time.Millisecond))
	a.answer(r.ID, admission{err: refused.WithRetryAfter(r.Retry)})
}

func (a *admissionQueue) answer(id scheduler.ID, result admission) {
	if ticket, ok := a.tickets[id]; ok {
		delete(a.tickets, id)
		ticket <- result
	}
}

// countAdmission counts a decision on a prompt.
func (g *Gatekeeper) countAdmission(decision string, priority int) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_admission_total{decision=%q,priority="%d"}`, decision, admissionLevel(priority))).Inc()
}

// logAdmission logs a prompt that was not granted, as the queue of the runner saw it.
func (g *Gatekeeper) logAdmission(runner, decision string, e *scheduler.Entry, wait, waited, retry time.Duration) {
	g.Recorder.Log(recorder.Admission, "msg", "not admitted", "runner", runner, "decision", decision, "priority", e.Priority, "account", e.Account,
		"tokens", e.Tokens, "prefill", e.Prompt.PrefillTime, "wait", wait, "waited", waited, "limit", e.Prompt.Timeout, "drains", retry)
}

// admissionLevel bounds the priorities that are distinguished by metrics.
func admissionLevel(priority int) int { return min(max(priority, 0), scheduler.Levels-1) }

// registerAdmissionGauges registers how many prompts wait in the queues of this instance.
func (g *Gatekeeper) registerAdmissionGauges() {
	for priority := range scheduler.Levels {
		g.Metrics.GetOrCreateGauge(fmt.Sprintf(`sardinetiller_admission_waiting{priority="%d"}`, priority), func() float64 {
			return float64(g.admissionsWaiting(priority))
		})
	}
}

// admissionsWaiting returns how many prompts of a priority wait in the queues of this instance.
func (g *Gatekeeper) admissionsWaiting(priority int) int {
	n := g.fallback.waiting(priority)
	for _, c := range g.controllers {
		c.mu.Lock()
		for _, state := range c.runners {
			n += state.prefillQueue.Waiting(priority)
		}
		c.mu.Unlock()
	}
	return n
}
