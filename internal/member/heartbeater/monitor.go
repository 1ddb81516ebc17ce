package heartbeater

import (
	"slices"
	"strings"
	"time"
)

// An Instance is one running process of the system as its peers know it.
type Instance struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"` // host:port of the peer listener
	Leaving     bool   `cbor:"5,keyasint"`
}

// A Health is what is believed of an instance.
type Health string

// The healths.
const (
	Live    Health = "live"
	Leaving Health = "leaving" // runs, takes no new work
	Suspect Health = "suspect" // silent; takes no new work until heard again
	Unknown Health = "unknown" // never heard
)

// A Monitor holds what is known of the other instances. Silence and Patience
// are set before use.
type Monitor struct {
	Silence  time.Duration // after which an instance is suspect
	Patience time.Duration // for which list and instance must be silent before it is gone

	listed map[string]bool // incarnations on the last list
	read   time.Time       // when the last list was read
	peers  map[string]*peer
}

type peer struct {
	instance Instance
	absent   time.Time // first list read without it
	heard    time.Time
}

// Beat records a heartbeat.
func (m *Monitor) Beat(i Instance, now time.Time) {
	p := m.peer(i)
	p.heard = now
	p.absent = time.Time{}
}

// Gone reports whether the incarnation's process runs no more. An incarnation
// that was never listed or heard counts from the first question on.
func (m *Monitor) Gone(incarnation string, now time.Time) bool {
	p := m.peer(Instance{Incarnation: incarnation})
	if m.read.IsZero() || m.listed[incarnation] {
		return false
	}
	if p.absent.IsZero() {
		p.absent = now
	}
	return now.Sub(p.absent) >= m.Patience && now.Sub(p.heard) >= m.Patience
}

// Health returns what is believed of an incarnation.
func (m *Monitor) Health(incarnation string, now time.Time) Health {
	p, ok := m.peers[incarnation]
	switch {
	case !ok || p.heard.IsZero():
		return Unknown
	case now.Sub(p.heard) > m.Silence:
		return Suspect
	case p.instance.Leaving:
		return Leaving
	default:
		return Live
	}
}

// Instance returns the instance with the incarnation if it is listed or was
// heard lately.
func (m *Monitor) Instance(incarnation string, now time.Time) (Instance, bool) {
	p, ok := m.peers[incarnation]
	if !ok || p.instance.ID == "" {
		return Instance{}, false
	}
	known := m.listed[incarnation] || now.Sub(p.heard) <= m.Patience
	return p.instance, known
}

// Instances returns every instance that is listed or was heard lately, sorted
// by ID and incarnation.
func (m *Monitor) Instances(now time.Time) []Instance {
	var instances []Instance
	for incarnation := range m.peers {
		if i, ok := m.Instance(incarnation, now); ok {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int {
		if c := strings.Compare(a.ID, b.ID); c != 0 {
			return c
		}
		return strings.Compare(a.Incarnation, b.Incarnation)
	})
	return instances
}

// List takes in the platform's list as read at now and forgets the peers that
// are gone.
func (m *Monitor) List(instances []Instance, now time.Time) {
	m.listed = make(map[string]bool, len(instances))
	m.read = now
	for _, i := range instances {
		m.listed[i.Incarnation] = true
		m.peer(i).absent = time.Time{}
	}
	for incarnation := range m.peers {
		m.forget(incarnation, now)
	}
}

// forgetAfter is how many times Patience a gone peer is remembered, so that a
// late question about it is still answered.
const forgetAfter = 20

func (m *Monitor) forget(incarnation string, now time.Time) {
	if !m.Gone(incarnation, now) {
		return
	}
	if now.Sub(m.peers[incarnation].absent) > forgetAfter*m.Patience {
		delete(m.peers, incarnation)
	}
}

// peer returns the record of an instance and merges what i adds. Leaving is
// never taken back: a list that lags would bring new work to a leaving
// instance.
func (m *Monitor) peer(i Instance) *peer {
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	p, ok := m.peers[i.Incarnation]
	if !ok {
		p = &peer{instance: i}
		m.peers[i.Incarnation] = p
	}
	leaving := p.instance.Leaving || i.Leaving
	if i.ID != "" {
		p.instance = i
	}
	p.instance.Leaving = leaving
	return p
}
