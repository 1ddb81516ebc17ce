package tracker

import "time"

// A Run is one request at a runner, from when it is sent until it ends.
type Run struct {
	fleet         *Fleet
	id            string
	service       string
	connected     bool // there is, or was, a connection for it
	ended         bool
	lastSign      time.Time // when it was sent, or something was last received
	prefillTokens int       // prompt tokens of this request and of those before it
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
	r := &Run{fleet: f, id: id, lastSign: now, startedAt: now, tokens: tokens, prefillTokens: tokens}
	if s, ok := f.runners[id]; ok {
		r.service = s.Service
		r.prefillTokens += s.ownLoad.PrefillTokens + s.otherLoad.PrefillTokens
		s.count(r)
	}
	return r
}

// count makes a run count as load of the runner.
func (s *runnerState) count(r *Run) {
	if s.runs[r] {
		return
	}
	if s.runs == nil {
		s.runs = make(map[*Run]bool)
	}
	s.runs[r] = true
	s.ownLoad.Running++
	if r.firstTokenAt.IsZero() {
		s.ownLoad.PrefillTokens += r.tokens
	}
}

// uncount is the inverse of count.
func (s *runnerState) uncount(r *Run) {
	if !s.runs[r] {
		return
	}
	delete(s.runs, r)
	s.ownLoad.Running = max(0, s.ownLoad.Running-1)
	if r.firstTokenAt.IsZero() {
		s.ownLoad.PrefillTokens = max(0, s.ownLoad.PrefillTokens-r.tokens)
	}
}

// Connected records that there is a connection for the request, which is sent on it now.
func (r *Run) Connected(now time.Time) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.connected {
		return
	}
	r.connected, r.lastSign = true, now
	if s, ok := r.fleet.runners[r.id]; ok {
		s.count(r)
	}
	r.fleet.Detector.Sent(r.service, r.id, now)
}

// Waits records that the request still has no connection to the runner. It does not count as
// load of the runner until it has one.
func (r *Run) Waits() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if s, ok := r.fleet.runners[r.id]; ok && !r.connected {
		s.uncount(r)
	}
}

// Heard records that something was received from the runner.
func (r *Run) Heard(now time.Time) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.heard(now)
}

func (r *Run) heard(now time.Time) {
	r.lastSign = now
	if s, ok := r.fleet.runners[r.id]; ok {
		s.count(r)
	}
	r.fleet.Detector.Heard(r.service, r.id, now)
}

// DropQuietLoad makes the runs of a service that have received nothing for a time no longer
// count as load. It is called when this instance finds that it is partitioned from the
// runners, which these requests may never have reached.
func (f *Fleet) DropQuietLoad(service string, quiet time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.runners {
		if s.Service != service {
			continue
		}
		for r := range s.runs {
			if now.Sub(r.lastSign) >= quiet {
				s.uncount(r)
			}
		}
	}
}

// First records the arrival of the response or of its first event. Later calls have no
// effect.
func (r *Run) First(now time.Time) {
	if !r.firstTokenAt.IsZero() {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.heard(now) // counts the prompt if it was not counted, as for a late response
	r.firstTokenAt = now
	s, ok := r.fleet.runners[r.id]
	if !ok {
		return
	}
	s.ownLoad.PrefillTokens = max(0, s.ownLoad.PrefillTokens-r.tokens)
	if r.prefillTokens > 0 {
		r.fleet.latency(s.Service).observeFirstToken(r.prefillTokens, r.fleet.paceFactors(s, now).unstretch(now.Sub(r.startedAt)))
	}
}

// End records the end of the request. Later calls have no effect.
func (r *Run) End(end End, now time.Time) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.connected {
		r.fleet.Detector.Ended(r.service, r.id)
	}
	if end == ConnectFailed {
		r.fleet.Detector.Failed(r.service, r.id, now)
	}
	s, ok := r.fleet.runners[r.id]
	if !ok {
		return
	}
	s.uncount(r)
	s.recordOutcome(end, now)
	if end == Done {
		r.fleet.latency(s.Service).observeRun(r.fleet.paceFactors(s, now).unstretch(now.Sub(r.startedAt)))
	}
}

// Broken records that the connection of the request broke, other than by this instance.
func (r *Run) Broken(now time.Time) { r.fleet.Detector.Failed(r.service, r.id, now) }

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
