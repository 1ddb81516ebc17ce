package loader

import "time"

// A Sharer decides which part of the weight store's rate an instance may use.
//
// Queues that share one server wait far less than queues with a fixed part
// each, so the rate follows the lines: what the instances of a domain, and the
// domains, have told of how many adapters stand in line. A part of each one's
// fixed share stays with it, so that a line that begins is served at once. A
// domain that has not been heard lately may be cut off and use its whole fixed
// share; that much is left to it, so that the parts never add up to more than
// the rate for longer than what was told is old.
type Sharer struct {
	Fresh time.Duration // for which a told line counts

	domains map[string]told
	peers   map[string]told
}

// A Stake is an instance's or a domain's fixed share of the rate, by the
// engines it owns, and its line.
type Stake struct {
	Fixed float64 // 0 to 1
	Line  int
}

type told struct {
	line int
	at   time.Time
}

// floor is the part of a fixed share that is never lent.
const floor = 0.25

// Domain takes in the line of another failure domain.
func (s *Sharer) Domain(name string, line int, now time.Time) {
	s.init()
	s.domains[name] = told{line: line, at: now}
}

// Peer takes in the line of another instance of the own domain.
func (s *Sharer) Peer(incarnation string, line int, now time.Time) {
	s.init()
	s.peers[incarnation] = told{line: line, at: now}
}

// Total returns the line of the own domain, as far as it is known.
func (s *Sharer) Total(own int, now time.Time) int {
	total := own
	for _, t := range s.peers {
		if now.Sub(t.at) <= s.Fresh {
			total += t.line
		}
	}
	return total
}

// Part returns the part of the rate for this instance. Others are the fixed
// shares of the other failure domains by name.
func (s *Sharer) Part(own Stake, others map[string]float64, now time.Time) float64 {
	lines := float64(s.Total(own.Line, now))
	pool := 1.0
	for domain, fixed := range others {
		t, ok := s.domains[domain]
		if !ok || now.Sub(t.at) > s.Fresh {
			pool -= fixed
			continue
		}
		lines += float64(t.line)
	}
	if lines == 0 {
		return own.Fixed
	}
	return floor*own.Fixed + (1-floor)*pool*float64(own.Line)/lines
}

func (s *Sharer) init() {
	if s.peers == nil {
		s.domains = make(map[string]told)
		s.peers = make(map[string]told)
	}
}
