package limiter_test

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

const urgencies = 3

// An urgentStrategy is a ledgerStrategy whose requests have an urgency, and that admits them by it
// where byUrgency is set.
type urgentStrategy struct {
	*ledgerStrategy

	byUrgency bool
	mix       [urgencies]float64 // fractions of the requests
	requested [urgencies]int64   // tokens
	admitted  [urgencies]int64
}

func newUrgentStrategy(byUrgency bool, mix [urgencies]float64) func(sim *simulation) strategy {
	return func(sim *simulation) strategy {
		st := &urgentStrategy{ledgerStrategy: newLedgerStrategy(sim).(*ledgerStrategy), byUrgency: byUrgency, mix: mix}
		for _, s := range st.spenders {
			s.ByUrgency = byUrgency
		}
		return st
	}
}

func (st *urgentStrategy) admit(i *instance, tokens int64) bool {
	u := st.urgency()
	_, admitted := st.decide(i, limiter.Request{Account: "a", Limit: st.sim.limit, Tokens: tokens, Urgency: u}).(limiter.Admitted)
	st.requested[u] += tokens
	if admitted {
		st.admitted[u] += tokens
	}
	return admitted
}

func (st *urgentStrategy) decide(i *instance, r limiter.Request) limiter.Decision {
	decision := st.spenders[i.number].Spend(r, st.sim.now)
	if _, asks := decision.(limiter.AskLedger); asks {
		return st.ask(i, r)
	}
	return decision
}

func (st *urgentStrategy) restart(i *instance) {
	st.ledgerStrategy.restart(i)
	st.spenders[i.number].ByUrgency = st.byUrgency
}

// urgency draws the urgency of a request.
func (st *urgentStrategy) urgency() int {
	drawn := st.sim.rng.Float64()
	for u, fraction := range st.mix {
		if drawn -= fraction; drawn < 0 {
			return u
		}
	}
	return urgencies - 1
}

// traffic sends the requests of several accounts whose callers return once after a refusal, if
// they can wait until then. It serves the load tests.
type traffic struct {
	sim      *simulation
	strategy *urgentStrategy
	pending  []attempt                       // second attempts
	stats    map[string]*[urgencies]outcomes // by account
}

// An attempt is a request that is to be decided on.
type attempt struct {
	at       time.Time
	instance *instance
	request  limiter.Request
	returned bool // its caller was told to return; otherwise it waits at the instance
}

// outcomes counts the requests of one account and urgency.
type outcomes struct {
	requests int // first attempts
	first    int // admitted at once, or after a wait at the instance
	refused  int // first attempts
	told     int // could not wait as long as they were told
	again    int // returned and admitted
	vain     int // returned and refused
	arrivals map[int64]int // returns by 200 ms since the start of the simulation
	longest  time.Duration // longest Retry-After
	waits    []refusal
	tokens, served int64
	when []time.Duration
}

type refusal struct {
	at         time.Time
	retryAfter time.Duration
}

// inPlaceLimit is how long an instance lets a request wait for tokens.
const inPlaceLimit = 250 * time.Millisecond

// deadlines are those of the callers.
var deadlines = []time.Duration{12 * time.Second, 20 * time.Second, 3 * time.Second, 1500 * time.Millisecond}

// hotLimit is the quota of an account that was seen at 3.5 times its rate.
var hotLimit = limiter.Limit{Rate: 374249, Burst: 374249}

func newTraffic(seed uint64, instances int, limit limiter.Limit, byUrgency bool, mix [urgencies]float64) *traffic {
	sim := newSimulation(seed, instances, limit, newUrgentStrategy(byUrgency, mix))
	return &traffic{sim: sim, strategy: sim.strategy.(*urgentStrategy), stats: make(map[string]*[urgencies]outcomes)}
}

// reset forgets the outcomes so far.
func (t *traffic) reset() { t.stats = make(map[string]*[urgencies]outcomes) }

func (t *traffic) of(r limiter.Request) *outcomes {
	stats, ok := t.stats[r.Account]
	if !ok {
		stats = &[urgencies]outcomes{}
		for u := range stats {
			stats[u].arrivals = make(map[int64]int)
		}
		t.stats[r.Account] = stats
	}
	return &stats[r.Urgency]
}

// sum returns the outcomes of an account over all urgencies.
func (t *traffic) sum(account string) (all outcomes) {
	all.arrivals = make(map[int64]int)
	for _, o := range t.stats[account] {
		all.requests += o.requests
		all.first += o.first
		all.refused += o.refused
		all.told += o.told
		all.again += o.again
		all.vain += o.vain
		all.longest = max(all.longest, o.longest)
		for at, n := range o.arrivals {
			all.arrivals[at] += n
		}
		all.waits = append(all.waits, o.waits...)
	}
	return all
}

// run sends requests of accounts, each at a multiple of the limit, for a time span.
func (t *traffic) run(span time.Duration, mean float64, loads map[string]float64, names ...string) {
	for end := t.sim.now.Add(span); t.sim.now.Before(end); t.sim.now = t.sim.now.Add(simulationStep) {
		t.strategy.tick()
		t.runPending()
		for _, name := range names {
			expected := loads[name] * t.sim.limit.Rate * simulationStep.Seconds() / mean
			for n := t.sim.poisson(expected); n > 0; n-- {
				r := limiter.Request{Account: name, Limit: t.sim.limit, Tokens: max(1, int64(mean*t.sim.rng.ExpFloat64())), Urgency: t.strategy.urgency()}
				t.of(r).requests++
				t.try(attempt{instance: t.anyInstance(), request: r})
			}
		}
	}
}

func (t *traffic) anyInstance() *instance {
	return t.sim.instances[t.sim.rng.IntN(len(t.sim.instances))]
}

func (t *traffic) runPending() {
	var later, due []attempt
	for _, a := range t.pending {
		if a.at.After(t.sim.now) {
			later = append(later, a)
		} else {
			due = append(due, a)
		}
	}
	t.pending = later
	for _, a := range due {
		if a.returned {
			a.instance = t.anyInstance()
			t.of(a.request).arrivals[int64(t.sim.now.Sub(t.sim.startedAt)/(200*time.Millisecond))]++
		}
		t.try(a)
	}
}

func (t *traffic) try(a attempt) {
	o := t.of(a.request)
	if !a.returned && !a.request.Repeated {
		o.tokens += a.request.Tokens
	}
	switch d := t.strategy.decide(a.instance, a.request).(type) {
	case limiter.Admitted:
		o.served += a.request.Tokens
		if a.returned {
			o.again++
		} else {
			o.first++
		}
		t.sim.admitted = append(t.sim.admitted, admission{t.sim.now, a.request.Tokens})
	case limiter.QuotaExceeded:
		if d.AvailableIn <= inPlaceLimit && !a.request.Repeated {
			a.at, a.request.Repeated = t.sim.now.Add(d.AvailableIn), true
			t.pending = append(t.pending, a)
			return
		}
		t.refuse(a, d.RetryAfter)
	case limiter.BalanceUnknown:
		t.refuse(a, d.RetryAfter)
	case limiter.AskLedger:
		panic("a ledger was asked already")
	}
}

func (t *traffic) refuse(a attempt, retryAfter time.Duration) {
	o := t.of(a.request)
	if a.returned {
		o.vain++
		o.when = append(o.when, t.sim.now.Sub(t.sim.startedAt))
		return
	}
	o.refused++
	o.longest = max(o.longest, retryAfter)
	o.waits = append(o.waits, refusal{t.sim.now, retryAfter})
	if retryAfter > deadlines[t.sim.rng.IntN(len(deadlines))]/3 {
		o.told++
		return
	}
	a.returned, a.request.Repeated, a.at = true, false, t.sim.now.Add(retryAfter)
	t.pending = append(t.pending, a)
}
