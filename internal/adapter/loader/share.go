package loader

import "time"

// A Sharer computes the share of the weight store's rate that an instance may use.
//
// Queues that share one server wait far less than queues with a fixed share each,
// so the rate is divided by the queue lengths that the instances of the domain and
// the other domains have reported. A fraction of each fixed share stays reserved,
// so that a new queue is served at once. A domain without a recent report may be
// partitioned from this one and use all of its fixed share, which is therefore left
// to it: the shares add up to more than the rate for no longer than a report is
// valid.
type Sharer struct {
	Fresh time.Duration // how long a reported queue length is valid

	domains map[string]queueReport
	peers   map[string]queueReport
}

// An Allotment is the fixed share of the rate of an instance or a domain, in proportion to
// the engines that it owns, and its queue length.
type Allotment struct {
	Fixed       float64 // 0 to 1
	QueueLength int
}

type queueReport struct {
	length int
	at     time.Time
}

// reservedFraction is the fraction of a fixed share that is never lent.
const reservedFraction = 0.25

// Domain records the queue length of another failure domain.
func (s *Sharer) Domain(name string, length int, now time.Time) {
	s.init()
	s.domains[name] = queueReport{length: length, at: now}
}

// Peer records the queue length of another instance of the same domain.
func (s *Sharer) Peer(incarnation string, length int, now time.Time) {
	s.init()
	s.peers[incarnation] = queueReport{length: length, at: now}
}

// QueueLength returns the queue length of this instance's domain, from its own and the
// valid reports.
func (s *Sharer) QueueLength(own int, now time.Time) int {
	total := own
	for _, report := range s.peers {
		if now.Sub(report.at) <= s.Fresh {
			total += report.length
		}
	}
	return total
}

// Share returns the share of the rate for this instance. Others are the fixed shares
// of the other failure domains by name.
func (s *Sharer) Share(own Allotment, others map[string]float64, now time.Time) float64 {
	queued := float64(s.QueueLength(own.QueueLength, now))
	pool := 1.0
	for domain, fixed := range others {
		report, ok := s.domains[domain]
		if !ok || now.Sub(report.at) > s.Fresh {
			pool -= fixed
			continue
		}
		queued += float64(report.length)
	}
	if queued == 0 {
		return own.Fixed
	}
	return reservedFraction*own.Fixed + (1-reservedFraction)*pool*float64(own.QueueLength)/queued
}

func (s *Sharer) init() {
	if s.peers == nil {
		s.domains = make(map[string]queueReport)
		s.peers = make(map[string]queueReport)
	}
}
