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

// A Lease is the lease row of a failure domain.
type Lease struct {
	Leader  string `cbor:"1,keyasint"`           // ID of the leader; empty if the lease was released
	Address string `cbor:"2,keyasint"`           // of the leader, for its peers
	Fence   uint64 `cbor:"3,keyasint"`           // fencing token; increases with each takeover
	Serial  uint64 `cbor:"4,keyasint"`           // increases with each write
	Settled bool   `cbor:"5,keyasint"`           // the quiet period after the takeover had passed
	Era     uint64 `cbor:"6,keyasint,omitempty"` // of the table service when the row was written, as far as known
}

// An Elector is one instance's view of the lease of one failure domain. Its
// exported fields are set before use; it is not safe for concurrent use. Times
// are readings of a clock that includes the time while the host is suspended;
// only their differences matter.
type Elector struct {
	Self          string
	Address       string
	LeaseDuration time.Duration // for which a renewal is trusted
	QuietPeriod   time.Duration // minimum time between the orders of two leaders
	TakeoverDelay time.Duration // additional delay before a takeover; 0 for the instances of the domain itself

	// EraOf returns the era of the table service to which a version belongs: a later one begins
	// when it returns from an older copy. Versions of a later era are greater. Nil: there is one
	// era only.
	EraOf func(version uint64) uint64

	version           uint64        // of the row as last observed or written; 0 for a missing row
	position          uint64        // version, or that at which the era starts, for a missing row
	era               uint64        // latest era of the table service observed
	eraSince          time.Duration // when it was first observed
	renewedEra        uint64        // era of the last successful write
	row               Lease
	highestFence      uint64        // highest fencing token ever observed or written
	observedAt        time.Duration // when version was first observed
	renewedAt         time.Duration // when the last successful renewal was sent; valid while leader
	acquired          bool          // acquired the lease and has not lost or released it; it may have expired
	ordersFrom        time.Duration // before which no orders may be sent
	rowKnown          bool          // the row was observed, and no WriteFailed or StepDown happened since
	leaving           bool          // the instance is stopping
	steppedDownAt     time.Duration // by StepDown
	idleUntil         time.Duration // before which this instance does not take the lease over again
	releasedFence     uint64        // fencing token of a lease whose leader reported that it stepped down
	releaseReportedAt time.Duration // when that report arrived
}

// A Write is a conditional write of the lease row: it takes effect only if the
// row still has Version.
type Write struct {
	Version  uint64
	Row      Lease
	Takeover bool
	Announce bool // tell all instances of the leader: after a takeover, and once in each later era
	sentAt   time.Duration
}

// renewalsPerLease is how often the lease is renewed within its duration, so that
// two lost renewals in a row do not end it.
const renewalsPerLease = 4

// driftDivisor sets how much longer than the leader trusts its lease an observer
// waits: the lease duration divided by driftDivisor. It allows for clocks whose rates
// differ by a tenth, far more than real clocks do.
const driftDivisor = 10

// MaySendOrders reports whether orders may be sent at now, and returns the fencing token
// for them.
func (e *Elector) MaySendOrders(now time.Duration) (uint64, bool) {
	return e.row.Fence, e.IsLeader(now) && now >= e.ordersFrom
}

// IsLeader reports whether this instance is the leader at now.
func (e *Elector) IsLeader(now time.Duration) bool {
	return e.acquired && now-e.renewedAt < e.LeaseDuration
}

// Row returns the lease row as last observed.
func (e *Elector) Row() Lease { return e.row }

// Renewal returns the row version of the last renewal and the time since it was
// sent; for the row of another leader, the minimum of that time.
func (e *Elector) Renewal(now time.Duration) (version uint64, age time.Duration) {
	if !e.acquired {
		return e.version, now - e.observedAt
	}
	return e.version, now - e.renewedAt
}

// ObserveRemote records the row that its leader published, with the version and the age
// of its last renewal, so that other instances know when the lease expires without
// reading the row. The network delay makes the renewal appear younger than it is,
// never older. A leader that learns of a higher fencing token than its own stops: the other
// instances do not follow it anymore.
func (e *Elector) ObserveRemote(row Lease, version uint64, age, now time.Duration) {
	if e.acquired && row.Fence > e.row.Fence {
		e.acquired, e.rowKnown = false, false
	}
	e.highestFence = max(e.highestFence, row.Fence)
	if e.acquired || version <= e.version || e.eraOf(version) < e.era {
		return
	}
	e.enterEra(e.eraOf(version), now)
	e.rowKnown = true
	e.setRow(row)
	e.version, e.position = version, version
	e.observedAt = now - age
}

// setRow sets the row as last observed or written.
func (e *Elector) setRow(row Lease) {
	e.row = row
	e.highestFence = max(e.highestFence, row.Fence)
}

// outdated reports whether the row may be older than one that the table service has lost, as it
// has returned from an older copy since the row was written. A row that is missing in a later era
// may have been lost.
func (e *Elector) outdated() bool {
	return e.row.Fence < e.highestFence || e.row.Era != e.era
}

// eraOf returns the era of a version.
func (e *Elector) eraOf(version uint64) uint64 {
	if e.EraOf == nil {
		return 0
	}
	return e.EraOf(version)
}

// enterEra records an era of the table service that was observed at now.
func (e *Elector) enterEra(era uint64, now time.Duration) {
	if era > e.era {
		e.era, e.eraSince = era, now
	}
}

// Leave steps down for good: no more orders are sent. If this instance was the
// leader, the returned write releases the lease, so that the next leader waits
// only for the quiet period and not for the lease to expire.
func (e *Elector) Leave(now time.Duration) (w Write, wasLeader bool) {
	e.leaving = true
	return e.release(now)
}

// StepDown steps down in favor of another instance: no more orders are sent, and the
// lease is not taken over again until idle has passed. If this instance was the
// leader, the returned write releases the lease.
func (e *Elector) StepDown(now, idle time.Duration) (w Write, wasLeader bool) {
	e.steppedDownAt, e.idleUntil = now, now+idle
	w, wasLeader = e.release(now)
	e.rowKnown = false
	return w, wasLeader
}

// ObserveStepDown records that the leader with a fencing token has stepped down: it sends no
// more orders, whatever the row says. A leader that cannot reach the table service
// cannot release the lease, but it may reach instances that can take it over.
func (e *Elector) ObserveStepDown(fence uint64, now time.Duration) {
	if !e.acquired && fence > e.releasedFence {
		e.releasedFence, e.releaseReportedAt = fence, now
	}
}

// leaderSteppedDown reports whether the leader named in the row is known to have stepped down.
func (e *Elector) leaderSteppedDown() bool {
	return e.releasedFence > 0 && e.row.Fence == e.releasedFence
}

func (e *Elector) release(now time.Duration) (w Write, wasLeader bool) {
	wasLeader = e.IsLeader(now)
	e.acquired = false
	row := e.row
	row.Leader, row.Address = "", ""
	row.Serial++
	return Write{Version: e.version, Row: row, sentAt: now}, wasLeader
}

// ObserveMissing records that there was no row when the table service was read at now, in the era
// that starts after version eraStart.
func (e *Elector) ObserveMissing(eraStart uint64, now time.Duration) {
	e.observe(Lease{}, 0, eraStart, now)
}

// ObserveRow records the row as read at now. A missing row has version 0, and is one that was
// never written: ObserveMissing tells it from one that may have been lost.
func (e *Elector) ObserveRow(row Lease, version uint64, now time.Duration) {
	e.observe(row, version, version, now)
}

// observe records the row with its version, or a missing one with version 0 and the start of the
// era as its position.
func (e *Elector) observe(row Lease, version, position uint64, now time.Duration) {
	era := e.eraOf(position)
	if e.rowKnown && version == e.version && era == e.era {
		return
	}
	if era < e.era || version < e.version && version > 0 { // a row may be missing in an older copy
		return // a response that arrived after that of a later call
	}
	e.enterEra(era, now)
	e.rowKnown = true
	e.version, e.position = version, position
	if era > e.renewedEra+1 {
		e.acquired = false // a takeover in the era between, by an instance that waits no longer, may be lost
	}
	if e.IsLeader(now) && row.Fence < e.row.Fence && row.Era != era {
		return // an earlier row, or none, is back in an older copy; the next renewal replaces it
	}
	e.setRow(row)
	e.observedAt = now
	if row.Leader != e.Self {
		e.acquired = false
	}
}

// Next returns the write that is due at now, if any: a renewal if this instance is
// the leader, else a takeover.
func (e *Elector) Next(now time.Duration) (Write, bool) {
	if e.leaving || !e.rowKnown || now < e.idleUntil {
		return Write{}, false
	}
	if e.outdated() && !e.IsLeader(now) {
		e.acquired = false // a takeover after the end of this lease may be lost
	}
	if e.acquired {
		if now-e.renewedAt < e.LeaseDuration/renewalsPerLease {
			return Write{}, false
		}
		return e.newWrite(now, false), true
	}
	if !e.available(now) {
		return Write{}, false
	}
	return e.newWrite(now, true), true
}

// available reports whether the lease may be taken over. An instance that finds its
// own ID in the row has restarted: the process that wrote the row has terminated, so
// the lease may be taken over at once.
func (e *Elector) available(now time.Duration) bool {
	if e.version == 0 || e.row.Leader == "" {
		return now-e.observedAt >= e.TakeoverDelay+e.renewalGrace()
	}
	if e.leaderSteppedDown() && now-e.releaseReportedAt >= e.TakeoverDelay {
		return true
	}
	if e.row.Leader == e.Self {
		return now-e.observedAt >= e.renewalGrace()
	}
	return now-e.observedAt >= e.LeaseDuration+e.LeaseDuration/driftDivisor+e.TakeoverDelay
}

// renewalGrace is how long an outdated row is left to a leader that it does not name. Such a leader
// renews its lease in that time, and the domain goes on without a change of the leader.
func (e *Elector) renewalGrace() time.Duration {
	if !e.outdated() {
		return 0
	}
	return 2 * e.LeaseDuration / renewalsPerLease
}

// nextFence returns the fencing token of a takeover. After a return from a copy, the highest token that
// is known here may be lower than one that was given and lost. So the token is greater than the
// version that the takeover replaces, and never greater than the one that it produces: as versions
// rise, in later eras too, tokens do, whatever was lost. Only the tokens of the first era count
// takeovers.
func (e *Elector) nextFence() uint64 {
	if e.era == 0 {
		return e.highestFence + 1
	}
	return max(e.highestFence, e.position) + 1
}

func (e *Elector) newWrite(now time.Duration, takeover bool) Write {
	w := Write{
		Version: e.version, Takeover: takeover, Announce: takeover || e.row.Era != e.era, sentAt: now,
		Row: Lease{Leader: e.Self, Address: e.Address, Fence: e.row.Fence, Serial: e.row.Serial + 1, Era: e.era},
	}
	if takeover {
		w.Row.Fence = e.nextFence()
		// Set before the result is known: the write may take effect even if its response is lost.
		e.ordersFrom = max(e.ordersFrom, e.firstOrderAt(w))
	}
	w.Row.Settled = now >= e.ordersFrom
	return w
}

// WriteSucceeded records that a write took effect, and the row version that it produced. It reports
// whether the write counts: one that took effect in a later era does not, as its fencing token
// and the time of its first order are those of an earlier one. The row has to be read again then.
func (e *Elector) WriteSucceeded(w Write, version uint64, now time.Duration) bool {
	if e.eraOf(version) != w.Row.Era {
		e.rowKnown = false
		return false
	}
	if version < e.version || e.leaving {
		return false
	}
	e.version, e.position = version, version
	e.renewedEra = w.Row.Era
	e.setRow(w.Row)
	e.observedAt = now
	e.renewedAt = w.sentAt
	e.acquired = w.sentAt >= e.steppedDownAt // the response to a renewal may arrive after stepping down
	e.rowKnown = true
	return true
}

// firstOrderAt returns when orders may first be sent after a takeover: after the last order of
// the leader that the row names, and of one that it does not name, as the row was lost.
func (e *Elector) firstOrderAt(w Write) time.Duration {
	at := e.namedLeaderDoneAt(w)
	wait := e.LeaseDuration + e.QuietPeriod
	if e.outdated() {
		at = max(at, e.observedAt+wait)
	}
	if e.era > 0 && (e.outdated() || !e.row.Settled) {
		// A leader that the row does not name renewed its lease before this era. Whoever took
		// the lease over in this era may have ended before that lease did.
		at = max(at, e.eraSince+wait)
	}
	return at
}

// namedLeaderDoneAt returns when the orders of the leader that the row names are over, with the quiet
// period: it may have sent the last one when the last observed renewal expired. A process that
// restarted before the quiet period of its own earlier takeover had passed waits for a full quiet
// period again.
func (e *Elector) namedLeaderDoneAt(w Write) time.Duration {
	switch {
	case w.Version == 0, e.row.Leader == e.Self && e.row.Settled:
		return w.sentAt
	case e.row.Leader == e.Self, e.row.Leader == "":
		return e.observedAt + e.QuietPeriod
	case e.leaderSteppedDown():
		return e.releaseReportedAt + e.QuietPeriod
	default:
		return e.observedAt + e.LeaseDuration + e.QuietPeriod
	}
}

// WriteFailed records that the condition of a write did not hold or that its response was
// lost: the row has to be read again.
func (e *Elector) WriteFailed() {
	e.rowKnown = false
}

// NeedsRead reports whether the row has to be read before Next returns a write.
func (e *Elector) NeedsRead() bool { return !e.rowKnown }
