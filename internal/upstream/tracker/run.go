package tracker

import "time"

// A Run is one request at a runner, from when it is sent until it ends.
type Run struct {
	fleet  *Fleet
	id     string
	ahead  int // prompt tokens of this request and of those before it
	began  time.Time
	first  time.Time // when the first token came; zero before
	tokens int       // length of the prompt
}

// An End is how a run ended, as far as it concerns the runner.
type End int

// The values of End.
const (
	Done    End = iota // with an answer
	Refused            // the runner refused the request without running it
	Failed             // interrupted, invalid, or without an answer
	Dark               // the runner accepted no connection
	Left               // the caller disconnected; no information on the runner
)

// Begin records that a request is sent to a runner now.
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

// First records the arrival of the answer or of its first event. Later calls have no
// effect.
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

// End records the end of the request.
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

// judge records how a request ended in the failure rate and suspends a runner that
// accepts no connection.
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
