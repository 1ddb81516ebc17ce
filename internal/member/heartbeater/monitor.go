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

// A Health is the state of an instance as far as heartbeats show.
type Health string

// The values of Health.
const (
	Live    Health = "live"
	Leaving Health = "leaving" // draining: running, accepts no new work
	Suspect Health = "suspect" // heartbeats missing; gets no new work until the next one
	Unknown Health = "unknown" // no heartbeat received yet
)

// A Monitor holds the state of the other instances. SuspectAfter and GoneAfter are set
// before use.
type Monitor struct {
	SuspectAfter time.Duration // time without a heartbeat after which an instance is suspect
	GoneAfter    time.Duration // time without a heartbeat and off the list after which an instance is gone

	listed     map[string]bool // incarnations on the last list read
	listReadAt time.Time       // zero before the first list
	peers      map[string]*peer
}

type peer struct {
	instance      Instance
	absentSince   time.Time // since when it has been missing from the list; zero if it is not
	lastHeartbeat time.Time
}

// ObserveHeartbeat records a heartbeat.
func (m *Monitor) ObserveHeartbeat(i Instance, now time.Time) {
	p := m.peer(i)
	p.lastHeartbeat = now
	p.absentSince = time.Time{}
}

// Terminated reports whether the incarnation's process has terminated. The time limit of
// an incarnation that was never listed nor sent a heartbeat starts at the first call.
func (m *Monitor) Terminated(incarnation string, now time.Time) bool {
	p := m.peer(Instance{Incarnation: incarnation})
	if m.listReadAt.IsZero() || m.listed[incarnation] {
		return false
	}
	if p.absentSince.IsZero() {
		p.absentSince = now
	}
	return now.Sub(p.absentSince) >= m.GoneAfter && now.Sub(p.lastHeartbeat) >= m.GoneAfter
}

// Health returns the health of an incarnation.
func (m *Monitor) Health(incarnation string, now time.Time) Health {
	p, ok := m.peers[incarnation]
	switch {
	case !ok || p.lastHeartbeat.IsZero():
		return Unknown
	case now.Sub(p.lastHeartbeat) > m.SuspectAfter:
		return Suspect
	case p.instance.Leaving:
		return Leaving
	default:
		return Live
	}
}

// Instance returns the instance with the incarnation if it is listed or sent a
// heartbeat within GoneAfter.
func (m *Monitor) Instance(incarnation string, now time.Time) (Instance, bool) {
	p, ok := m.peers[incarnation]
	if !ok || p.instance.ID == "" {
		return Instance{}, false
	}
	known := m.listed[incarnation] || now.Sub(p.lastHeartbeat) <= m.GoneAfter
	return p.instance, known
}

// Instances returns every instance that is listed or sent a heartbeat within
// GoneAfter, sorted by ID and incarnation.
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

// ObserveList records the platform's list as read at now and removes peers that have been
// gone for long.
func (m *Monitor) ObserveList(instances []Instance, now time.Time) {
	m.listed = make(map[string]bool, len(instances))
	m.listReadAt = now
	for _, i := range instances {
		m.listed[i.Incarnation] = true
		m.peer(i).absentSince = time.Time{}
	}
	for incarnation := range m.peers {
		m.removeExpired(incarnation, now)
	}
}

// retentionFactor is how many times GoneAfter a gone peer is kept, so that late queries
// about it still get the right result.
const retentionFactor = 20

func (m *Monitor) removeExpired(incarnation string, now time.Time) {
	if !m.Terminated(incarnation, now) {
		return
	}
	if now.Sub(m.peers[incarnation].absentSince) > retentionFactor*m.GoneAfter {
		delete(m.peers, incarnation)
	}
}

// peer returns the record of an instance, updated from i. Leaving is never reset:
// a list that lags behind would send new work to a draining instance.
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
