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
func (sim *simulation) run(span time.Duration, d workload) {
	for end := sim.now.Add(span); sim.now.Before(end); sim.now = sim.now.Add(simulationStep) {
		sim.strategy.tick()
		expected := d.rate * sim.limit.Rate * simulationStep.Seconds() / d.mean
		for n := sim.poisson(expected); n > 0; n-- {
			sim.send(sim.instances[d.targets[sim.rng.IntN(len(d.targets))]], sim.size(d))
		}
	}
}

func (sim *simulation) size(d workload) int64 {
	if d.fixedSize {
		return int64(d.mean)
	}
	return max(1, int64(d.mean*sim.rng.ExpFloat64()))
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
	w := &ledgerStrategy{sim: sim, connected: sim.reaches}
	for _, i := range sim.instances {
		w.spenders = append(w.spenders, &limiter.Spender{})
		w.reporters = append(w.reporters, limiter.Reporter{Instance: i.id})
		w.startedAt = append(w.startedAt, sim.now)
	}
	for d := range domains {
		w.leaders = append(w.leaders, sim.instances[d])
		ledger := &limiter.Ledger{Limits: func(string) (limiter.Limit, bool) { return sim.limit, true }, Window: window, InitialTokens: func(l limiter.Limit) float64 {
			return (excessFraction*(l.Rate*window.Seconds()+l.Burst) + excessTokens) * 0.7 / domains
		}}
		ledger.Begin(sim.now)
		w.ledgers = append(w.ledgers, ledger)
	}
	for _, i := range sim.instances {
		w.restart(i)
	}
	return w
}

func (w *ledgerStrategy) restart(i *instance) {
	w.spenders[i.number] = &limiter.Spender{Instances: func() int { return len(w.sim.instances) }}
	w.reporters[i.number].Incarnation = w.sim.now.UnixNano()
	w.startedAt[i.number] = w.sim.now
	for d, leader := range w.leaders {
		if leader == i {
			w.ledgers[d].Begin(w.sim.now)
		}
	}
}

func (w *ledgerStrategy) admit(i *instance, tokens int64) bool {
	s, now := w.spenders[i.number], w.sim.now
	r := limiter.Request{Account: "a", Limit: w.sim.limit, Tokens: tokens}
	decision := s.Spend(r, now)
	if _, asks := decision.(limiter.AskLedger); asks {
		decision = w.ask(i, r)
	}
	_, admitted := decision.(limiter.Admitted)
	return admitted
}

func (w *ledgerStrategy) ask(i *instance, r limiter.Request) limiter.Decision {
	s, now := w.spenders[i.number], w.sim.now
	if w.connected(i, w.leaders[i.failureDomain]) {
		w.sim.messages++
		balances, ok := w.ledgers[i.failureDomain].Settle(w.reporters[i.number], []limiter.Spent{s.Want(r)}, now)
		if ok && len(balances) == 1 {
			return s.Answered(r, balances[0], now, now)
		}
	}
	return s.SpendDisconnected(r, now)
}

func (w *ledgerStrategy) tick() {
	now := w.sim.now
	step := int(now.Sub(w.sim.startedAt) / simulationStep)
	for _, i := range w.sim.instances {
		if (step+i.number)%15 != 0 || !w.connected(i, w.leaders[i.failureDomain]) {
			continue
		}
		s := w.spenders[i.number]
		report := s.Report(now)
		if len(report) == 0 {
			continue
		}
		w.sim.messages++
		balances, ok := w.ledgers[i.failureDomain].Settle(w.reporters[i.number], report, now)
		for _, b := range balances {
			if ok {
				s.ApplyBalance(b, w.sim.limit, now, now)
			}
		}
	}
	if step%25 == 0 {
		w.exchangeReports()
	}
}

// exchangeReports settles the reports of all leaders with each other.
func (w *ledgerStrategy) exchangeReports() {
	now := w.sim.now
	for d, from := range w.leaders {
		report := w.ledgers[d].Report(now)
		since, _ := w.ledgers[d].StartedAt()
		p := limiter.Reporter{Instance: from.id, Incarnation: since.UnixNano(), Domain: fmt.Sprint("d", d), Age: now.Sub(since)}
		for e, to := range w.leaders {
			if e != d && w.connected(from, to) {
				w.sim.messages++
				balances, _ := w.ledgers[e].Settle(p, report, now)
				startedAt, _ := w.ledgers[e].StartedAt()
				w.ledgers[d].Adopt(balances, now.Sub(startedAt), now)
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
	w := &evenSplit{sim: sim, level: make([]float64, len(sim.instances))}
	for n := range w.level {
		w.level[n] = sim.limit.Burst / float64(len(w.level))
	}
	return w
}

func (w *evenSplit) restart(i *instance) { w.level[i.number] = 0 }

func (w *evenSplit) tick() {
	n := float64(len(w.level))
	for i := range w.level {
		w.level[i] = min(w.sim.limit.Burst/n, w.level[i]+w.sim.limit.Rate/n*simulationStep.Seconds())
	}
}

func (w *evenSplit) admit(i *instance, tokens int64) bool {
	return withdraw(&w.level[i.number], tokens)
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
	w := &demandSplit{evenSplit: *newEvenSplit(sim).(*evenSplit), demand: make([]float64, n), share: make([]float64, n)}
	for i := range w.share {
		w.share[i] = 1 / float64(n)
	}
	return w
}

func (w *demandSplit) admit(i *instance, tokens int64) bool {
	w.demand[i.number] += float64(tokens)
	return withdraw(&w.level[i.number], tokens)
}

func (w *demandSplit) tick() {
	decay := math.Exp(-simulationStep.Seconds() / 2)
	for i := range w.demand {
		w.demand[i] *= decay
	}
	if step := int(w.sim.now.Sub(w.sim.startedAt) / simulationStep); step%30 == 0 {
		w.redistribute()
	}
	for i := range w.level {
		w.level[i] = min(w.share[i]*w.sim.limit.Burst, w.level[i]+w.share[i]*w.sim.limit.Rate*simulationStep.Seconds())
	}
}

// redistribute computes new shares. A partitioned instance keeps its share, and the others
// divide the rest.
func (w *demandSplit) redistribute() {
	all, free, n := 0.0, 1.0, 0.0
	for _, i := range w.sim.instances {
		if w.sim.now.Before(i.partitionedUntil) {
			free -= w.share[i.number]
			continue
		}
		all += w.demand[i.number]
		n++
	}
	for _, i := range w.sim.instances {
		if w.sim.now.Before(i.partitionedUntil) {
			continue
		}
		share := 1 / n
		if all > 0 {
			share = 0.95*w.demand[i.number]/all + 0.05/n
		}
		w.share[i.number] = free * share
		w.sim.messages += 2
	}
}
