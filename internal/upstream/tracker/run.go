package tracker

import "time"

// A Run is one request at a runner, from its sending to its end.
type Run struct {
	fleet  *Fleet
	id     string
	ahead  int // prompt tokens that were before and of this request
	began  time.Time
	first  time.Time
	tokens int
}

// An End is how a run ended, as far as the runner is to blame.
type End int

// The ends.
const (
	Done    End = iota // with an answer
	Refused            // the runner said that it did not run
	Failed             // broken off, wrong, or without an answer
	Dark               // the runner took no connection
	Left               // the caller went away; says nothing of the runner
)

// Begin counts a request in that is sent to a runner now.
func (f *Fleet) Begin(id string, tokens int, now time.Time) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Run{fleet: f, id: id, began: now, tokens: tokens, ahead: tokens}
	if s, ok := f.runners[id]; ok {
		r.ahead += s.own.Unread + s.others.Unread
		s.own.Running++
		s.own.Unread += tokens
	}
	return r
}

// First counts that the answer, or its first event, has come.
func (r *Run) First(now time.Time) {
	if !r.first.IsZero() {
		return
	}
	r.first = now
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s, ok := r.fleet.runners[r.id]
	if !ok {
		return
	}
	s.own.Unread = max(0, s.own.Unread-r.tokens)
	if r.ahead > 0 {
		r.fleet.pace(s.Service).saw(r.ahead, now.Sub(r.began))
	}
}

// End counts the request out.
func (r *Run) End(end End, now time.Time) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s, ok := r.fleet.runners[r.id]
	if !ok {
		return
	}
	s.own.Running = max(0, s.own.Running-1)
	if r.first.IsZero() {
		s.own.Unread = max(0, s.own.Unread-r.tokens)
	}
	s.judge(end, now)
	if end == Done {
		r.fleet.pace(s.Service).ran(now.Sub(r.began))
	}
}

func (s *state) judge(end End, now time.Time) {
	failing := s.failingAt(now)
	if end == Done || end == Refused {
		s.reached = now
	}
	switch end {
	case Left:
		return
	case Done:
		s.failing = failing * (1 - failStep)
		s.streak = 0
	case Refused:
		s.failing = failing
		s.streak = 0
	case Failed:
		s.failing = failing + failStep*(1-failing)
		s.streak = 0
	case Dark:
		s.failing = failing + failStep*(1-failing)
		s.suspended = now.Add(min(firstRest<<min(s.streak, 8), lastRest))
		s.streak++
	}
	s.failed = now
}
