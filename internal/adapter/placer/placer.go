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
	"slices"
	"time"
)

// A Placer is what one runner holds and is asked to hold. Its fields are set
// before use; it is not safe for concurrent use.
type Placer struct {
	Model  string        // base model that the runner is to hold
	Places int           // for adapters
	Load   time.Duration // that an adapter takes from the weight store
	Loads  int           // adapters that may be on their way to the runner at once
	Return time.Duration // that an adapter takes which the runner held before

	copies  map[Copy]*place
	past    map[Copy]bool // held before
	known   bool          // a report has been taken in since the last doubt
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
	state placeState
	ready time.Time // when a load is expected to be complete
	used  time.Time // last use that was told
	late  bool      // a request came for it too early
	doubt bool      // the order that made it had no answer
}

type want struct {
	since  time.Time
	last   time.Time
	urgent int
}

const (
	// forget is how long a want lasts that nobody repeats. Instances repeat
	// theirs several times a second while a request waits.
	forget = time.Second
	// rest is how long a copy that a request may still use is not given up. An
	// instance tells every use within a few hundred milliseconds.
	rest = 700 * time.Millisecond
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

// Doubt makes a report necessary: a request was refused for want of a copy that
// should be there, or an order had no answer.
func (p *Placer) Doubt() { p.known = false }

// Sequence returns how many orders the runner has accepted, as far as is known.
func (p *Placer) Sequence() uint64 { return p.seq }

// Take takes in a report. It returns false if the report is older than an order
// that was accepted since, and so says nothing.
func (p *Placer) Take(r Report, now time.Time) bool {
	p.init()
	if p.open != nil || r.Sequence < p.seq && !p.overtaken(now) {
		return false
	}
	p.behind = time.Time{}
	p.seq = r.Sequence
	p.takeModels(r, now)
	seen := make(map[Copy]bool)
	for _, c := range r.Resident {
		seen[c] = true
		p.enter(c, resident, now)
	}
	for _, c := range r.Incoming {
		seen[c] = true
		p.enter(c, loading, now)
	}
	for c, s := range p.copies {
		// A load without an answer may still be carried out until another order
		// is accepted, so it keeps its place.
		if !seen[c] && (!s.doubt || s.state == unloading) {
			delete(p.copies, c)
		}
	}
	p.known = true
	return true
}

// overtaken reports whether reports have shown fewer orders than were counted
// for longer than a report is old. A runner accepts an order that asks for what
// is being done already without counting it; without this the runner would get
// no order any more.
func (p *Placer) overtaken(now time.Time) bool {
	if p.behind.IsZero() {
		p.behind = now
	}
	return now.Sub(p.behind) > oldReport
}

func (p *Placer) takeModels(r Report, now time.Time) {
	switch {
	case slices.Contains(r.Models, p.Model):
		p.model = modelHeld
	case r.Busy:
		p.model = modelLoading
		if now.After(p.reached) {
			p.reached = now.Add(modelMargin)
		}
	default:
		p.model = modelAbsent
	}
}

func (p *Placer) enter(c Copy, state placeState, now time.Time) {
	s, ok := p.copies[c]
	if !ok {
		s = &place{used: now.Add(-rest)}
		p.copies[c] = s
		s.ready = now.Add(p.time(c))
	}
	if s.state == unloading && s.doubt {
		return // it may go at any moment until another order is accepted
	}
	s.doubt = false
	if s.state != unloading || state == loading {
		s.state = state
	}
}

// Want asks for a copy. It is repeated while a request waits for it.
func (p *Placer) Want(c Copy, priority int, now time.Time) {
	p.init()
	w, ok := p.wanted[c]
	if !ok {
		w = want{since: now, urgent: priority}
	}
	w.last = now
	w.urgent = min(w.urgent, priority)
	p.wanted[c] = w
}

// An Arrival says what a use or a refusal tells of how long a load took.
type Arrival int

// The arrivals.
const (
	NoArrival     Arrival = iota
	ArrivedLoad           // an adapter from the weight store was there when expected
	ArrivedReturn         // so was one that the runner held before
	LateLoad              // an adapter from the weight store was not
	LateReturn            // nor was one that the runner held before
)

// Use tells that requests need a copy to stay.
func (p *Placer) Use(c Copy, now time.Time) {
	if s, ok := p.copies[c]; ok {
		s.used = now
	}
}

// There tells that the runner took a request for a copy.
func (p *Placer) There(c Copy, now time.Time) Arrival {
	p.init()
	s, ok := p.copies[c]
	if !ok {
		return NoArrival
	}
	s.used = now
	if s.state != loading || s.doubt {
		return NoArrival
	}
	s.state = resident
	a := p.arrival(c, s, ArrivedLoad, ArrivedReturn)
	p.past[c] = true
	return a
}

// arrival tells a load's kind once for each load.
func (p *Placer) arrival(c Copy, s *place, load, back Arrival) Arrival {
	switch {
	case s.late:
		return NoArrival
	case p.past[c]:
		return back
	default:
		return load
	}
}

// time returns how long a copy takes to arrive.
func (p *Placer) time(c Copy) time.Duration {
	if p.past[c] {
		return p.Return
	}
	return p.Load
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

// NeedsModel reports whether the next order is the load of the model, which
// draws on the weight store's rate.
func (p *Placer) NeedsModel() bool {
	return p.known && p.open == nil && p.Model != "" && p.model == modelAbsent
}

// Next returns the order to send now, if there is one. Finish must be called
// with its outcome. allowed says whether another adapter may be fetched.
func (p *Placer) Next(now time.Time, allowed bool) (Order, bool) {
	p.init()
	if !p.known || p.open != nil || now.Before(p.retry) || p.Model == "" {
		return Order{}, false
	}
	switch p.model {
	case modelAbsent:
		return p.send(Order{Copy: Copy{Model: p.Model}}), true
	case modelLoading:
		if now.After(p.reached) {
			p.known = false
		}
		return Order{}, false
	}
	c, ok := p.first(now)
	if !ok {
		return Order{}, false
	}
	_, again := p.copies[c] // an earlier load had no answer; its place is taken already
	if old, ok := p.sibling(c); ok {
		p.copies[old].state = unloading
		return p.send(Order{Copy: old, Unload: true}), true
	}
	if !again && len(p.copies) >= p.Places {
		return p.evict(now)
	}
	if !allowed || p.Coming(now) >= p.Loads {
		return Order{}, false
	}
	return p.send(Order{Copy: c}), true
}

// Coming returns how many adapters are on their way to the runner.
func (p *Placer) Coming(now time.Time) int {
	n := 0
	for _, s := range p.copies {
		if s.state == loading && (s.doubt || now.Before(s.ready)) {
			n++
		}
	}
	return n
}

// Waiting returns how many wanted copies are neither there nor on their way.
func (p *Placer) Waiting() int {
	n := 0
	for c := range p.wanted {
		if _, ok := p.copies[c]; !ok {
			n++
		}
	}
	return n
}

// first returns the wanted copy that is to be loaded next: the most urgent, of
// these the one that was wanted first.
func (p *Placer) first(now time.Time) (Copy, bool) {
	var best Copy
	var bestWant want
	found := false
	for c, w := range p.wanted {
		if now.Sub(w.last) > forget {
			delete(p.wanted, c)
			continue
		}
		if s, there := p.copies[c]; there && (!s.doubt || s.state == unloading) {
			continue
		}
		if old, ok := p.sibling(c); ok && !p.idle(p.copies[old], now) {
			continue
		}
		if !found || before(c, w, best, bestWant) {
			best, bestWant, found = c, w, true
		}
	}
	return best, found
}

// sibling returns another version of the adapter that the runner holds. It has
// to go first, when nobody uses it any more: a runner that is to replace a
// version in use takes no other order until its runs have ended.
func (p *Placer) sibling(c Copy) (Copy, bool) {
	for other := range p.copies {
		if other.Model == c.Model && other.Adapter == c.Adapter && other.Version != c.Version {
			return other, true
		}
	}
	return Copy{}, false
}

func before(c Copy, w want, other Copy, v want) bool {
	return cmp.Or(cmp.Compare(w.urgent, v.urgent), w.since.Compare(v.since), cmp.Compare(c.String(), other.String())) < 0
}

// evict gives up the copy whose last use is longest ago. One that may be in use
// is kept: an unload would wait for its runs, and requests for it that are on
// their way would be refused.
func (p *Placer) evict(now time.Time) (Order, bool) {
	var victim Copy
	var oldest *place
	for c, s := range p.copies {
		if s.state == unloading && s.doubt {
			return p.send(Order{Copy: c, Unload: true}), true
		}
		if s.doubt || !p.idle(s, now) {
			continue
		}
		if oldest == nil || s.used.Before(oldest.used) || s.used.Equal(oldest.used) && c.String() < victim.String() {
			victim, oldest = c, s
		}
	}
	if oldest == nil {
		return p.repeat()
	}
	oldest.state = unloading
	return p.send(Order{Copy: victim, Unload: true}), true
}

// idle reports whether a copy can be given up: it has not been used for a
// while, or nobody came for it after its load.
func (p *Placer) idle(s *place, now time.Time) bool {
	switch s.state {
	case resident:
		return now.Sub(s.used) >= rest
	case loading:
		return now.Sub(s.ready) >= p.Load+rest
	default:
		return false
	}
}

// repeat sends a load that had no answer once more. When all places are in
// doubt, only an accepted order can end it, and this one needs no further place.
func (p *Placer) repeat() (Order, bool) {
	for c, s := range p.copies {
		if s.doubt {
			return p.send(Order{Copy: c}), true
		}
	}
	return Order{}, false
}

func (p *Placer) send(o Order) Order {
	o.Expected = p.seq
	p.open = &o
	s, ok := p.copies[o.Copy]
	p.again = ok && s.doubt
	if o.Copy.Adapter != "" && !o.Unload {
		p.copies[o.Copy] = &place{state: loading, doubt: true}
	}
	return o
}

// Finish takes in the outcome of the order that Next returned.
func (p *Placer) Finish(outcome Outcome, now time.Time) {
	o := p.open
	p.open = nil
	if o == nil {
		return
	}
	switch outcome {
	case Accepted, Holds:
		p.accepted(o, outcome, now)
	case Lost:
		if s, ok := p.copies[o.Copy]; ok {
			s.doubt = true
		}
		p.known = false
		p.retry = now.Add(pause)
	case Mismatch, Refused:
		p.void(o)
		p.known = false
		p.retry = now.Add(pause)
	}
}

func (p *Placer) accepted(o *Order, outcome Outcome, now time.Time) {
	if outcome == Accepted || o.Unload { // what holds already is not counted
		p.seq++
		p.settle(o)
	}
	if o.Copy.Adapter == "" {
		p.model = modelLoading
		if outcome == Holds {
			p.model = modelHeld
		}
		p.reached = now.Add(p.modelTime() + modelMargin)
		return
	}
	s := p.copies[o.Copy]
	switch {
	case s == nil:
	case o.Unload && outcome == Holds:
		delete(p.copies, o.Copy)
		p.past[o.Copy] = true
	case o.Unload:
		p.known = false // it waits for its runs; a report shows when the place is free
		p.retry = now.Add(rest)
	case outcome == Holds:
		s.state, s.doubt, s.ready, s.used = resident, false, now, now
	default:
		s.doubt, s.ready = false, now.Add(p.time(o.Copy))
		s.used = s.ready
	}
}

// settle ends the doubt about orders without an answer: this order was
// accepted, so every earlier one that was not is void.
func (p *Placer) settle(accepted *Order) {
	for c, s := range p.copies {
		switch {
		case !s.doubt || c == accepted.Copy:
		case s.state == unloading:
			s.state, s.doubt = resident, false
		default:
			delete(p.copies, c)
		}
	}
}

// void takes back what Next assumed of an order that was refused.
func (p *Placer) void(o *Order) {
	s, ok := p.copies[o.Copy]
	switch {
	case !ok, p.again: // the earlier sending stays in doubt
	case o.Unload:
		s.state = resident
	case s.doubt:
		delete(p.copies, o.Copy)
	}
}

func (p *Placer) modelTime() time.Duration { return p.Load * modelLoads }

// modelLoads is how many times longer a model takes than an adapter before the
// first report is worth its price.
const modelLoads = 2

func (p *Placer) init() {
	if p.copies == nil {
		p.copies = make(map[Copy]*place)
		p.past = make(map[Copy]bool)
		p.wanted = make(map[Copy]want)
	}
}

// Late takes in that a copy was not there when a request came for it. If it was
// thought to be there for good, a report becomes necessary.
func (p *Placer) Late(c Copy, now time.Time) Arrival {
	s, ok := p.copies[c]
	switch {
	case !ok:
		return NoArrival // given up meanwhile, or never ordered
	case s.state == resident:
		p.known = false
		return NoArrival
	case s.state == unloading || now.Before(s.ready):
		return NoArrival // known already
	}
	a := p.arrival(c, s, LateLoad, LateReturn)
	s.late = true
	s.ready = now.Add(p.time(c) / lateParts)
	return a
}

// lateParts is the part of a load after which a copy that was late is tried
// again.
const lateParts = 4
