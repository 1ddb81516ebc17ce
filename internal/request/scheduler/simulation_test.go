package scheduler_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/scheduler"
)

// A deployment is a simulated failure domain: callers, members that report their load, a leader
// that admits prompts, and runners. It runs in steps of a millisecond without a network.
type deployment struct {
	rng     *rand.Rand
	now     time.Duration
	ordered bool // a Queue for each runner; otherwise a PrefillSchedule, as before
	runners []*simRunner
	members []*simMember
	sources []source
	all     []*simRequest
}

// A source is the traffic of one account with one priority.
type source struct {
	account  string
	priority int
	rate     func(at time.Duration) float64 // requests a second
	target   time.Duration                  // latency target
}

// A simMember is an instance that reports its requests at the runners to the leader.
type simMember struct {
	phase    time.Duration
	running  map[*simRunner]int
	reported map[*simRunner]int // last report that has arrived
}

type simRequest struct {
	account  string
	priority int
	tokens   int
	target   time.Duration
	arrived  time.Duration
	member   int
	asked    []*simRunner
	sendAt   time.Duration // when its delay ends; without order
	first    time.Duration // time of its first event; zero if there was none
	ends     time.Duration
	refused  bool
}

// A simRunner is a runner, and what the leader knows of it.
type simRunner struct {
	gone    bool
	waiting []*simRequest // for a slot, the more urgent first
	running []*simRequest
	reading time.Duration // until when it prefills

	queue    scheduler.Queue
	queued   map[scheduler.ID]*simRequest
	delayed  []*simRequest
	sampled  int // requests there, as the leader last computed; without order
	schedule admitter.PrefillSchedule
}

const (
	simSlots   = 16
	simBase    = 30 * time.Millisecond
	simDecode  = 550 * time.Millisecond
	simPerWord = 20 * time.Microsecond // prefill time of a token
	simReport  = 150 * time.Millisecond
	simMaxGap  = 250 * time.Millisecond
	simLatency = 3 * time.Millisecond
	// simCapacity is how many requests a runner serves in a second.
	simCapacity = float64(simSlots) / (0.55 + 0.03 + 0.02)
)

func newDeployment(seed uint64, ordered bool, runners int, sources []source) *deployment {
	d := &deployment{rng: rand.New(rand.NewPCG(seed, 1)), ordered: ordered, sources: sources}
	for range runners {
		d.runners = append(d.runners, &simRunner{queued: make(map[scheduler.ID]*simRequest)})
	}
	for range 15 {
		d.members = append(d.members, &simMember{phase: time.Duration(d.rng.IntN(150)) * time.Millisecond, running: make(map[*simRunner]int), reported: make(map[*simRunner]int)})
	}
	return d
}

// run simulates the deployment. event is called at each step.
func (d *deployment) run(span time.Duration, event func(d *deployment)) {
	arrivals := rand.New(rand.NewPCG(7, 7)) // the same with and without order
	for ; d.now < span+3*time.Second; d.now += time.Millisecond {
		if event != nil {
			event(d)
		}
		d.report()
		for _, r := range d.runners {
			d.stepRunner(r)
			d.grant(r)
		}
		if d.now >= span {
			continue
		}
		for _, s := range d.sources {
			if arrivals.Float64() < s.rate(d.now)/1000 {
				r := &simRequest{
					account: s.account, priority: s.priority, target: s.target, tokens: 200 + int(arrivals.ExpFloat64()*800), arrived: d.now, member: arrivals.IntN(len(d.members)),
				}
				d.all = append(d.all, r)
				d.ask(r)
			}
		}
	}
}

// report sends the reports that are due.
func (d *deployment) report() {
	for i, m := range d.members {
		if (d.now+m.phase)%simReport != 0 {
			continue
		}
		for _, r := range d.runners {
			m.reported[r] = m.running[r]
			r.queue.Reported(name(i), at(d.now))
		}
	}
	if d.now%simReport == 0 {
		for _, r := range d.runners {
			r.sampled = d.reported(r)
		}
	}
}

func (d *deployment) reported(r *simRunner) int {
	sum := 0
	for _, m := range d.members {
		sum += m.reported[r]
	}
	return sum
}

// ask asks up to three runners for capacity, the least loaded ones first.
func (d *deployment) ask(r *simRequest) {
	choice := slices.Clone(d.runners)
	d.rng.Shuffle(len(choice), func(i, j int) { choice[i], choice[j] = choice[j], choice[i] })
	slices.SortStableFunc(choice, func(a, b *simRunner) int { return cmp.Compare(d.estimate(a), d.estimate(b)) })
	for _, runner := range choice {
		if len(r.asked) >= 3 {
			break
		}
		if runner.gone || slices.Contains(r.asked, runner) {
			continue
		}
		r.asked = append(r.asked, runner)
		if d.offer(runner, r) {
			return
		}
	}
	r.refused = true
}

// estimate returns the load of a runner in steps, so that not all requests go to the same one.
func (d *deployment) estimate(runner *simRunner) int {
	return (d.reported(runner) + runner.queue.Len() + len(runner.delayed)) / 4
}

func (d *deployment) prompt(r *simRequest) admitter.Prompt {
	limit := time.Duration((0.9 - 0.1*float64(r.priority)) * float64(r.target))
	return admitter.Prompt{MaxGap: simMaxGap, PrefillTime: time.Duration(r.tokens) * simPerWord, Share: 1, Timeout: limit - (d.now - r.arrived) - simBase}
}

// offer offers a request to a runner's queue and reports whether it was not refused.
func (d *deployment) offer(runner *simRunner, r *simRequest) bool {
	p := d.prompt(r)
	if !d.ordered {
		p.SlotWait = max(0, time.Duration(float64(runner.sampled-simSlots+1)/simSlots*float64(600*time.Millisecond)))
		wait, ok := runner.schedule.Reserve(p, at(d.now))
		if ok {
			r.sendAt = d.now + wait
			runner.delayed = append(runner.delayed, r)
		}
		return ok
	}
	d.setSlots(runner)
	answer, displaced := runner.queue.Offer(scheduler.Entry{Account: r.account, Priority: r.priority, Prompt: p, Reporter: name(r.member), Tokens: r.tokens}, at(d.now))
	switch answer.Decision {
	case scheduler.Granted:
		d.send(runner, r)
	case scheduler.Queued:
		runner.queued[answer.ID] = r
	case scheduler.Refused:
	}
	d.refuse(runner, displaced)
	return answer.Decision != scheduler.Refused
}

// refuse lets requests that left the queue of a runner ask others.
func (d *deployment) refuse(runner *simRunner, removed []scheduler.Removal) {
	for _, e := range removed {
		r := runner.queued[e.ID]
		delete(runner.queued, e.ID)
		d.ask(r)
	}
}

func (d *deployment) setSlots(runner *simRunner) {
	runner.queue.Slots = scheduler.Slots{Reported: d.reported(runner), ReportAge: simReport / 2, RunTime: 600 * time.Millisecond, Total: simSlots}
}

// grant sends the requests whose time has come.
func (d *deployment) grant(runner *simRunner) {
	runner.delayed = slices.DeleteFunc(runner.delayed, func(r *simRequest) bool {
		if r.sendAt > d.now {
			return false
		}
		d.send(runner, r)
		return true
	})
	if runner.queue.Len() == 0 || d.now%(10*time.Millisecond) != 0 {
		return
	}
	d.setSlots(runner)
	granted, late, _ := runner.queue.Next(at(d.now))
	for _, e := range granted {
		d.send(runner, runner.queued[e.ID])
		delete(runner.queued, e.ID)
	}
	d.refuse(runner, late)
}

// send sends a request to a runner, which orders those that wait there by urgency.
func (d *deployment) send(runner *simRunner, r *simRequest) {
	if runner.gone {
		d.ask(r)
		return
	}
	d.members[r.member].running[runner]++
	runner.waiting = append(runner.waiting, r)
	slices.SortStableFunc(runner.waiting, func(a, b *simRequest) int { return a.priority - b.priority })
}

func (d *deployment) stepRunner(runner *simRunner) {
	runner.running = slices.DeleteFunc(runner.running, func(r *simRequest) bool {
		if r.ends > d.now {
			return false
		}
		d.members[r.member].running[runner]--
		return true
	})
	for len(runner.waiting) > 0 && len(runner.running) < simSlots {
		r := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		runner.reading = max(runner.reading, d.now+simLatency) + time.Duration(r.tokens)*simPerWord
		r.first = runner.reading + simBase
		r.ends = r.first + simDecode
		runner.running = append(runner.running, r)
	}
}

// lose ends a runner. Requests without a first event are sent to others.
func (d *deployment) lose(runner *simRunner) {
	runner.gone = true
	again := slices.Concat(runner.waiting, runner.delayed)
	for _, r := range runner.running {
		d.members[r.member].running[runner]--
		if r.first > d.now {
			r.first = 0
			again = append(again, r)
		}
	}
	for _, r := range runner.waiting {
		d.members[r.member].running[runner]--
	}
	for _, e := range runner.queue.Clear(at(d.now)) {
		again = append(again, runner.queued[e.ID])
	}
	runner.waiting, runner.running, runner.delayed, runner.queued, runner.reading = nil, nil, nil, make(map[scheduler.ID]*simRequest), 0
	for _, r := range again {
		r.asked = nil
		d.ask(r)
	}
}

// inTime returns, by a key, the share of the requests that arrived within a span whose first
// event came within their latency target.
func (d *deployment) inTime(from, to time.Duration, key func(r *simRequest) string) map[string]float64 {
	served, all := make(map[string]float64), make(map[string]float64)
	for _, r := range d.all {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		all[key(r)]++
		if r.first > 0 && r.first-r.arrived <= r.target {
			served[key(r)]++
		}
	}
	shares := make(map[string]float64)
	for k, n := range all {
		shares[k] = float64(int(1000*served[k]/n)) / 1000
	}
	return shares
}

func at(t time.Duration) time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(t) }

func name(member int) string { return "front-" + string(rune('a'+member)) }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func byPriority(r *simRequest) string { return "priority " + string(rune('0'+r.priority)) }

// between returns rate, and factor times it within a span.
func between(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return rate * factor
		}
		return rate
	}
}

// failures returns how many requests that arrived within a span were late or refused.
func (d *deployment) failures(from, to time.Duration) (late, refused int) {
	for _, r := range d.all {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		switch {
		case r.refused:
			refused++
		case r.first-r.arrived > r.target:
			late++
		}
	}
	return late, refused
}

// compare plays a load without and with order and returns the shares in time.
func compare(t *testing.T, runners int, sources []source, span, from, to time.Duration, event func(d *deployment), key func(r *simRequest) string) (before, after map[string]float64) {
	t.Helper()
	for _, ordered := range []bool{false, true} {
		d := newDeployment(1, ordered, runners, sources)
		d.run(span, event)
		shares := d.inTime(from, to, key)
		late, refused := d.failures(from, to)
		t.Logf("ordered %t: in time %v; late %d, refused %d of %d", ordered, shares, late, refused, len(d.all))
		before, after = after, shares
	}
	return before, after
}
