package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// A lab is a deployment in virtual time whose instances admit the requests of one account.
type lab struct {
	rng       *rand.Rand
	limit     limiter.Limit
	now       time.Time
	began     time.Time
	by        func(l *lab) way
	way       way
	instances []*instance

	admitted []admission
	model    float64 // what one bucket that knows all has left
	modelAt  time.Time
	asked    int64 // tokens
	refused  int64 // tokens that were refused although the quota had them
	owed     int64 // tokens that one bucket would have admitted
	ideal    float64
	messages int
}

type admission struct {
	at     time.Time
	tokens int64
}

// A way keeps a quota over instances.
type way interface {
	admit(i *instance, tokens int64) bool
	tick() // once a labStep
	restart(i *instance)
}

// An instance is one of a lab.
type instance struct {
	id     string
	number int
	domain int
	cut    time.Time // until when it reaches nobody
}

const (
	labStep   = 10 * time.Millisecond
	domains   = 4
	window    = 8 * time.Second
	overPart  = 0.1   // by which a quota may be exceeded
	overSlack = 17000 // tokens beyond that
)

func newLab(seed uint64, instances int, limit limiter.Limit, by func(l *lab) way) *lab {
	began := time.Unix(1000, 0)
	l := &lab{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, now: began, began: began, model: limit.Burst, modelAt: began, ideal: limit.Burst}
	l.by = by
	if instances > 0 {
		l.grow(instances)
	}
	return l
}

// grow starts the instances.
func (l *lab) grow(instances int) {
	for n := range instances {
		l.instances = append(l.instances, &instance{id: fmt.Sprint("i-", n), number: n, domain: n % domains})
	}
	l.way = l.by(l)
}

// A load is what callers of the account send.
type load struct {
	rate  float64 // tokens a second, as a multiple of the limit
	at    []int   // instances to which they turn
	mean  float64 // tokens of a request
	still bool    // all are of the same size
}

// play has callers send for a time.
func (l *lab) play(span time.Duration, d load) {
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(labStep) {
		l.way.tick()
		expected := d.rate * l.limit.Rate * labStep.Seconds() / d.mean
		for n := l.poisson(expected); n > 0; n-- {
			l.send(l.instances[d.at[l.rng.IntN(len(d.at))]], l.size(d))
		}
	}
}

func (l *lab) size(d load) int64 {
	if d.still {
		return int64(d.mean)
	}
	return max(1, int64(d.mean*l.rng.ExpFloat64()))
}

func (l *lab) poisson(mean float64) int {
	n := 0
	for p := l.rng.ExpFloat64(); p < mean; p += l.rng.ExpFloat64() {
		n++
	}
	return n
}

func (l *lab) send(i *instance, tokens int64) {
	l.asked += tokens
	l.model = min(l.limit.Burst, l.model+l.limit.Rate*l.now.Sub(l.modelAt).Seconds())
	l.ideal = min(l.limit.Burst, l.ideal+l.limit.Rate*l.now.Sub(l.modelAt).Seconds())
	l.modelAt = l.now
	if float64(tokens) <= l.ideal {
		l.ideal -= float64(tokens)
		l.owed += tokens
	}
	if l.way.admit(i, tokens) {
		l.admitted = append(l.admitted, admission{l.now, tokens})
		l.model = max(l.model-float64(tokens), -l.limit.Burst)
		return
	}
	if float64(tokens) <= l.model {
		l.refused += tokens
	}
}

// served returns the tokens that were admitted, as a part of those that one bucket would
// have admitted.
func (l *lab) served() float64 {
	sum := int64(0)
	for _, a := range l.admitted {
		sum += a.tokens
	}
	return float64(sum) / float64(l.owed)
}

// over returns by how many tokens most was exceeded in any window.
func (l *lab) over() float64 {
	allowed := (l.limit.Rate*window.Seconds()+l.limit.Burst)*(1+overPart) + overSlack
	sum, first, most := 0.0, 0, math.Inf(-1)
	for _, a := range l.admitted {
		sum += float64(a.tokens)
		for a.at.Sub(l.admitted[first].at) > window {
			sum -= float64(l.admitted[first].tokens)
			first++
		}
		most = max(most, sum)
	}
	return max(0, most-allowed)
}

func (l *lab) cut(span time.Duration, which func(i *instance) bool) {
	for _, i := range l.instances {
		if which(i) {
			i.cut = l.now.Add(span)
		}
	}
}

func (l *lab) reaches(a, b *instance) bool {
	return a == b || !l.now.Before(a.cut) && !l.now.Before(b.cut)
}

// A bySum is the way of this package. A domain's first instance leads there.
type bySum struct {
	l        *lab
	spenders []*limiter.Spender
	ledgers  []*limiter.Ledger // of the leaders
	parties  []limiter.Party
	began    []time.Time
	leaders  []*instance
	sides    func(a, b *instance) bool // reaches, in a cut between domains too
}

func newBySum(l *lab) way {
	w := &bySum{l: l, sides: l.reaches}
	for _, i := range l.instances {
		w.spenders = append(w.spenders, &limiter.Spender{})
		w.parties = append(w.parties, limiter.Party{Instance: i.id})
		w.began = append(w.began, l.now)
	}
	for d := range domains {
		w.leaders = append(w.leaders, l.instances[d])
		ledger := &limiter.Ledger{Limits: func(string) (limiter.Limit, bool) { return l.limit, true }, Window: window, First: func(l limiter.Limit) float64 {
			return (overPart*(l.Rate*window.Seconds()+l.Burst) + overSlack) * 0.7 / domains
		}}
		ledger.Begin(l.now)
		w.ledgers = append(w.ledgers, ledger)
	}
	for _, i := range l.instances {
		w.restart(i)
	}
	return w
}

func (w *bySum) restart(i *instance) {
	w.spenders[i.number] = &limiter.Spender{Instances: func() int { return len(w.l.instances) }}
	w.parties[i.number].Born = w.l.now.UnixNano()
	w.began[i.number] = w.l.now
	for d, leader := range w.leaders {
		if leader == i {
			w.ledgers[d].Begin(w.l.now)
		}
	}
}

func (w *bySum) admit(i *instance, tokens int64) bool {
	s, now := w.spenders[i.number], w.l.now
	r := limiter.Request{Account: "a", Limit: w.l.limit, Tokens: tokens}
	decision := s.Spend(r, now)
	if _, asks := decision.(limiter.Ask); asks {
		decision = w.ask(i, r)
	}
	_, admitted := decision.(limiter.Admitted)
	return admitted
}

func (w *bySum) ask(i *instance, r limiter.Request) limiter.Decision {
	s, now := w.spenders[i.number], w.l.now
	if w.sides(i, w.leaders[i.domain]) {
		w.l.messages++
		balances, ok := w.ledgers[i.domain].Settle(w.parties[i.number], []limiter.Spent{s.Want(r)}, now)
		if ok && len(balances) == 1 {
			return s.Answered(r, balances[0], now, now)
		}
	}
	return s.SpendAlone(r, now)
}

func (w *bySum) tick() {
	now := w.l.now
	step := int(now.Sub(w.l.began) / labStep)
	for _, i := range w.l.instances {
		if (step+i.number)%15 != 0 || !w.sides(i, w.leaders[i.domain]) {
			continue
		}
		s := w.spenders[i.number]
		report := s.Report(now)
		if len(report) == 0 {
			continue
		}
		w.l.messages++
		balances, ok := w.ledgers[i.domain].Settle(w.parties[i.number], report, now)
		for _, b := range balances {
			if ok {
				s.Settled(b, w.l.limit, now, now)
			}
		}
	}
	if step%25 == 0 {
		w.exchange()
	}
}

// exchange has the leaders tell each other what their domains have spent.
func (w *bySum) exchange() {
	now := w.l.now
	for d, from := range w.leaders {
		report := w.ledgers[d].Report(now)
		since, _ := w.ledgers[d].Began()
		p := limiter.Party{Instance: from.id, Born: since.UnixNano(), Domain: fmt.Sprint("d", d), Age: now.Sub(since)}
		for e, to := range w.leaders {
			if e != d && w.sides(from, to) {
				w.l.messages++
				balances, _ := w.ledgers[e].Settle(p, report, now)
				began, _ := w.ledgers[e].Began()
				w.ledgers[d].Adopt(balances, now.Sub(began), now)
			}
		}
	}
}

// An evenly is the way that gives each instance the same part.
type evenly struct {
	l     *lab
	level []float64
}

func newEvenly(l *lab) way {
	w := &evenly{l: l, level: make([]float64, len(l.instances))}
	for n := range w.level {
		w.level[n] = l.limit.Burst / float64(len(w.level))
	}
	return w
}

func (w *evenly) restart(i *instance) { w.level[i.number] = 0 }

func (w *evenly) tick() {
	n := float64(len(w.level))
	for i := range w.level {
		w.level[i] = min(w.l.limit.Burst/n, w.level[i]+w.l.limit.Rate/n*labStep.Seconds())
	}
}

func (w *evenly) admit(i *instance, tokens int64) bool { return draw(&w.level[i.number], tokens) }

func draw(level *float64, tokens int64) bool {
	if *level < float64(tokens) {
		return false
	}
	*level -= float64(tokens)
	return true
}

// A byDemand is the way that gives instances parts by what they were asked for lately.
type byDemand struct {
	evenly

	demand []float64
	share  []float64
}

func newByDemand(l *lab) way {
	n := len(l.instances)
	w := &byDemand{evenly: *newEvenly(l).(*evenly), demand: make([]float64, n), share: make([]float64, n)}
	for i := range w.share {
		w.share[i] = 1 / float64(n)
	}
	return w
}

func (w *byDemand) admit(i *instance, tokens int64) bool {
	w.demand[i.number] += float64(tokens)
	return draw(&w.level[i.number], tokens)
}

func (w *byDemand) tick() {
	decay := math.Exp(-labStep.Seconds() / 2)
	for i := range w.demand {
		w.demand[i] *= decay
	}
	if step := int(w.l.now.Sub(w.l.began) / labStep); step%30 == 0 {
		w.deal()
	}
	for i := range w.level {
		w.level[i] = min(w.share[i]*w.l.limit.Burst, w.level[i]+w.share[i]*w.l.limit.Rate*labStep.Seconds())
	}
}

// deal gives parts anew; who is cut off keeps its own, which the others leave to it.
func (w *byDemand) deal() {
	all, free, n := 0.0, 1.0, 0.0
	for _, i := range w.l.instances {
		if w.l.now.Before(i.cut) {
			free -= w.share[i.number]
			continue
		}
		all += w.demand[i.number]
		n++
	}
	for _, i := range w.l.instances {
		if w.l.now.Before(i.cut) {
			continue
		}
		part := 1 / n
		if all > 0 {
			part = 0.95*w.demand[i.number]/all + 0.05/n
		}
		w.share[i.number] = free * part
		w.l.messages += 2
	}
}
