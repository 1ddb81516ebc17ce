package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

const (
	playedPlays    = 200
	playedSteps    = 400
	playedSlots    = 4
	playedLoads    = 3
	playedLoadTime = 250 * time.Millisecond
)

// A runnerPlay plays random demand, uses, orders and reports of one runner.
type runnerPlay struct {
	t       *testing.T
	rng     *rand.Rand
	p       *placer.Placer
	now     time.Time
	readyAt map[placer.Copy]time.Time // copies at the runner
	inUse   map[placer.Copy]bool
	seq     uint64
	lost    bool // an order is unanswered
	orders  []string
}

func newRunnerPlay(t *testing.T, seed uint64) *runnerPlay {
	r := &runnerPlay{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start, readyAt: make(map[placer.Copy]time.Time), inUse: make(map[placer.Copy]bool)}
	r.p = &placer.Placer{Model: "m", AdapterSlots: playedSlots, LoadTime: playedLoadTime, ReloadTime: playedLoadTime / 10, MaxLoads: playedLoads}
	r.p.InUse = func(c placer.Copy) bool { return r.inUse[c] }
	r.p.Copies = func(c placer.Copy) int { return 1 + len(c.Adapter)%2 }
	return r
}

// draw returns one of 12 adapters in one of 2 versions.
func (r *runnerPlay) draw() placer.Copy {
	c := adapter(fmt.Sprint("a", r.rng.IntN(12)))
	c.Version += r.rng.IntN(8) / 7
	return c
}

// held returns the copies that requests may be sent to.
func (r *runnerPlay) held() []placer.Copy {
	var held []placer.Copy
	for c := range r.p.Held() {
		if c.Adapter != "" {
			held = append(held, c)
		}
	}
	slices.SortFunc(held, func(a, b placer.Copy) int { return strings.Compare(a.String(), b.String()) })
	return held
}

func (r *runnerPlay) report() {
	report := placer.Report{Models: []string{"m"}, Sequence: r.seq}
	for c, at := range r.readyAt {
		if r.now.Before(at) {
			report.Incoming = append(report.Incoming, c)
		} else {
			report.Resident = append(report.Resident, c)
		}
	}
	r.p.ApplyReport(report, r.now)
}

// use begins or ends the use of a copy that requests may be sent to.
func (r *runnerPlay) use() {
	for _, c := range r.held() {
		if r.rng.IntN(4) > 0 {
			continue
		}
		at, there := r.readyAt[c]
		switch {
		case r.inUse[c]:
			delete(r.inUse, c)
		case there && !r.now.Before(at):
			r.inUse[c] = true
			r.p.MarkAssigned(c, r.now)
			r.p.ObserveHit(c, 1+r.rng.IntN(3), r.now)
		case there:
			r.p.ObserveMiss(c, r.now)
		}
	}
}

// demand changes the demand; ahead also requests and withdraws copies ahead of demand.
func (r *runnerPlay) demand(ahead bool) {
	c := r.draw()
	switch n := r.rng.IntN(10); {
	case ahead && n < 4:
		r.p.RequestAhead(c, r.rng.Float64(), r.now)
	case ahead && n == 4:
		r.p.WithdrawAhead(c)
	case n < 7:
		r.p.SetDemand(c, placer.Waiting{Priority: r.rng.IntN(3), Requests: 1 + r.rng.IntN(3), InTime: r.rng.IntN(2)}, r.now)
	case n == 7:
		r.p.ClearDemand(c)
	default:
		r.p.Request(c, placer.Spare, r.now)
	}
}

// order lets the placer give an order and checks it.
func (r *runnerPlay) order() {
	o, ok := r.p.Next(r.now, placer.FetchLimit(r.rng.IntN(3)))
	if !ok {
		return
	}
	r.orders = append(r.orders, fmt.Sprint(r.now.Sub(start), o.Copy, o.Unload, o.Expected))
	outcome, carriedOut := placer.Accepted, true
	switch n := r.rng.IntN(12); {
	case o.Expected != r.seq:
		outcome, carriedOut = placer.Mismatch, false
	case n == 0:
		outcome, carriedOut = placer.Refused, false
	case n == 1 && !r.lost: // of several unanswered orders any one is repeated
		outcome, carriedOut, r.lost = placer.Lost, r.rng.IntN(2) == 0, true
	}
	if carriedOut {
		r.carryOut(o)
	}
	if outcome == placer.Accepted {
		r.lost = false
		if o.Unload {
			outcome = placer.Applied
		}
	}
	r.p.Finish(outcome, r.now)
}

func (r *runnerPlay) carryOut(o placer.Order) {
	r.seq++
	if o.Unload {
		if r.inUse[o.Copy] {
			r.t.Fatalf("%v is unloaded while in use", o.Copy)
		}
		delete(r.readyAt, o.Copy)
		return
	}
	if _, there := r.readyAt[o.Copy]; there {
		return
	}
	loads := 1
	for _, at := range r.readyAt {
		if r.now.Before(at) {
			loads++
		}
	}
	if len(r.readyAt) >= playedSlots || loads > playedLoads {
		r.t.Fatalf("%v is loaded beside %d copies, %d of them being loaded", o.Copy, len(r.readyAt), loads-1)
	}
	r.readyAt[o.Copy] = r.now.Add(playedLoadTime)
	if r.p.HeldBefore(o.Copy) {
		r.readyAt[o.Copy] = r.now.Add(playedLoadTime / 10)
	}
}

// run plays steps and returns the orders.
func (r *runnerPlay) run(ahead bool) []string {
	r.report()
	for range playedSteps {
		r.now = r.now.Add(time.Duration(r.rng.Int64N(int64(100 * time.Millisecond))))
		r.demand(ahead)
		r.use()
		if r.rng.IntN(10) == 0 || !r.p.Known() {
			r.report()
		}
		r.order()
	}
	return r.orders
}

// Guards against copies ahead of demand that change what a placer does although none is requested,
// as with load.ahead off.
func TestOrdersAreTheSameWhileNoCopyIsRequestedAhead(t *testing.T) {
	orders := 0
	for seed := range uint64(playedPlays) {
		without, with := newRunnerPlay(t, seed), newRunnerPlay(t, seed)
		with.p.MayEvict = func(victim, _ placer.Copy) bool {
			t.Fatalf("asked whether %v may be evicted", victim)
			return false
		}
		if diff := cmp.Diff(without.run(false), with.run(false)); diff != "" {
			t.Fatalf("seed %d: orders without and with MayEvict: %s", seed, diff)
		}
		orders += len(with.orders)
	}
	if orders < 50*playedPlays {
		t.Errorf("%d orders in %d plays are too few to compare", orders, playedPlays)
	}
}

// Guards against copies ahead of demand for which a copy in use is evicted, an adapter slot is
// missing, or more adapters are loaded at once than the runner allows: it crashes beyond them.
func TestCopiesAheadKeepTheLimitsOfTheRunner(t *testing.T) {
	orders := 0
	for seed := range uint64(playedPlays) {
		r := newRunnerPlay(t, seed)
		r.p.MayEvict = func(victim, _ placer.Copy) bool { return len(victim.Adapter)%2 == 0 }
		orders += len(r.run(true))
	}
	if orders < 50*playedPlays {
		t.Errorf("%d orders in %d plays are too few", orders, playedPlays)
	}
}
