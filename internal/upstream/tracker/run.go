package tracker

import "time"

// A Run is one request at a runner, from when it is sent until it ends.
type Run struct {
	fleet         *Fleet
	id            string
	prefillTokens int // prompt tokens of this request and of those before it
	startedAt     time.Time
	firstTokenAt  time.Time // when the first token came; zero before
	tokens        int       // length of the prompt
}

// An End is how a run ended, as far as it concerns the runner.
type End int

// The values of End.
const (
	Done          End = iota // with a response
	Refused                  // the runner refused the request without running it
	Failed                   // interrupted, invalid, or without a response
	ConnectFailed            // the runner accepted no connection
	CallerLeft               // the caller disconnected; no information on the runner
)

// Begin records that a request is sent to a runner now.
func (f *Fleet) Begin(id string, tokens int, now time.Time) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Run{fleet: f, id: id, startedAt: now, tokens: tokens, prefillTokens: tokens}
	if s, ok := f.runners[id]; ok {
		r.prefillTokens += s.ownLoad.PrefillTokens + s.otherLoad.PrefillTokens
		s.ownLoad.Running++
		s.ownLoad.PrefillTokens += tokens
	}
	return r
}

// First records the arrival of the response or of its first event. Later calls have no
// effect.
func (r *Run) First(now time.Time) {
	if !r.firstTokenAt.IsZero() {
		return
	}
	r.firstTokenAt = now
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s, ok := r.fleet.runners[r.id]
	if !ok {
		return
	}
	s.ownLoad.PrefillTokens = max(0, s.ownLoad.PrefillTokens-r.tokens)
	if r.prefillTokens > 0 {
		r.fleet.latency(s.Service).observeFirstToken(r.prefillTokens, r.fleet.paceFactors(s, now).unstretch(now.Sub(r.startedAt)))
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
	s.ownLoad.Running = max(0, s.ownLoad.Running-1)
	if r.firstTokenAt.IsZero() {
		s.ownLoad.PrefillTokens = max(0, s.ownLoad.PrefillTokens-r.tokens)
	}
	s.recordOutcome(end, now)
	if end == Done {
		r.fleet.latency(s.Service).observeRun(r.fleet.paceFactors(s, now).unstretch(now.Sub(r.startedAt)))
	}
}

// recordOutcome updates the failure rate with the end of a request and suspends a
// runner that accepts no connection.
func (s *runnerState) recordOutcome(end End, now time.Time) {
	rate := s.currentFailureRate(now)
	if end == Done || end == Refused {
		s.lastResponse = now
	}
	switch end {
	case CallerLeft:
		return
	case Done:
		s.failureRate = rate * (1 - failureWeight)
		s.connectFailures = 0
	case Refused:
		s.failureRate = rate
		s.connectFailures = 0
	case Failed:
		s.failureRate = rate + failureWeight*(1-rate)
		s.connectFailures = 0
	case ConnectFailed:
		s.failureRate = rate + failureWeight*(1-rate)
		s.suspendedUntil = now.Add(min(minSuspension<<min(s.connectFailures, 8), maxSuspension))
		s.connectFailures++
	}
	s.failureRateAt = now
}
