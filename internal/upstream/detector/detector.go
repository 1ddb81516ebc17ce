// Package detector decides whether an instance reaches the runners of a service.
//
// It is fed with what the instance sees on its connections to runners. Signs of a partition
// are no proof, as the runners may have failed or be slow: it asks for probes of a few
// runners, and decides by how many of them are answered.
package detector

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// signWindow is the time within which connections to minSigns runners must fail to be a
	// sign of a partition. One runner of several may have crashed, or be silent for a second.
	signWindow = time.Second
	minSigns   = 2
	// Silence is how long runners that have requests must send nothing to be a sign of a
	// partition.
	Silence = 500 * time.Millisecond
	// minProbes is how many runners are probed at least to confirm a partition, and maxProbes at
	// most, of as many failure domains as possible. One that has crashed is among them at times.
	minProbes = 3
	maxProbes = 6
	// recoveryProbes is how many are probed at a time during a partition.
	recoveryProbes = 2
	// roundInterval is the minimum time between two rounds of probes while there is no
	// partition, as probes are billed, and recoveryInterval the time between two probes
	// during one.
	roundInterval    = time.Second
	recoveryInterval = 400 * time.Millisecond
)

// A State is whether this instance reaches the runners of a service.
type State int

// The states.
const (
	Reached     State = iota // most of those that were probed, or none had to be
	Impaired                 // some, and fewer than half of those that were probed
	Partitioned              // none of those that were probed
)

// A Detector decides for each service whether this instance reaches its runners.
// The zero value is ready; it is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	services map[string]*service
}

// A service is the state of one service.
type service struct {
	runners   map[string]*runner // with requests, or with a recent failure
	known     int                // number of runners, as of the last call of Probes
	state     State
	probing   int       // probes in flight
	probed    int       // probes of the current round
	reached   int       // probes of the current round that were answered
	decided   bool      // the current round has changed the state before its end
	nextRound time.Time // earliest time of the next round
	doubted   bool      // a round is due, as another service is partitioned, or a partition has ended
}

// A runner is what was seen of one runner.
type runner struct {
	requests int       // sent and not ended
	quiet    time.Time // since when nothing was received, while there are requests
	failedAt time.Time // of the last connection that failed
}

func (d *Detector) service(name string) *service {
	if d.services == nil {
		d.services = make(map[string]*service)
	}
	s, ok := d.services[name]
	if !ok {
		s = &service{runners: make(map[string]*runner)}
		d.services[name] = s
	}
	return s
}

func (s *service) runner(id string) *runner {
	r, ok := s.runners[id]
	if !ok {
		r = &runner{}
		s.runners[id] = r
	}
	return r
}

// Sent records that a request is sent to a runner.
func (d *Detector) Sent(service, id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.service(service).runner(id)
	if r.requests == 0 {
		r.quiet = now
	}
	r.requests++
}

// Heard records that a runner has sent something.
func (d *Detector) Heard(service, id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.service(service).runners[id]; ok {
		r.quiet = now
	}
}

// Ended records that a request that was sent to a runner has ended.
func (d *Detector) Ended(service, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	r, ok := s.runners[id]
	if !ok {
		return
	}
	r.requests = max(0, r.requests-1)
	if r.requests == 0 && r.failedAt.IsZero() {
		delete(s.runners, id)
	}
}

// Failed records that a connection to a runner could not be established, or broke.
func (d *Detector) Failed(service, id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service).runner(id).failedAt = now
}

// Probing reports whether it may soon be found that the runners of a service are not reached: probes are in
// flight, or due because of signs of a partition.
func (d *Detector) Probing(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[service]
	return ok && s.state == Reached && (s.probing > 0 || s.due(now))
}

// Busy reports whether runners of a service other than the given one have requests.
func (d *Detector) Busy(service, except string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[service]
	if !ok {
		return false
	}
	for id, r := range s.runners {
		if id != except && r.requests > 0 {
			return true
		}
	}
	return false
}

// State returns whether this instance reaches the runners of a service.
func (d *Detector) State(service string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[service]
	if !ok {
		return Reached
	}
	return s.state
}

// Partitioned reports whether this instance is partitioned from the runners of a service.
func (d *Detector) Partitioned(service string) bool { return d.State(service) == Partitioned }

// Isolated reports whether this instance is partitioned from the runners of all services.
func (d *Detector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.state != Partitioned {
			return false
		}
	}
	return len(d.services) > 0
}

// Suspected reports whether runners of any service are, or may have to be, probed now.
func (d *Detector) Suspected(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.state != Reached || s.probing > 0 || s.doubted || s.signs(now) {
			return true
		}
	}
	return false
}

// Unreached returns the services whose runners this instance does not reach, or not well.
func (d *Detector) Unreached() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, s := range d.services {
		if s.state != Reached {
			names = append(names, name)
		}
	}
	return names
}

// A Candidate is a runner that may be probed.
type Candidate struct{ ID, Domain string }

// Probes returns which of the runners of a service are to be probed now, on new connections.
// The result of each is passed to Probed. domain is the failure domain of this instance.
func (d *Detector) Probes(service, domain string, runners []Candidate, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	s.known = len(runners)
	s.forget(now)
	if s.probing > 0 || len(runners) == 0 || now.Before(s.nextRound) {
		return nil
	}
	drawn := s.draw(domain, runners)
	switch {
	case s.state == Partitioned:
		drawn = drawn[:min(len(drawn), recoveryProbes)]
		s.nextRound = now.Add(recoveryInterval)
	case s.doubted || s.state == Impaired || s.signs(now):
		s.nextRound = now.Add(roundInterval)
	default:
		return nil
	}
	s.decided, s.doubted = false, false
	s.probing, s.probed, s.reached = len(drawn), len(drawn), 0
	return drawn
}

// draw returns runners in the order in which they are probed: of each failure domain one, this
// instance's own first, which it may reach where all others are cut off, then further ones up
// to the minimum. Within a domain those that have not failed come first, otherwise at random.
func (s *service) draw(domain string, runners []Candidate) []string {
	order := make([]Candidate, 0, len(runners))
	var failed []Candidate
	for _, i := range rand.Perm(len(runners)) {
		if r, ok := s.runners[runners[i].ID]; ok && !r.failedAt.IsZero() {
			failed = append(failed, runners[i])
		} else {
			order = append(order, runners[i])
		}
	}
	order = append(order, failed...)
	var own, first, rest []string
	seen := make(map[string]bool)
	for _, c := range order {
		switch {
		case seen[c.Domain]:
			rest = append(rest, c.ID)
		case c.Domain == domain:
			own = append(own, c.ID)
		default:
			first = append(first, c.ID)
		}
		seen[c.Domain] = true
	}
	drawn := append(own, first...)
	drawn = drawn[:min(len(drawn), maxProbes)]
	return append(drawn, rest[:min(len(rest), max(0, minProbes-len(drawn)))]...)
}

// Probed records the result of a probe. It returns the state, and whether it has changed.
func (d *Detector) Probed(service string, reached bool) (state State, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	before := s.state
	s.probing--
	if reached {
		s.reached++
	}
	switch {
	case s.state == Partitioned && reached:
		// The next round shows how many runners are reached.
		s.state, s.decided, s.doubted, s.nextRound = Impaired, true, true, time.Time{}
	case s.probing > 0 || s.state == Partitioned || s.decided:
	case s.reached == 0:
		s.state = Partitioned
		d.doubtOthers(service)
	case 2*s.reached < s.probed:
		s.state = Impaired
	default:
		s.state = Reached
		s.clearFailures()
	}
	return s.state, s.state != before
}

// Doubt makes a round of probes due for all services. It is called when another instance reports
// that it does not reach runners.
func (d *Detector) Doubt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.doubted = s.doubted || s.state == Reached
	}
}

// doubtOthers makes a round of probes due for the other services.
func (d *Detector) doubtOthers(service string) {
	for name, s := range d.services {
		if name != service && s.state == Reached {
			s.doubted, s.nextRound = true, time.Time{}
		}
	}
}

// due reports whether a round of probes is due as connections to enough runners failed or broke. Until
// the number of runners is known, one of them is not enough.
func (s *service) due(now time.Time) bool {
	enough := minSigns
	if s.known > 0 {
		enough = min(minSigns, s.known)
	}
	return s.state == Reached && s.probing == 0 && !now.Before(s.nextRound) && s.failed(now) >= enough
}

// failed returns the number of runners to which connections failed or broke within signWindow.
func (s *service) failed(now time.Time) int {
	n := 0
	for _, r := range s.runners {
		if !r.failedAt.IsZero() && now.Sub(r.failedAt) < signWindow {
			n++
		}
	}
	return n
}

// signs reports whether there are signs of a partition.
func (s *service) signs(now time.Time) bool {
	silent := 0
	for _, r := range s.runners {
		switch {
		case r.requests == 0:
		case now.Sub(r.quiet) < Silence:
			silent = -len(s.runners) // one that is not silent outweighs the others
		default:
			silent++
		}
	}
	enough := max(1, min(minSigns, s.known))
	return s.failed(now) >= enough || silent >= enough
}

// forget drops what is no sign any more.
func (s *service) forget(now time.Time) {
	for id, r := range s.runners {
		if now.Sub(r.failedAt) >= signWindow {
			r.failedAt = time.Time{}
		}
		if r.requests == 0 && r.failedAt.IsZero() {
			delete(s.runners, id)
		}
	}
}

// clearFailures drops the failures seen so far.
func (s *service) clearFailures() {
	for _, r := range s.runners {
		r.failedAt = time.Time{}
	}
}
