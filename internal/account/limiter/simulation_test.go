package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// A simulation runs instances in virtual time that admit the requests of one account.
type simulation struct {
	rng         *rand.Rand
	limit       limiter.Limit
	now         time.Time
	startedAt   time.Time
	newStrategy func(sim *simulation) strategy
	strategy    strategy
	instances   []*instance

	admitted       []admission
	available      float64 // level of one central bucket that counts all admitted tokens
	availableAt    time.Time
	requested      int64   // tokens of all requests
	wronglyRefused int64   // tokens refused although the quota had them left
	idealAdmitted  int64   // tokens that one central bucket would have admitted
	ideal          float64 // level of that bucket
	messages       int
}

type admission struct {
	at     time.Time
	tokens int64
}

// A strategy enforces a quota across instances.
type strategy interface {
	admit(i *instance, tokens int64) bool
	tick() // called once per simulationStep
	restart(i *instance)
}

// An instance is a simulated instance.
type instance struct {
	id               string
	number           int
	failureDomain    int
	partitionedUntil time.Time // it reaches no other instance until then
}

const (
	simulationStep = 10 * time.Millisecond
	domains        = 4
	window         = 8 * time.Second
	excessFraction = 0.1   // fraction by which a quota may be exceeded
	excessTokens   = 17000 // tokens by which it may be exceeded besides
)

func newSimulation(seed uint64, instances int, limit limiter.Limit, newStrategy func(sim *simulation) strategy) *simulation {
	startedAt := time.Unix(1000, 0)
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, now: startedAt, startedAt: startedAt, available: limit.Burst, availableAt: startedAt, ideal: limit.Burst}
	sim.newStrategy = newStrategy
	if instances > 0 {
		sim.startInstances(instances)
	}
	return sim
}

// startInstances creates the instances and the strategy.
func (sim *simulation) startInstances(instances int) {
	for n := range instances {
		sim.instances = append(sim.instances, &instance{id: fmt.Sprint("i-", n), number: n, failureDomain: n % domains})
	}
	sim.strategy = sim.newStrategy(sim)
}

// A workload describes the requests that callers of the account send.
type workload struct {
	rate      float64 // tokens a second, as a multiple of the limit
	targets   []int   // numbers of the instances that they are sent to
	mean      float64 // tokens of a request, on average
	fixedSize bool    // all requests have mean tokens
}

// run sends the requests of a workload for a time span.
func (sim *simulation) run(span time.Duration, w workload) {
	for end := sim.now.Add(span); sim.now.Before(end); sim.now = sim.now.Add(simulationStep) {
		sim.strategy.tick()
		expected := w.rate * sim.limit.Rate * simulationStep.Seconds() / w.mean
		for n := sim.poisson(expected); n > 0; n-- {
			sim.send(sim.instances[w.targets[sim.rng.IntN(len(w.targets))]], sim.size(w))
		}
	}
}

func (sim *simulation) size(w workload) int64 {
	if w.fixedSize {
		return int64(w.mean)
	}
	return max(1, int64(w.mean*sim.rng.ExpFloat64()))
}

func (sim *simulation) poisson(mean float64) int {
	n := 0
	for p := sim.rng.ExpFloat64(); p < mean; p += sim.rng.ExpFloat64() {
		n++
	}
	return n
}

func (sim *simulation) send(i *instance, tokens int64) {
	sim.requested += tokens
	sim.available = min(sim.limit.Burst, sim.available+sim.limit.Rate*sim.now.Sub(sim.availableAt).Seconds())
	sim.ideal = min(sim.limit.Burst, sim.ideal+sim.limit.Rate*sim.now.Sub(sim.availableAt).Seconds())
	sim.availableAt = sim.now
	if float64(tokens) <= sim.ideal {
		sim.ideal -= float64(tokens)
		sim.idealAdmitted += tokens
	}
	if sim.strategy.admit(i, tokens) {
		sim.admitted = append(sim.admitted, admission{sim.now, tokens})
		sim.available = max(sim.available-float64(tokens), -sim.limit.Burst)
		return
	}
	if float64(tokens) <= sim.available {
		sim.wronglyRefused += tokens
	}
}

// served returns the tokens that were admitted, as a fraction of those that one central
// bucket would have admitted.
func (sim *simulation) served() float64 {
	sum := int64(0)
	for _, a := range sim.admitted {
		sum += a.tokens
	}
	return float64(sum) / float64(sim.idealAdmitted)
}

// excess returns by how many tokens the quota was exceeded at most, over all windows.
func (sim *simulation) excess() float64 {
	allowed := (sim.limit.Rate*window.Seconds()+sim.limit.Burst)*(1+excessFraction) + excessTokens
	sum, first, highest := 0.0, 0, math.Inf(-1)
	for _, a := range sim.admitted {
		sum += float64(a.tokens)
		for a.at.Sub(sim.admitted[first].at) > window {
			sum -= float64(sim.admitted[first].tokens)
			first++
		}
		highest = max(highest, sum)
	}
	return max(0, highest-allowed)
}

func (sim *simulation) partition(span time.Duration, which func(i *instance) bool) {
	for _, i := range sim.instances {
		if which(i) {
			i.partitionedUntil = sim.now.Add(span)
		}
	}
}

func (sim *simulation) reaches(a, b *instance) bool {
	return a == b || !sim.now.Before(a.partitionedUntil) && !sim.now.Before(b.partitionedUntil)
}

// A ledgerStrategy is the strategy of this package. The first instance of a failure domain
// is its leader.
type ledgerStrategy struct {
	sim       *simulation
	spenders  []*limiter.Spender
	ledgers   []*limiter.Ledger // of the leaders
	reporters []limiter.Reporter
	startedAt []time.Time
	leaders   []*instance
	connected func(a, b *instance) bool // whether two instances reach each other
}

func newLedgerStrategy(sim *simulation) strategy {
	st := &ledgerStrategy{sim: sim, connected: sim.reaches}
	for _, i := range sim.instances {
		st.spenders = append(st.spenders, &limiter.Spender{})
		st.reporters = append(st.reporters, limiter.Reporter{Instance: i.id})
		st.startedAt = append(st.startedAt, sim.now)
	}
	for d := range domains {
		st.leaders = append(st.leaders, sim.instances[d])
		ledger := &limiter.Ledger{Limits: func(string) (limiter.Limit, bool) { return sim.limit, true }, Window: window, Others: func() int { return domains - 1 }, InitialTokens: func(l limiter.Limit) float64 {
			return (excessFraction*(l.Rate*window.Seconds()+l.Burst) + excessTokens) * 0.7 / domains
		}}
		ledger.Begin(sim.now)
		st.ledgers = append(st.ledgers, ledger)
	}
	for _, i := range sim.instances {
		st.restart(i)
	}
	return st
}

func (st *ledgerStrategy) restart(i *instance) {
	st.spenders[i.number] = &limiter.Spender{Instances: func() int { return len(st.sim.instances) }}
	st.reporters[i.number].Incarnation = st.sim.now.UnixNano()
	st.startedAt[i.number] = st.sim.now
	for d, leader := range st.leaders {
		if leader == i {
			st.ledgers[d].Begin(st.sim.now)
		}
	}
}

func (st *ledgerStrategy) admit(i *instance, tokens int64) bool {
	s, now := st.spenders[i.number], st.sim.now
	r := limiter.Request{Account: "a", Limit: st.sim.limit, Tokens: tokens}
	decision := s.Spend(r, now)
	if _, asks := decision.(limiter.AskLedger); asks {
		decision = st.ask(i, r)
	}
	_, admitted := decision.(limiter.Admitted)
	return admitted
}

func (st *ledgerStrategy) ask(i *instance, r limiter.Request) limiter.Decision {
	s, now := st.spenders[i.number], st.sim.now
	if st.connected(i, st.leaders[i.failureDomain]) {
		st.sim.messages++
		balances, ok := st.ledgers[i.failureDomain].Settle(st.reporters[i.number], []limiter.Spent{s.Want(r)}, now)
		if ok && len(balances) == 1 {
			return s.Answered(r, balances[0], now, now)
		}
	}
	return s.SpendDisconnected(r, now)
}

func (st *ledgerStrategy) tick() {
	now := st.sim.now
	step := int(now.Sub(st.sim.startedAt) / simulationStep)
	for _, i := range st.sim.instances {
		if (step+i.number)%15 != 0 || !st.connected(i, st.leaders[i.failureDomain]) {
			continue
		}
		s := st.spenders[i.number]
		report := s.Report(now)
		if len(report) == 0 {
			continue
		}
		st.sim.messages++
		balances, ok := st.ledgers[i.failureDomain].Settle(st.reporters[i.number], report, now)
		for _, b := range balances {
			if ok {
				s.ApplyBalance(b, st.sim.limit, now, now)
			}
		}
	}
	if step%25 == 0 {
		st.exchangeReports()
	}
}

// exchangeReports settles the reports of all leaders with each other.
func (st *ledgerStrategy) exchangeReports() {
	now := st.sim.now
	for d, from := range st.leaders {
		report := st.ledgers[d].Report(now)
		since, _ := st.ledgers[d].StartedAt()
		reporter := limiter.Reporter{Instance: from.id, Incarnation: since.UnixNano(), Domain: fmt.Sprint("d", d%domains), Age: now.Sub(since)}
		for e, to := range st.leaders {
			if e != d && st.connected(from, to) {
				st.sim.messages++
				balances, _ := st.ledgers[e].Settle(reporter, report, now)
				startedAt, _ := st.ledgers[e].StartedAt()
				st.ledgers[d].Adopt(balances, now.Sub(startedAt), now)
			}
		}
	}
}

// An evenSplit gives each instance the same fraction of the quota.
type evenSplit struct {
	sim   *simulation
	level []float64
}

func newEvenSplit(sim *simulation) strategy {
	s := &evenSplit{sim: sim, level: make([]float64, len(sim.instances))}
	for n := range s.level {
		s.level[n] = sim.limit.Burst / float64(len(s.level))
	}
	return s
}

func (s *evenSplit) restart(i *instance) { s.level[i.number] = 0 }

func (s *evenSplit) tick() {
	n := float64(len(s.level))
	for i := range s.level {
		s.level[i] = min(s.sim.limit.Burst/n, s.level[i]+s.sim.limit.Rate/n*simulationStep.Seconds())
	}
}

func (s *evenSplit) admit(i *instance, tokens int64) bool {
	return withdraw(&s.level[i.number], tokens)
}

func withdraw(level *float64, tokens int64) bool {
	if *level < float64(tokens) {
		return false
	}
	*level -= float64(tokens)
	return true
}

// A demandSplit gives each instance a fraction of the quota by its recent demand.
type demandSplit struct {
	evenSplit

	demand []float64
	share  []float64
}

func newDemandSplit(sim *simulation) strategy {
	n := len(sim.instances)
	s := &demandSplit{evenSplit: *newEvenSplit(sim).(*evenSplit), demand: make([]float64, n), share: make([]float64, n)}
	for i := range s.share {
		s.share[i] = 1 / float64(n)
	}
	return s
}

func (s *demandSplit) admit(i *instance, tokens int64) bool {
	s.demand[i.number] += float64(tokens)
	return withdraw(&s.level[i.number], tokens)
}

func (s *demandSplit) tick() {
	decay := math.Exp(-simulationStep.Seconds() / 2)
	for i := range s.demand {
		s.demand[i] *= decay
	}
	if step := int(s.sim.now.Sub(s.sim.startedAt) / simulationStep); step%30 == 0 {
		s.redistribute()
	}
	for i := range s.level {
		s.level[i] = min(s.share[i]*s.sim.limit.Burst, s.level[i]+s.share[i]*s.sim.limit.Rate*simulationStep.Seconds())
	}
}

// redistribute computes new shares. A partitioned instance keeps its share, and the others
// divide the rest.
func (s *demandSplit) redistribute() {
	all, free, n := 0.0, 1.0, 0.0
	for _, i := range s.sim.instances {
		if s.sim.now.Before(i.partitionedUntil) {
			free -= s.share[i.number]
			continue
		}
		all += s.demand[i.number]
		n++
	}
	for _, i := range s.sim.instances {
		if s.sim.now.Before(i.partitionedUntil) {
			continue
		}
		share := 1 / n
		if all > 0 {
			share = 0.95*s.demand[i.number]/all + 0.05/n
		}
		s.share[i.number] = free * share
		s.sim.messages += 2
	}
}
