package scheduler

import (
	"cmp"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

// An Entry is a prompt that is offered to a Queue.
type Entry struct {
	Account   string          // of the caller; requests without one share the empty account
	Instances int             // instances that share the runner without coordination; 0 or 1 if all are coordinated
	Priority  int             // 0 is the most urgent
	Prompt    admitter.Prompt // SlotWait is not used: the Queue determines it
	Reporter  string          // instance whose reports include the request; empty if the request is known at once
	Tokens    int             // length of the prompt
}

// An ID identifies an entry of a Queue.
type ID uint64

// minStartFraction is the fraction of its time limit in which a prompt may wait however long
// its prefill takes. Without it, a prompt whose prefill takes longer than its limit would be
// refused by an idle runner, and by all later ones.
const minStartFraction = 0.25

// startLimit returns how long after it was offered the prompt must start.
func (e *Entry) startLimit() time.Duration {
	return max(e.Prompt.Timeout-e.Prompt.PrefillTime, time.Duration(minStartFraction*float64(e.Prompt.Timeout)))
}

// paced returns the prompt as it counts in the schedule of the runner. Where instances are not
// coordinated, each counts its prompts as if all instances sent as many.
func (e *Entry) paced() admitter.Prompt {
	p := e.Prompt
	p.PrefillTime *= time.Duration(max(1, e.Instances))
	p.SlotWait = 0
	return p
}

// tokens returns the length of the prompt, at least one.
func (e *Entry) tokens() float64 { return float64(max(1, e.Tokens)) }

// level returns the index of the entry's priority.
func (e *Entry) level() int { return min(max(e.Priority, 0), Levels-1) }

// A waiting entry is one that was neither granted nor refused.
type waiting struct {
	Entry

	id        ID
	offeredAt time.Time
	dueBy     time.Time // by which it has to start without an extension; its place in the order
	startBy   time.Time // after which it is refused

	// The place of the entry in the order, set by Queue.sort.
	aged   bool    // ordered with a more urgent priority
	class  int     // index of the priority that it is ordered with
	ownTag float64 // tag of its account in its own priority
	tag    float64 // tag within class

	// When the entry is expected to start, set by Queue.project.
	inTime bool
	wait   time.Duration
}

// steps returns by how many steps the entry has become more urgent.
func (w *waiting) steps(now time.Time) int {
	for steps := w.level(); steps > 0; steps-- {
		if now.After(w.agedAt(steps)) {
			return steps
		}
	}
	return 0
}

// agedAt returns when the entry becomes more urgent by a number of steps: one after half of the
// time limit that it has without an extension, another one after half of what is left, and so on.
func (w *waiting) agedAt(steps int) time.Time {
	return w.dueBy.Add(-w.dueBy.Sub(w.offeredAt) >> steps)
}

// byAccount orders entries by priority, account, and the time at which they must start.
func byAccount(a, b *waiting) int {
	if d := cmp.Or(a.level()-b.level(), cmp.Compare(a.Account, b.Account)); d != 0 {
		return d
	}
	return byStart(a, b)
}

// byLevel orders entries by the priority that they are ordered with, and by their own priority
// and the tags in it.
func byLevel(a, b *waiting) int {
	if d := cmp.Or(a.class-b.class, a.level()-b.level(), cmp.Compare(a.ownTag, b.ownTag)); d != 0 {
		return d
	}
	return byStart(a, b)
}

func byStart(a, b *waiting) int {
	return cmp.Or(a.dueBy.Compare(b.dueBy), cmp.Compare(a.id, b.id))
}

// byTag orders entries by their tags.
func byTag(a, b *waiting) int {
	if d := cmp.Or(a.class-b.class, cmp.Compare(a.tag, b.tag)); d != 0 {
		return d
	}
	return byStart(a, b)
}
