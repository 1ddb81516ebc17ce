// Package elector elects the leader of a failure domain, the one instance that
// sends orders to its runners.
//
// Runners may not check the sender of an order, so two instances that both
// consider themselves the leader would evict each other's adapters. One row in
// the table service holds the lease of a domain. The leader renews the lease and
// trusts each renewal for the lease duration, counted from before the renewal was
// sent, on a clock that keeps running while the process or its host is paused.
// Another instance that has observed no new renewal for longer than that takes
// the lease over by a conditional write, and then sends no orders until the last
// order of the previous leader must have arrived.
package elector

import "time"

// A Tenure is the lease row of a failure domain.
type Tenure struct {
	Holder  string `cbor:"1,keyasint"` // ID of the leader; empty if the lease was released
	Address string `cbor:"2,keyasint"` // of the leader, for its peers
	Fence   uint64 `cbor:"3,keyasint"` // fencing token; increases with each takeover
	Serial  uint64 `cbor:"4,keyasint"` // increases with each write
	Settled bool   `cbor:"5,keyasint"` // the quiet period after the takeover had passed
}

// An Elector is one instance's view of the lease of one failure domain. Its
// exported fields are set before use; it is not safe for concurrent use. Times
// are readings of a clock that includes the time while the host is suspended;
// only their differences matter.
type Elector struct {
	Self    string
	Address string
	Lease   time.Duration // for which a renewal is trusted
	Quiet   time.Duration // quiet period: minimum time between the orders of two leaders
	Late    time.Duration // additional delay before a takeover; 0 for the instances of the domain itself

	version uint64 // of the row as last observed or written
	row     Tenure
	seen    time.Duration // when version was first observed
	sent    time.Duration // when the last successful renewal was sent; valid while leader
	held    bool          // acquired the lease and has not lost or released it; it may have expired
	from    time.Duration // before which no orders may be sent
	known   bool          // the row was observed, and no write failed and no Yield happened since
	leaving bool          // the instance is stopping
	yielded time.Duration // when this instance stepped down in favor of another one
	until   time.Duration // before which it does not take the lease over again
	ended   uint64        // fencing token of a lease whose leader reported that it stepped down
	endedAt time.Duration // when that report arrived
}

// A Write is a conditional write of the lease row: it takes effect only if the
// row still has Version.
type Write struct {
	Version  uint64
	Row      Tenure
	Takeover bool
	at       time.Duration // when the write was sent
}

// renewals is how often the lease is renewed within its duration, so that two
// lost renewals in a row do not end it.
const renewals = 4

// guard sets how much longer than the leader trusts its lease an observer waits:
// the lease duration divided by guard. It allows for clocks whose rates differ by
// a tenth, far more than real clocks do.
const guard = 10

// Acts reports whether orders may be sent at now, and returns the fencing token
// for them.
func (e *Elector) Acts(now time.Duration) (uint64, bool) {
	return e.row.Fence, e.Holds(now) && now >= e.from
}

// Holds reports whether this instance is the leader at now.
func (e *Elector) Holds(now time.Duration) bool {
	return e.held && now-e.sent < e.Lease
}

// Holder returns the lease row as last observed.
func (e *Elector) Holder() Tenure { return e.row }

// Renewal returns the row version of the last renewal and the time since it was
// sent; for the row of another leader, the minimum of that time.
func (e *Elector) Renewal(now time.Duration) (version uint64, age time.Duration) {
	if !e.held {
		return e.version, now - e.seen
	}
	return e.version, now - e.sent
}

// Heard records the row that its leader published, with the version and the age
// of its last renewal, so that other instances know when the lease expires without
// reading the row. The network delay makes the renewal appear younger than it is,
// never older.
func (e *Elector) Heard(row Tenure, version uint64, age, now time.Duration) {
	if e.held || version <= e.version {
		return
	}
	e.known = true
	e.row = row
	e.version = version
	e.seen = now - age
}

// Leave steps down for good: no more orders are sent. If this instance was the
// leader, the returned write releases the lease, so that the next leader waits
// only for the quiet period and not for the lease to expire.
func (e *Elector) Leave(now time.Duration) (w Write, held bool) {
	e.leaving = true
	return e.release(now)
}

// Yield steps down in favor of another instance: no more orders are sent, and the
// lease is not taken over again before away has passed. If this instance was the
// leader, the returned write releases the lease.
func (e *Elector) Yield(now, away time.Duration) (w Write, held bool) {
	e.yielded, e.until = now, now+away
	w, held = e.release(now)
	e.known = false
	return w, held
}

// Ended records that the leader with a fencing token has stepped down: it sends no
// more orders, whatever the row says. A leader that cannot reach the table service
// cannot release the lease, but it may reach instances that can take it over.
func (e *Elector) Ended(fence uint64, now time.Duration) {
	if !e.held && fence > e.ended {
		e.ended, e.endedAt = fence, now
	}
}

// over reports whether the leader named in the row is known to have stepped down.
func (e *Elector) over() bool { return e.ended > 0 && e.row.Fence == e.ended }

func (e *Elector) release(now time.Duration) (w Write, held bool) {
	held = e.Holds(now)
	e.held = false
	row := e.row
	row.Holder, row.Address = "", ""
	row.Serial++
	return Write{Version: e.version, Row: row, at: now}, held
}

// Read records the row as read at now. A missing row has version 0.
func (e *Elector) Read(row Tenure, version uint64, now time.Duration) {
	if e.known && version == e.version {
		return
	}
	if version < e.version {
		return // a response that arrived after that of a later call
	}
	e.known = true
	e.version = version
	e.row = row
	e.seen = now
	if row.Holder != e.Self {
		e.held = false
	}
}

// Next returns the write that is due at now, if any: a renewal if this instance is
// the leader, else a takeover.
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

// free reports whether the lease may be taken over. An instance that finds its own
// ID in the row has restarted: the process that wrote the row has terminated, so
// the lease may be taken over at once.
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
		// Set before the result is known: the write may take effect even if its response is lost.
		e.from = max(e.from, e.start(w))
	}
	w.Row.Settled = now >= e.from
	return w
}

// Written records that a write took effect, and the row version that it produced.
func (e *Elector) Written(w Write, version uint64, now time.Duration) {
	if version < e.version || e.leaving {
		return
	}
	e.version = version
	e.row = w.Row
	e.seen = now
	e.sent = w.at
	e.held = w.at >= e.yielded // the response to a renewal may arrive after stepping down
	e.known = true
}

// start returns when orders may first be sent after a takeover: the previous
// leader may have sent its last order when the last observed renewal expired. A
// process that restarted before the quiet period of its own earlier takeover had
// passed waits for a full quiet period again.
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

// Lost records that the condition of a write did not hold or that its response was
// lost: the row has to be read again.
func (e *Elector) Lost() {
	e.known = false
}

// Stale reports whether the row has to be read before Next returns a write.
func (e *Elector) Stale() bool { return !e.known }
