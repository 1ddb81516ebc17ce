// Package placer decides which adapters a runner holds. Its state belongs to the
// one instance that may send orders to the runner.
//
// A runner that is ordered to load more adapters than it has slots for crashes,
// and an unanswered order may still be carried out seconds later. So a slot counts
// as taken from the moment a load is sent until a report, newer than every order,
// shows that it is free.
package placer

import (
	"cmp"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

// A Placer tracks the copies that one runner holds and those that are requested
// of it. Its exported fields are set before use; it is not safe for concurrent use.
type Placer struct {
	Copies       func(Copy) int                // runners of the failure domain that hold a copy; nil if unknown
	InUse        func(Copy) bool               // whether a request uses a copy; nil if unknown
	MayEvict     func(victim, ahead Copy) bool // whether a copy may be evicted for one that is loaded ahead of demand; nil: yes
	Model        string                        // base model that the runner has to hold
	AdapterSlots int                           // adapter slots of the runner
	LoadTime     time.Duration                 // time to load an adapter from the weight store
	MaxLoads     int                           // maximum number of concurrent loads on the runner
	ReloadTime   time.Duration                 // time to load an adapter that the runner held before

	clock        warmer.Clock
	copies       map[Copy]*slot
	heldBefore   warmer.RecentSet[Copy] // copies that the runner has held
	known        bool                   // no report is needed before the next order
	model        modelState
	behindSince  time.Time // since when the sequence of reports is behind seq; zero if it is not
	resend       bool      // inFlight repeats an unanswered order
	inFlight     *Order    // order in flight; nil if there is none
	notBefore    time.Time // no order before this time
	seq          uint64    // orders that the runner has accepted
	demands      map[Copy]demand
	modelReadyBy time.Time // when a model load is expected to be complete
}

type modelState int

const (
	modelAbsent modelState = iota
	modelLoading
	modelResident
)

type slotState int

const (
	loading slotState = iota
	resident
	unloading
)

// A slot is an adapter slot that is taken.
type slot struct {
	state       slotState
	heat        warmer.Heat
	acceptedAt  time.Time // when the load was accepted; zero if unknown
	readyAt     time.Time // when the load is expected to be complete
	lastUse     time.Time // last reported use
	lastMiss    time.Time // when a request last did not find the copy
	unconfirmed bool      // the last order on the slot is unanswered
}

// A demand is the reported demand for a copy.
type demand struct {
	Waiting
	ahead     bool // requested ahead of demand
	firstSeen time.Time
	lastSeen  time.Time
	uses      float64 // expected in the next second, if requested ahead of demand
}

// Waiting summarizes the requests that wait for a copy.
type Waiting struct {
	_        struct{} `cbor:",toarray"`
	Priority int      // of the most urgent one; Spare if none waits
	Requests int
	InTime   int // requests that are still served in time if this copy is loaded next, weighted
}

// Plus returns the sum of w and other, with the more urgent priority.
func (w Waiting) Plus(other Waiting) Waiting {
	return Waiting{Priority: min(w.Priority, other.Priority), Requests: w.Requests + other.Requests, InTime: w.InTime + other.InTime}
}

// ContinuedWeight is how many requests in time a stream counts as whose caller has a part of it: a new request may come
// again, a stream is lost.
const ContinuedWeight = 4

// FetchLimit limits which copies may be fetched from the weight store now.
type FetchLimit int

// The values of FetchLimit.
const (
	NoFetch         FetchLimit = iota
	FetchForWaiting            // copies that requests wait for
	FetchAny                   // also those that no request waits for
)

// Spare is the priority of a copy that no request waits for.
const Spare = 10

const (
	// demandTTL is the time after which demand that is not reported again expires.
	// Instances report it several times a second while a request waits.
	demandTTL = time.Second
	// useGrace is how long a copy is kept for a request that was assigned to it. The
	// next update of that instance reports the use, and a later one its end; after
	// that the copy can be evicted at once.
	useGrace = 200 * time.Millisecond
	// refusalDelay is the delay before the next order to a runner that refused one or
	// could not be reached.
	refusalDelay = 100 * time.Millisecond
	// maxReportAge is an upper bound on the age of a report.
	maxReportAge = time.Second
	// modelLoadMargin is the margin added to the expected load time of a model before
	// a report is requested, as concurrent loads slow each other down.
	modelLoadMargin = 500 * time.Millisecond
)

// Known reports whether the copies on the runner are known. If not, a report is
// needed before the next order.
func (p *Placer) Known() bool { return p.known }

// Request requests a copy for one waiting request, or for none if the priority is
// Spare. The caller repeats it while the copy is needed.
func (p *Placer) Request(c Copy, priority int, now time.Time) {
	w := Waiting{Priority: priority, Requests: 1, InTime: 1}
	if priority >= Spare {
		w.Requests, w.InTime = 0, 0
	}
	p.SetDemand(c, w, now)
}

// SetDemand replaces the demand for a copy. The caller repeats it while requests wait.
func (p *Placer) SetDemand(c Copy, waiting Waiting, now time.Time) {
	p.init()
	d, ok := p.demands[c]
	if !ok {
		d.firstSeen = now
	}
	d.Waiting, d.lastSeen, d.ahead = waiting, now, false
	p.demands[c] = d
}

// ClearDemand removes the demand for a copy.
func (p *Placer) ClearDemand(c Copy) { delete(p.demands, c) }

// MarkAssigned records that a request was assigned to a copy, so that the copy is not
// evicted before the request arrives.
func (p *Placer) MarkAssigned(c Copy, now time.Time) {
	if s, ok := p.copies[c]; ok {
		s.lastUse = now
	}
}

// Holds reports whether the runner holds a copy or is loading it.
func (p *Placer) Holds(c Copy) bool {
	s, ok := p.copies[c]
	return ok && s.state != unloading
}

// Held returns the copies that requests may be sent to, with the time from which
// each can be used; zero means now.
func (p *Placer) Held() map[Copy]time.Time {
	held := make(map[Copy]time.Time, len(p.copies))
	for c, s := range p.copies {
		switch {
		case s.unconfirmed || s.state == unloading:
		case s.state == resident:
			held[c] = time.Time{}
		default:
			held[c] = s.readyAt
		}
	}
	if p.model == modelResident {
		held[Copy{Model: p.Model}] = time.Time{}
	}
	return held
}

// Next returns the order to send now, if there is one. Finish must be called
// with its outcome. fetches restricts the fetches from the weight store; a copy that the
// runner has held before and that a request waits for is not subject to it, as the
// runner still has it in host memory.
func (p *Placer) Next(now time.Time, fetches FetchLimit) (Order, bool) {
	p.init()
	if !p.known || p.inFlight != nil || now.Before(p.notBefore) || p.Model == "" {
		return Order{}, false
	}
	switch p.model {
	case modelAbsent:
		return p.issue(Order{Copy: Copy{Model: p.Model}}, now), true
	case modelLoading:
		if now.After(p.modelReadyBy) {
			p.known = false
		}
		return Order{}, false
	}
	c, ok := p.nextLoad(now, fetches)
	if !ok {
		return Order{}, false
	}
	_, retried := p.copies[c] // an earlier load is unanswered and has taken the slot
	if old, ok := p.otherVersion(c); ok {
		p.copies[old].state = unloading
		return p.issue(Order{Copy: old, Unload: true}, now), true
	}
	if !retried && len(p.copies) >= p.AdapterSlots {
		return p.evict(c, now)
	}
	limit := p.MaxLoads
	if p.demands[c].ahead {
		limit-- // leaves one for a copy that a request will wait for
	}
	if p.loadsInProgress(now) >= limit {
		return Order{}, false
	}
	return p.issue(Order{Copy: c}, now), true
}

// loadsInProgress returns how many adapters are being loaded by the runner.
func (p *Placer) loadsInProgress(now time.Time) int {
	n := 0
	for _, s := range p.copies {
		if s.state == loading && (s.unconfirmed || now.Before(s.readyAt)) {
			n++
		}
	}
	return n
}

// Fetching returns how many adapters are being loaded from the weight store. An
// unanswered load counts only for the duration of a load: if it counted for as
// long as it is unconfirmed, a few of them would block all loads of a failure
// domain, and with them the later order that resolves them.
func (p *Placer) Fetching(now time.Time) int {
	n := 0
	for c, s := range p.copies {
		if s.state == loading && now.Before(s.readyAt) && !p.heldBefore.Has(c) {
			n++
		}
	}
	return n
}

// HeldBefore reports whether the runner has held a copy before.
func (p *Placer) HeldBefore(c Copy) bool { return p.heldBefore.Has(c) }

// Waiting returns how many copies that requests wait for are neither resident
// nor being loaded.
func (p *Placer) Waiting() int {
	n := 0
	for c, d := range p.demands {
		if _, ok := p.copies[c]; !ok && d.Priority < Spare {
			n++
		}
	}
	return n
}

// WaitingContinued returns how many of the copies that Waiting counts are as urgent as one that a continued stream
// waits for. They are loaded before the others of their priority.
func (p *Placer) WaitingContinued() int {
	n := 0
	for c, d := range p.demands {
		if _, ok := p.copies[c]; !ok && d.Priority < Spare && d.InTime >= ContinuedWeight {
			n++
		}
	}
	return n
}

// nextLoad returns the requested copy to load next.
func (p *Placer) nextLoad(now time.Time, limit FetchLimit) (Copy, bool) {
	var best Copy
	var bestDemand demand
	found := false
	for c, d := range p.demands {
		if now.Sub(d.lastSeen) > demandTTL {
			delete(p.demands, c)
			continue
		}
		if d.Priority >= Spare && limit < FetchAny || limit == NoFetch && !p.heldBefore.Has(c) {
			continue
		}
		if s, taken := p.copies[c]; taken && (!s.unconfirmed || s.state == unloading) {
			continue
		}
		if old, ok := p.otherVersion(c); ok && !p.evictable(old, p.copies[old], now) {
			continue
		}
		if !found || loadsBefore(c, d, best, bestDemand) {
			best, bestDemand, found = c, d, true
		}
	}
	return best, found
}

// loadsBefore reports whether a copy is loaded before another: first by priority,
// then by the number of requests that it would serve in time, as slots are the scarce
// resource and one load serves all requests for the copy, then by the time since it
// was requested.
func loadsBefore(c Copy, d demand, other Copy, otherDemand demand) bool {
	return cmp.Or(cmp.Compare(d.Priority, otherDemand.Priority), cmp.Compare(otherDemand.InTime, d.InTime), d.firstSeen.Compare(otherDemand.firstSeen), cmp.Compare(c.String(), other.String())) < 0
}

// issue records an order as in flight and, for a load of an adapter, takes a slot.
func (p *Placer) issue(o Order, now time.Time) Order {
	o.Expected = p.seq
	p.inFlight = &o
	s, ok := p.copies[o.Copy]
	p.resend = ok && s.unconfirmed
	if o.Copy.Adapter != "" && !o.Unload {
		p.copies[o.Copy] = &slot{state: loading, unconfirmed: true, readyAt: now.Add(p.loadTime(o.Copy)), heat: p.clock.NewHeat(p.expectedUses(o.Copy))}
	}
	return o
}

func (p *Placer) init() {
	if p.copies == nil {
		p.copies = make(map[Copy]*slot)
		p.heldBefore.Limit = warmer.HostMemoryCopies
		p.demands = make(map[Copy]demand)
		p.clock.HalfLife = warmer.HalfLifePerSlot * float64(max(1, p.AdapterSlots))
	}
}
