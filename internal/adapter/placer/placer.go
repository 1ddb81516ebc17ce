// Package placer decides what a runner holds. It is the state of the one
// instance that may give the runner orders.
//
// A runner that is ordered to hold more than it has room for crashes, and an
// order without an answer may still be carried out seconds later. So a place
// counts as taken from the moment a load is sent until a report, newer than
// every order, shows that it is free.
package placer

import (
	"cmp"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

// A Placer is what one runner holds and is asked to hold. Its fields are set
// before use; it is not safe for concurrent use.
type Placer struct {
	Copies func(Copy) int  // runners of the failure domain that hold a copy; nil if unknown
	InUse  func(Copy) bool // whether a request needs a copy to stay; nil if that is never told
	Model  string          // base model that the runner is to hold
	Places int             // for adapters
	Load   time.Duration   // that an adapter takes from the weight store
	Loads  int             // adapters that may be on their way to the runner at once
	Return time.Duration   // that an adapter takes which the runner held before

	clock   warmer.Clock
	copies  map[Copy]*place
	past    warmer.Recent[Copy] // held before
	known   bool                // a report has been taken in since the last doubt
	model   modelState
	behind  time.Time // since when reports show fewer orders than were counted
	again   bool      // an earlier sending of open had no answer
	open    *Order    // sent, not answered
	retry   time.Time
	seq     uint64
	wanted  map[Copy]want
	reached time.Time // until when a model load is expected to last
}

type modelState int

const (
	modelAbsent modelState = iota
	modelLoading
	modelHeld
)

type placeState int

const (
	loading placeState = iota
	resident
	unloading
)

// A place is one that an adapter takes.
type place struct {
	state   placeState
	heat    warmer.Heat
	ordered time.Time // when its load was accepted; zero if that was not seen
	ready   time.Time // when a load is expected to be complete
	used    time.Time // last use that was told
	missed  time.Time // when a request last came for it too early
	doubt   bool      // the order that made it had no answer
}

// A want is the requests that wait for a copy.
type want struct {
	Waiting
	since time.Time
	last  time.Time
}

// Waiting is how many requests wait for a copy, and how urgent they are.
type Waiting struct {
	_        struct{} `cbor:",toarray"`
	Priority int      // of the most urgent one; Spare if none waits
	Requests int
	InTime   int // of the requests, those that are still on time if the copy comes next
}

// Plus returns the requests of both.
func (w Waiting) Plus(other Waiting) Waiting {
	return Waiting{Priority: min(w.Priority, other.Priority), Requests: w.Requests + other.Requests, InTime: w.InTime + other.InTime}
}

// Room says what may be fetched from the weight store now.
type Room int

// The rooms.
const (
	NoRoom         Room = iota
	RoomForWaiting      // copies that requests wait for
	RoomForAny          // also those that no request waits for
)

// Spare is the priority of a copy that no request waits for.
const Spare = 10

const (
	// forget is how long a want lasts that nobody repeats. Instances repeat
	// theirs several times a second while a request waits.
	forget = time.Second
	// rest is how long a copy stays for a request that was told of room at its
	// runner. The instance of the request tells of the use with its next word,
	// and of its end; after that the copy can make way at once.
	rest = 200 * time.Millisecond
	// pause keeps orders off a runner that has just refused one.
	pause = 100 * time.Millisecond
	// oldReport is more than the age of any report.
	oldReport = time.Second
	// modelMargin is how much longer than declared a model may take to load
	// before a report is asked for: loads slow each other down.
	modelMargin = 500 * time.Millisecond
)

// Known reports whether what the runner holds is known. If not, a report is
// needed before any order.
func (p *Placer) Known() bool { return p.known }

// Want asks for a copy that one request waits for, or none if the priority is
// Spare. It is repeated while that is so.
func (p *Placer) Want(c Copy, priority int, now time.Time) {
	w := Waiting{Priority: priority, Requests: 1, InTime: 1}
	if priority >= Spare {
		w.Requests, w.InTime = 0, 0
	}
	p.Wait(c, w, now)
}

// Wait takes in the requests that wait for a copy now, in place of what was told
// before. It is repeated while some do.
func (p *Placer) Wait(c Copy, waiting Waiting, now time.Time) {
	p.init()
	w, ok := p.wanted[c]
	if !ok {
		w.since = now
	}
	w.Waiting, w.last = waiting, now
	p.wanted[c] = w
}

// Unwant takes in that no request waits for a copy any more.
func (p *Placer) Unwant(c Copy) { delete(p.wanted, c) }

// Use tells that a request was told of room for it, and needs a copy to stay.
func (p *Placer) Use(c Copy, now time.Time) {
	if s, ok := p.copies[c]; ok {
		s.used = now
	}
}

// Holds reports whether the runner has a copy or is getting it.
func (p *Placer) Holds(c Copy) bool {
	s, ok := p.copies[c]
	return ok && s.state != unloading
}

// Held returns the copies that requests may be sent to, and from when on.
func (p *Placer) Held() map[Copy]time.Time {
	held := make(map[Copy]time.Time, len(p.copies))
	for c, s := range p.copies {
		switch {
		case s.doubt || s.state == unloading:
		case s.state == resident:
			held[c] = time.Time{}
		default:
			held[c] = s.ready
		}
	}
	if p.model == modelHeld {
		held[Copy{Model: p.Model}] = time.Time{}
	}
	return held
}

// Next returns the order to send now, if there is one. Finish must be called
// with its outcome. room says what may be fetched from the weight store; a copy
// that the runner keeps in its memory and that a request waits for may come in
// any case.
func (p *Placer) Next(now time.Time, room Room) (Order, bool) {
	p.init()
	if !p.known || p.open != nil || now.Before(p.retry) || p.Model == "" {
		return Order{}, false
	}
	switch p.model {
	case modelAbsent:
		return p.send(Order{Copy: Copy{Model: p.Model}}, now), true
	case modelLoading:
		if now.After(p.reached) {
			p.known = false
		}
		return Order{}, false
	}
	c, ok := p.first(now, room)
	if !ok {
		return Order{}, false
	}
	_, again := p.copies[c] // an earlier load had no answer; its place is taken already
	if old, ok := p.sibling(c); ok {
		p.copies[old].state = unloading
		return p.send(Order{Copy: old, Unload: true}, now), true
	}
	if !again && len(p.copies) >= p.Places {
		return p.evict(now)
	}
	if p.coming(now) >= p.Loads {
		return Order{}, false
	}
	return p.send(Order{Copy: c}, now), true
}

// coming returns how many adapters are on their way to the runner.
func (p *Placer) coming(now time.Time) int {
	n := 0
	for _, s := range p.copies {
		if s.state == loading && (s.doubt || now.Before(s.ready)) {
			n++
		}
	}
	return n
}

// Fetching returns how many adapters are on their way from the weight store. A
// load without an answer counts for as long as a load takes: counted for as long
// as it is in doubt, a few of them would end all loads of a failure domain, and
// with them the later order that ends the doubt.
func (p *Placer) Fetching(now time.Time) int {
	n := 0
	for c, s := range p.copies {
		if s.state == loading && now.Before(s.ready) && !p.past.Has(c) {
			n++
		}
	}
	return n
}

// Kept reports whether the runner held a copy before.
func (p *Placer) Kept(c Copy) bool { return p.past.Has(c) }

// Waiting returns how many copies that requests wait for are neither there nor
// on their way.
func (p *Placer) Waiting() int {
	n := 0
	for c, w := range p.wanted {
		if _, ok := p.copies[c]; !ok && w.Priority < Spare {
			n++
		}
	}
	return n
}

// first returns the wanted copy that is to be loaded next.
func (p *Placer) first(now time.Time, room Room) (Copy, bool) {
	var best Copy
	var bestWant want
	found := false
	for c, w := range p.wanted {
		if now.Sub(w.last) > forget {
			delete(p.wanted, c)
			continue
		}
		if w.Priority >= Spare && room < RoomForAny || room == NoRoom && !p.past.Has(c) {
			continue
		}
		if s, there := p.copies[c]; there && (!s.doubt || s.state == unloading) {
			continue
		}
		if old, ok := p.sibling(c); ok && !p.idle(old, p.copies[old], now) {
			continue
		}
		if !found || before(c, w, best, bestWant) {
			best, bestWant, found = c, w, true
		}
	}
	return best, found
}

// before reports whether a copy is loaded before another: the most urgent first;
// of these the one for which most requests wait that it would still serve in
// time, as a place for a while is what is scarce and serves all of them; of these
// the one that was wanted first.
func before(c Copy, w want, other Copy, v want) bool {
	return cmp.Or(cmp.Compare(w.Priority, v.Priority), cmp.Compare(v.InTime, w.InTime), w.since.Compare(v.since), cmp.Compare(c.String(), other.String())) < 0
}

func (p *Placer) send(o Order, now time.Time) Order {
	o.Expected = p.seq
	p.open = &o
	s, ok := p.copies[o.Copy]
	p.again = ok && s.doubt
	if o.Copy.Adapter != "" && !o.Unload {
		p.copies[o.Copy] = &place{state: loading, doubt: true, ready: now.Add(p.time(o.Copy))}
	}
	return o
}

func (p *Placer) init() {
	if p.copies == nil {
		p.copies = make(map[Copy]*place)
		p.past.Limit = warmer.Kept
		p.wanted = make(map[Copy]want)
		p.clock.Half = warmer.Turns * float64(max(1, p.Places))
	}
}
