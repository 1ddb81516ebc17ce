// Package elector decides which instance gives orders to the runners of a
// failure domain.
//
// Runners may not check who orders them, so two instances that both believe to
// be entitled would evict each other's adapters. One row in the table service
// holds the tenure of a domain. Its holder renews it and trusts it for a lease
// time, counted from before the renewal was sent, on a clock that runs on while
// the process or its host stands still. Another instance takes the row over by
// a conditional write when it has seen the same renewal for longer than that,
// and then keeps still until the last order of the holder before must have
// arrived.
package elector

import "time"

// A Tenure is the row of a failure domain.
type Tenure struct {
	Holder  string `cbor:"1,keyasint"` // ID of the instance
	Address string `cbor:"2,keyasint"` // where peers reach it
	Fence   uint64 `cbor:"3,keyasint"` // rises with each holder
	Serial  uint64 `cbor:"4,keyasint"` // rises with each renewal
	Settled bool   `cbor:"5,keyasint"` // the quiet time after the takeover had passed
}

// An Elector is one instance's view of one tenure. Its fields are set before
// use; it is not safe for concurrent use. Times are readings of a clock that
// counts suspends; only their differences matter.
type Elector struct {
	Self    string
	Address string
	Lease   time.Duration // that a renewal is trusted for
	Quiet   time.Duration // between the orders of two holders
	Late    time.Duration // extra wait before a takeover, 0 for the instances of the domain itself

	version uint64 // of the row as last read or written
	row     Tenure
	seen    time.Duration // when version was first seen
	sent    time.Duration // when the renewal in force was sent; valid if held
	held    bool
	from    time.Duration // before which no order may be sent
	known   bool
	leaving bool
	yielded time.Duration // when the tenure was given up to another instance
	until   time.Duration // before which it is not taken again
	ended   uint64        // fencing number of a tenure whose holder said that it has given it up
	endedAt time.Duration // when it said so
}

// A Write is a conditional write of the row: Version is the one it must have.
type Write struct {
	Version  uint64
	Row      Tenure
	Takeover bool
	at       time.Duration
}

// renewals is how many renewals fall into a lease, so that two that are lost in
// a row do not end it.
const renewals = 4

// guard is the part of the lease by which an observer waits longer than the
// holder trusts it. It covers clocks whose rates differ by a tenth, which is
// far more than any real pair.
const guard = 10

// Acts reports whether orders may be sent at now, and the fencing number that
// they carry.
func (e *Elector) Acts(now time.Duration) (uint64, bool) {
	return e.row.Fence, e.Holds(now) && now >= e.from
}

// Holds reports whether the tenure can be trusted at now.
func (e *Elector) Holds(now time.Duration) bool {
	return e.held && now-e.sent < e.Lease
}

// Holder returns the row as last seen.
func (e *Elector) Holder() Tenure { return e.row }

// Renewal returns the version that the renewal in force gave the row, and how
// long ago it was sent; for a row of another instance, at the least.
func (e *Elector) Renewal(now time.Duration) (version uint64, age time.Duration) {
	if !e.held {
		return e.version, now - e.seen
	}
	return e.version, now - e.sent
}

// Heard takes in the row as its holder told of it, with the version and the age
// of its last renewal, so that others know without reading it when the tenure
// ends. The way of the message makes it look younger than it is, never older.
func (e *Elector) Heard(row Tenure, version uint64, age, now time.Duration) {
	if e.held || version <= e.version {
		return
	}
	e.known = true
	e.row = row
	e.version = version
	e.seen = now - age
}

// Leave ends the tenure: no order is sent any more. If it was held, the write
// that is returned frees the row, so that the next holder need not wait until
// the renewal has run out, but for the quiet time only.
func (e *Elector) Leave(now time.Duration) (w Write, held bool) {
	e.leaving = true
	return e.release(now)
}

// Yield gives the tenure up to another instance, and does not take it again for a
// while: no order is sent any more. If it was held, the write that is returned frees
// the row.
func (e *Elector) Yield(now, away time.Duration) (w Write, held bool) {
	e.yielded, e.until = now, now+away
	w, held = e.release(now)
	e.known = false
	return w, held
}

// Ended takes in that the holder with a fencing number has given its tenure up: it
// orders nothing more, whatever the row says. A holder that does not reach the table
// service cannot free the row, but it may reach those who can take it.
func (e *Elector) Ended(fence uint64, now time.Duration) {
	if !e.held && fence > e.ended {
		e.ended, e.endedAt = fence, now
	}
}

// over reports whether the tenure in the row is one that its holder has given up.
func (e *Elector) over() bool { return e.ended > 0 && e.row.Fence == e.ended }

func (e *Elector) release(now time.Duration) (w Write, held bool) {
	held = e.Holds(now)
	e.held = false
	row := e.row
	row.Holder, row.Address = "", ""
	row.Serial++
	return Write{Version: e.version, Row: row, at: now}, held
}

// Read takes in the row as read at now. A missing row has version 0.
func (e *Elector) Read(row Tenure, version uint64, now time.Duration) {
	if e.known && version == e.version {
		return
	}
	if version < e.version {
		return // an answer that was overtaken by a later one
	}
	e.known = true
	e.version = version
	e.row = row
	e.seen = now
	if row.Holder != e.Self {
		e.held = false
	}
}

// Next returns the write that is due at now, if any: a renewal by the holder, a
// takeover by another.
func (e *Elector) Next(now time.Duration) (Write, bool) {
	if e.leaving || !e.known || now < e.until {
		return Write{}, false
	}
	if e.held {
		if now-e.sent < e.Lease/renewals {
			return Write{}, false
		}
		return e.write(now, false), true
	}
	if !e.free(now) {
		return Write{}, false
	}
	return e.write(now, true), true
}

// free reports whether the tenure may be taken over. An instance that finds its
// own name in the row has restarted: the process that wrote it is no more, and
// the same host may go on at once.
func (e *Elector) free(now time.Duration) bool {
	if e.version == 0 || e.row.Holder == "" {
		return now-e.seen >= e.Late
	}
	if e.over() && now-e.endedAt >= e.Late {
		return true
	}
	return e.row.Holder == e.Self || now-e.seen >= e.Lease+e.Lease/guard+e.Late
}

func (e *Elector) write(now time.Duration, takeover bool) Write {
	w := Write{
		Version: e.version, Takeover: takeover, at: now,
		Row: Tenure{Holder: e.Self, Address: e.Address, Fence: e.row.Fence, Serial: e.row.Serial + 1},
	}
	if takeover {
		w.Row.Fence++
		// Kept even if the answer is lost: the write may have taken effect.
		e.from = max(e.from, e.start(w))
	}
	w.Row.Settled = now >= e.from
	return w
}

// Written takes in a write that took effect, and the version that it gave the
// row.
func (e *Elector) Written(w Write, version uint64, now time.Duration) {
	if version < e.version || e.leaving {
		return
	}
	e.version = version
	e.row = w.Row
	e.seen = now
	e.sent = w.at
	e.held = w.at >= e.yielded // the answer to a renewal may come after the tenure was given up
	e.known = true
}

// start returns from when on orders may be sent after a takeover: the holder
// before may have sent its last order when the renewal that was seen ran out. A
// process that restarted before the quiet time of its predecessor's takeover
// had passed waits for it anew.
func (e *Elector) start(w Write) time.Duration {
	switch {
	case w.Version == 0, e.row.Holder == e.Self && e.row.Settled:
		return w.at
	case e.row.Holder == e.Self, e.row.Holder == "":
		return e.seen + e.Quiet
	case e.over():
		return e.endedAt + e.Quiet
	default:
		return e.seen + e.Lease + e.Quiet
	}
}

// Lost takes in a write whose condition did not hold, or whose answer was lost:
// the row has to be read again.
func (e *Elector) Lost() {
	e.known = false
}

// Stale reports whether the row has to be read before Next can say more.
func (e *Elector) Stale() bool { return !e.known }
