package forecaster

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
)

// A Forecaster forecasts the demand for the adapters of one failure domain. It is not safe for
// concurrent use; its zero value is ready to use.
type Forecaster struct {
	adapters map[placer.Copy]*adapter
	order    []*adapter
	hand     int // position in order from which an adapter to forget is searched
	budget   budget
	load     load
}

// A Forecast is what is known of the demand for one adapter.
type Forecast struct {
	Copy      placer.Copy
	Expected  float64 // requests expected to be in progress when a copy that is requested now can be used
	Held      int     // copies held, being loaded or requested
	Needed    int     // copies needed
	Rate      float64 // arrivals per second
	Requested int     // copies to request now
}

// Requests are the requests for a copy at all runners of the domain.
type Requests struct {
	Running int // use a copy
	Waiting int // wait for a copy
	Held    int // copies held, being loaded or requested
	Ready   int // copies that can be used
}

const (
	// maxAhead is the largest number of copies of one adapter that one step requests. With 4, an
	// adapter that needs 8 copies has them requested in two steps, while the runners of the
	// first 4 are still known to be the ones with the least load.
	maxAhead = 4
	// maxTracked bounds the tracked adapters; a domain with 140 requests a second has at most 700
	// in idleTime.
	maxTracked = 1024
	// idleTime is the time since its last request after which an adapter is forgotten.
	idleTime = 5 * time.Second
	// searched is how many adapters are compared to find one to forget while the maximum is
	// tracked.
	searched = 8
	// keepFactor is how much more requests a further copy must be expected to serve than the
	// copy that is evicted for it. It keeps two adapters that are popular in turn from
	// replacing each other: the rate by which a copy is kept is then half of that of the other
	// adapter, so 2 would be the limit without the noise of the rates.
	keepFactor = 4
)

// Arrive records that a request for a copy has arrived.
func (f *Forecaster) Arrive(c placer.Copy, now time.Time) {
	a := f.adapter(c, now)
	f.load.arrive(now)
	if a.counted > 0 { // it was counted when it waited
		a.counted--
		return
	}
	a.arrive(1, now)
}

// Budget returns how many copies may be requested now for a number of runners.
func (f *Forecaster) Budget(runners int, now time.Time) int { return f.budget.left(runners, now) }

// Copies calls do for each tracked copy. do may call Succeed for the copy.
func (f *Forecaster) Copies(do func(placer.Copy)) {
	for n := len(f.order) - 1; n >= 0; n-- {
		if n < len(f.order) {
			do(f.order[n].copy)
		}
	}
}

// MayEvict reports whether a copy may be evicted for one that is loaded ahead of demand: it
// serves far fewer requests than that one is expected to serve. copies is the number of copies
// like the victim in the domain.
func (f *Forecaster) MayEvict(victim placer.Copy, copies int, ahead placer.Copy, now time.Time) bool {
	wanted, ok := f.adapters[ahead]
	if !ok {
		return false
	}
	kept, ok := f.adapters[victim]
	if !ok {
		return true
	}
	kept.rate.decay(now)
	return wanted.rateAt(0, now)/float64(max(1, wanted.planned)) > keepFactor*kept.rate.steady/float64(max(1, copies))
}

// Needed returns how many copies of an adapter are needed.
func (f *Forecaster) Needed(c placer.Copy, capacity Capacity, now time.Time) int {
	if a, ok := f.adapters[c]; ok {
		return a.needed(f.load.atLeast(capacity, now), now)
	}
	return 0
}

// Observe replaces the requests in progress and waiting at all runners of the domain, and forgets
// idle adapters.
func (f *Forecaster) Observe(requests map[placer.Copy]Requests, now time.Time) {
	for c, r := range requests {
		if r.Waiting > 0 {
			f.adapter(c, now).countWaiting(r, now)
		}
	}
	inProgress := 0
	for n := len(f.order) - 1; n >= 0; n-- {
		a := f.order[n]
		r := requests[a.copy]
		a.inProgress, a.waiting = r.Running+r.Waiting, r.Waiting
		inProgress += r.Running
		if r.Ready > 0 && r.Waiting == 0 || a.inProgress == 0 {
			a.counted = 0 // the requests that waited have reserved capacity or ended
		}
		if a.inProgress == 0 && now.Sub(a.lastArrival) > idleTime {
			f.forget(a)
		}
	}
	f.load.observe(inProgress, now)
}

// Plan returns the forecasts of the adapters that need further copies, those first whose copies
// have the most requests each. The copies that it requests count against the budget until
// Withdraw is called for them.
func (f *Forecaster) Plan(requests map[placer.Copy]Requests, capacities map[string]Capacity, now time.Time) []Forecast {
	var plan []Forecast
	runners := 0
	for _, capacity := range capacities {
		runners += capacity.Runners
	}
	for _, a := range f.order {
		capacity, ok := capacities[a.copy.Model]
		if !ok {
			continue
		}
		capacity = f.load.atLeast(capacity, now)
		held := requests[a.copy].Held
		needed := a.plan(capacity, held, now)
		if held >= needed {
			continue
		}
		plan = append(plan, Forecast{Copy: a.copy, Expected: a.expected(capacity, now), Held: held, Needed: needed, Rate: a.rateAt(0, now)})
	}
	slices.SortFunc(plan, func(a, b Forecast) int {
		if order := cmp.Compare(b.Expected/float64(b.Held+1), a.Expected/float64(a.Held+1)); order != 0 {
			return order
		}
		return cmp.Compare(a.Copy.String(), b.Copy.String()) // allocates
	})
	for n := range plan {
		plan[n].Requested = min(maxAhead, plan[n].Needed-plan[n].Held, f.budget.left(runners, now))
		f.budget.spend(plan[n].Requested)
	}
	return plan
}

// Rate returns the current arrivals per second of a copy.
func (f *Forecaster) Rate(c placer.Copy, now time.Time) float64 {
	if a, ok := f.adapters[c]; ok {
		return a.rateAt(0, now)
	}
	return 0
}

// Succeed records that a version of an adapter is replaced by another one, which inherits its
// demand.
func (f *Forecaster) Succeed(old, successor placer.Copy, now time.Time) {
	previous, ok := f.adapters[old]
	if !ok || old == successor {
		return
	}
	f.forget(previous)
	a := f.adapter(successor, now)
	a.rate.merge(previous.rate, now)
	a.successorUntil = previous.lastArrival.Add(successorTime)
	a.intervals = max(a.intervals, previous.intervals)
	if previous.lastArrival.After(a.lastArrival) {
		a.lastArrival, a.interval = previous.lastArrival, previous.interval
	}
}

// Tracked returns the number of tracked adapters.
func (f *Forecaster) Tracked() int { return len(f.order) }

// Withdraw returns n requested copies to the budget that were not loaded.
func (f *Forecaster) Withdraw(n int) { f.budget.spend(-n) }

// countWaiting counts the requests that wait while no copy can be used as arrivals: they reserve
// capacity only when one can. Once there is one, reports of requests that wait are late and would
// count them a second time.
func (a *adapter) countWaiting(r Requests, now time.Time) {
	if more := r.Waiting - a.counted; r.Ready == 0 && more > 0 {
		a.counted = r.Waiting
		a.arrive(more, now)
	}
}

// adapter returns the demand for a copy. While the maximum is tracked, it forgets the one with the
// fewest requests of a few.
func (f *Forecaster) adapter(c placer.Copy, now time.Time) *adapter {
	if a, ok := f.adapters[c]; ok {
		return a
	}
	if f.adapters == nil {
		f.adapters = make(map[placer.Copy]*adapter)
	}
	if len(f.order) >= maxTracked {
		f.forgetOne(now)
	}
	a := &adapter{copy: c, index: len(f.order), rate: rate{at: now}}
	f.adapters[c] = a
	f.order = append(f.order, a)
	return a
}

// forget stops tracking an adapter.
func (f *Forecaster) forget(a *adapter) {
	delete(f.adapters, a.copy)
	last := f.order[len(f.order)-1]
	f.order[a.index], last.index = last, a.index
	f.order[len(f.order)-1] = nil
	f.order = f.order[:len(f.order)-1]
}

func (f *Forecaster) forgetOne(now time.Time) {
	var least *adapter
	for range searched {
		f.hand = (f.hand + 1) % len(f.order)
		a := f.order[f.hand]
		a.rate.decay(now)
		if least == nil || a.rate.steady < least.rate.steady {
			least = a
		}
	}
	f.forget(least)
}
