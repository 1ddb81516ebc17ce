package leaser

import (
	_ "embed"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

//go:embed lease.yaml
var leaseYAML []byte

// Chart is the life cycle of a lease.
var Chart = interpreter.MustLoad(leaseYAML)

// The states and events of the lease chart.
const (
	stateHeld    = "held"
	stateLapsed  = "lapsed"
	stateLeaving = "leaving"
	stateLeft    = "left"
	stateOutside = "outside"

	eventExpire  = "expire"
	eventJoined  = "joined"
	eventLeave   = "leave"
	eventRemoved = "removed"
	eventRenewed = "renewed"
)

// renewalsPerLease is how often a lease is renewed within its duration, so that two
// lost renewals in a row do not end it.
const renewalsPerLease = 4

// driftDivisor sets how much longer than a holder trusts its lease an observer
// waits: the lease duration divided by driftDivisor. It allows for clocks whose
// rates differ by a tenth, far more than real clocks do.
const driftDivisor = 10

// epochShift is the position of the epoch in a fencing token. The lower bits count
// how often the legitimate owner had to exceed a token that the engine had
// already accepted.
const epochShift = 16

// A Holder is one instance's view of its failure domain's roster and of its own
// lease in it. Self and LeaseDuration are set before use.
type Holder struct {
	Self          Member
	LeaseDuration time.Duration

	adoptedEpochs map[string]uint64 // roster epoch by incarnation
	deadline      time.Time         // until which this instance's lease is trusted
	gainedEpochs  map[string]uint64 // epoch in which each owned runner was gained
	machine       *interpreter.Machine
	nextRenewal   time.Time
	ranking       ranking
	roster        Roster
	runners       []string
	observed      map[string]observation
	serial        uint64
}

// An observation is the last change observed in another member's lease row.
type observation struct {
	serial     uint64
	observedAt time.Time // when the serial was first observed
}

// MaySendOrders reports whether this instance may send orders to the runner as its owner,
// and returns the fencing token for them.
func (h *Holder) MaySendOrders(runner string, now time.Time) (uint64, bool) {
	epoch, owned := h.gainedEpochs[runner]
	if !owned || !h.Valid(now) || !h.adoptedByAll(epoch) {
		return 0, false
	}
	return epoch << epochShift, true
}

// ObserveAdopted records the roster epoch that a member reports to have adopted.
func (h *Holder) ObserveAdopted(incarnation string, epoch uint64) {
	h.init()
	h.adoptedEpochs[incarnation] = max(h.adoptedEpochs[incarnation], epoch)
}

// Epoch returns the roster epoch that this instance has adopted.
func (h *Holder) Epoch() uint64 { return h.roster.Epoch }

// Leave makes the next Tick propose a roster without this instance.
func (h *Holder) Leave() {
	h.init()
	_ = h.machine.Fire(eventLeave) // a second Leave has no effect
}

// Left reports whether this instance is off the roster for good.
func (h *Holder) Left() bool {
	h.init()
	return h.machine.State == stateLeft
}

// ObserveLeases records the domain's lease rows as read at now.
func (h *Holder) ObserveLeases(leases []Lease, now time.Time) {
	h.init()
	for _, l := range leases {
		h.ObserveAdopted(l.Incarnation, l.Epoch)
		previous, ok := h.observed[l.Incarnation]
		if !ok || previous.serial != l.Serial {
			h.observed[l.Incarnation] = observation{serial: l.Serial, observedAt: now}
		}
	}
}

// Owned returns the runners that the roster assigns to this instance, sorted,
// whether or not it may send orders to them yet.
func (h *Holder) Owned() []string {
	var owned []string
	for _, r := range h.runners {
		if _, ok := h.gainedEpochs[r]; ok {
			owned = append(owned, r)
		}
	}
	return owned
}

// Owner returns the member that owns the runner in the adopted roster.
func (h *Holder) Owner(runner string) (Member, bool) {
	return h.ranking.owner(runner)
}

// Owns reports whether the roster assigns the runner to this instance.
func (h *Holder) Owns(runner string) bool {
	_, ok := h.gainedEpochs[runner]
	return ok
}

// PreviousOwners returns the incarnations that may have used a runner before: every
// other member, and all departed ones not yet known to have terminated.
func (h *Holder) PreviousOwners() []string {
	var previous []string
	for _, m := range h.roster.Members {
		if m.Incarnation != h.Self.Incarnation {
			previous = append(previous, m.Incarnation)
		}
	}
	return append(previous, h.roster.Departed...)
}

// Removed records that a renewal failed because the lease row no longer exists:
// another member removed this instance from the roster.
func (h *Holder) Removed() {
	h.init()
	_ = h.machine.Fire(eventRemoved)
	h.deadline = time.Time{}
	h.gainedEpochs = make(map[string]uint64)
}

// Renewed records that the renewal sent at sentAt has taken effect. The lease
// duration is counted from the sending, because the row may have been written as
// early as that.
func (h *Holder) Renewed(sentAt time.Time) {
	_ = h.machine.Fire(eventRenewed) // a late response after removal has no effect
	if h.machine.State == stateHeld || h.machine.State == stateLeaving {
		h.deadline = sentAt.Add(h.LeaseDuration)
	}
}

// Roster returns the adopted roster.
func (h *Holder) Roster() Roster { return h.roster }

// AdoptRoster adopts a roster that was read from the table service or received from a
// peer. An older one has no effect.
func (h *Holder) AdoptRoster(r Roster, now time.Time) {
	h.init()
	if r.Epoch <= h.roster.Epoch {
		return
	}
	if r.Epoch != h.roster.Epoch+1 {
		h.gainedEpochs = make(map[string]uint64)
	}
	h.roster = r
	h.ranking = r.ranking()
	if _, on := r.Member(h.Self.Incarnation); !on {
		h.handleAbsence()
		return
	}
	if h.machine.State == stateOutside {
		_ = h.machine.Fire(eventJoined)
	}
	h.nextRenewal = now // report the adopted epoch to the others at once
	h.updateOwned()
}

// SetRunners sets the runners of the domain. They change with the settings.
func (h *Holder) SetRunners(runners []string) {
	h.init()
	h.runners = slices.Clone(runners)
	slices.Sort(h.runners)
	h.updateOwned()
}

// Tick returns the actions due at now. The conditions of their transactions decide
// whether they take effect; a proposal that lost a race has no effect.
func (h *Holder) Tick(now time.Time, gone func(incarnation string) bool) []Action {
	h.init()
	if h.machine.State == stateHeld && !now.Before(h.deadline) && !h.deadline.IsZero() {
		_ = h.machine.Fire(eventExpire)
	}
	switch h.machine.State {
	case stateOutside:
		return []Action{h.join()}
	case stateLeaving:
		return []Action{Propose{Roster: h.roster.Without(h.Self.ID), DeleteLeases: []Lease{{Incarnation: h.Self.Incarnation}}}}
	case stateLeft:
		return nil
	}
	var actions []Action
	if !now.Before(h.nextRenewal) {
		actions = append(actions, h.renew(now))
	}
	if propose, ok := h.proposeCleanup(now, gone); ok {
		actions = append(actions, propose)
	}
	return actions
}

// Valid reports whether this instance's lease can be trusted at now.
func (h *Holder) Valid(now time.Time) bool {
	return h.machine != nil && h.machine.State == stateHeld && now.Before(h.deadline)
}

// proposeCleanup proposes a roster without the members that stopped renewing and
// without the departed incarnations that have terminated. Only a member whose own
// lease is valid may propose: the observations of one that was paused are outdated.
func (h *Holder) proposeCleanup(now time.Time, gone func(string) bool) (Propose, bool) {
	if !h.Valid(now) {
		return Propose{}, false
	}
	expired := h.expired(now)
	var ids []string
	var deleteLeases []Lease
	for _, m := range expired {
		ids = append(ids, m.ID)
		deleteLeases = append(deleteLeases, Lease{Incarnation: m.Incarnation, Serial: h.observed[m.Incarnation].serial})
	}
	next := h.roster.Without(ids...)
	departed := len(next.Departed)
	next.Departed = slices.DeleteFunc(next.Departed, func(d string) bool {
		return slices.Contains(h.roster.Departed, d) && gone(d)
	})
	if len(ids) == 0 && (len(next.Departed) == departed || !h.isProposer(expired)) {
		return Propose{}, false
	}
	return Propose{Roster: next, DeleteLeases: deleteLeases}, true
}

// expired returns the members whose lease row has not changed for the lease
// duration and the drift allowance, by this instance's clock.
func (h *Holder) expired(now time.Time) []Member {
	var expired []Member
	for _, m := range h.roster.Members {
		if m.Incarnation == h.Self.Incarnation {
			continue
		}
		last, ok := h.observed[m.Incarnation]
		if !ok {
			h.observed[m.Incarnation] = observation{observedAt: now}
			continue
		}
		if now.Sub(last.observedAt) > h.LeaseDuration+h.LeaseDuration/driftDivisor {
			expired = append(expired, m)
		}
	}
	return expired
}

// isProposer reports whether this instance is the first member whose lease has not
// expired. One proposer suffices for what is not urgent.
func (h *Holder) isProposer(expired []Member) bool {
	for _, m := range h.roster.Members {
		if !slices.Contains(expired, m) {
			return m == h.Self
		}
	}
	return false
}

func (h *Holder) init() {
	if h.machine != nil {
		return
	}
	h.machine = Chart.Machine()
	h.adoptedEpochs = make(map[string]uint64)
	h.gainedEpochs = make(map[string]uint64)
	h.observed = make(map[string]observation)
}

func (h *Holder) join() Action {
	h.serial++
	next := h.roster.With(h.Self)
	lease := &Lease{Incarnation: h.Self.Incarnation, Serial: h.serial, Epoch: next.Epoch}
	return Propose{Roster: next, Lease: lease}
}

// updateOwned recomputes which runners are owned and since which epoch. A runner
// that is owned from one epoch to the next keeps the epoch of its gain. After a
// skipped epoch none is kept: another member may have owned the runner in between,
// and this instance's adoption of the later epoch allows that member to send orders.
func (h *Holder) updateOwned() {
	gained := make(map[string]uint64, len(h.gainedEpochs))
	for _, runner := range h.runners {
		owner, ok := h.ranking.owner(runner)
		if !ok || owner.Incarnation != h.Self.Incarnation {
			continue
		}
		gained[runner] = h.roster.Epoch
		if epoch, kept := h.gainedEpochs[runner]; kept {
			gained[runner] = epoch
		}
	}
	h.gainedEpochs = gained
}

func (h *Holder) renew(now time.Time) Action {
	h.serial++
	h.nextRenewal = now.Add(h.LeaseDuration / renewalsPerLease)
	return Renew{Lease: Lease{Incarnation: h.Self.Incarnation, Serial: h.serial, Epoch: h.roster.Epoch}}
}

// handleAbsence handles a roster without this instance: before it has joined, after
// it was removed, or after it has left.
func (h *Holder) handleAbsence() {
	if h.machine.State != stateOutside {
		h.Removed()
	}
}

// adoptedByAll reports whether every other member has adopted the epoch, and so has
// released the runners that it owned before.
func (h *Holder) adoptedByAll(epoch uint64) bool {
	for _, m := range h.roster.Members {
		if m.Incarnation != h.Self.Incarnation && h.adoptedEpochs[m.Incarnation] < epoch {
			return false
		}
	}
	return true
}
