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

	lostAt time.Duration // since when there is no leader; zero if there is one
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

	simQueue
	own      []*simQueue // by member, while there is no leader
	delayed  []*simRequest
	sampled  int // requests there, as the leader last computed; without order
	schedule admitter.PrefillSchedule
}

// burstStart is when the bursts begin.
const burstStart = 3 * time.Second

// A simQueue is a queue of a runner, with the requests that wait in it.
type simQueue struct {
	queue  scheduler.Queue
	queued map[scheduler.ID]*simRequest
}

const (
	simMembers = 15
	simRunners = 12
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

func newDeployment(ordered bool, sources []source) *deployment {
	d := &deployment{rng: rand.New(rand.NewPCG(1, 1)), ordered: ordered, sources: sources}
	for range simRunners {
		r := &simRunner{simQueue: simQueue{queued: make(map[scheduler.ID]*simRequest)}}
		for range simMembers {
			r.own = append(r.own, &simQueue{queued: make(map[scheduler.ID]*simRequest)})
		}
		d.runners = append(d.runners, r)
	}
	for range simMembers {
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
	if d.lostAt > 0 {
		return
	}
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
	slices.SortStableFunc(choice, func(a, b *simRunner) int { return cmp.Compare(d.estimate(a, r), d.estimate(b, r)) })
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
// Without a leader, an instance goes by its own requests: all others have the same old reports.
func (d *deployment) estimate(runner *simRunner, r *simRequest) int {
	if d.lostAt > 0 {
		return d.members[r.member].running[runner] + runner.own[r.member].queue.Len()
	}
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
		return d.reserve(runner, r, p)
	}
	q, e := &runner.simQueue, scheduler.Entry{Account: r.account, Priority: r.priority, Prompt: p, Reporter: name(r.member), Tokens: r.tokens}
	if d.lostAt > 0 {
		q = runner.own[r.member]
		e.Instances, e.Reporter = simMembers, ""
	}
	d.setSlots(runner, q, r.member)
	answer, displaced := q.queue.Offer(e, at(d.now))
	switch answer.Decision {
	case scheduler.Granted:
		d.send(runner, r)
	case scheduler.Queued:
		q.queued[answer.ID] = r
	case scheduler.Refused:
	}
	d.refuse(q, displaced)
	return answer.Decision != scheduler.Refused
}

// reserve reserves capacity in the schedule of a runner. Without a leader, the request is sent.
func (d *deployment) reserve(runner *simRunner, r *simRequest, p admitter.Prompt) bool {
	if d.lostAt > 0 {
		d.send(runner, r)
		return true
	}
	p.SlotWait = max(0, time.Duration(float64(runner.sampled-simSlots+1)/simSlots*float64(600*time.Millisecond)))
	wait, ok := runner.schedule.Reserve(p, at(d.now))
	if ok {
		r.sendAt = d.now + wait
		runner.delayed = append(runner.delayed, r)
	}
	return ok
}

// refuse lets requests that left a queue ask other runners.
func (d *deployment) refuse(q *simQueue, removed []scheduler.Removal) {
	for _, e := range removed {
		r := q.queued[e.ID]
		delete(q.queued, e.ID)
		d.ask(r)
	}
}

// setSlots sets what the keeper of a queue knows of the slots: the leader the last reports of the
// members, a member without a leader its own requests, and the last reports of the others.
func (d *deployment) setSlots(runner *simRunner, q *simQueue, member int) {
	slots := scheduler.Slots{Reported: d.reported(runner), ReportAge: simReport / 2, RunTime: 600 * time.Millisecond, Total: simSlots}
	if q != &runner.simQueue {
		m := d.members[member]
		slots.Known, slots.Reported, slots.ReportAge = m.running[runner], slots.Reported-m.reported[runner], d.now-d.lostAt
	}
	q.queue.Slots = slots
}

// loseLeader ends the leader. Those that wait in its queues ask again.
func (d *deployment) loseLeader() {
	d.lostAt = d.now
	for _, runner := range d.runners {
		for _, r := range d.clear(&runner.simQueue) {
			r.asked = nil
			d.ask(r)
		}
	}
}

// clear removes all requests from a queue.
func (d *deployment) clear(q *simQueue) (again []*simRequest) {
	for _, e := range q.queue.Clear(at(d.now)) {
		again = append(again, q.queued[e.ID])
		delete(q.queued, e.ID)
	}
	return again
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
	if d.now%(10*time.Millisecond) != 0 {
		return
	}
	d.grantFrom(runner, &runner.simQueue, 0)
	for member, q := range runner.own {
		d.grantFrom(runner, q, member)
	}
}

func (d *deployment) grantFrom(runner *simRunner, q *simQueue, member int) {
	if q.queue.Len() == 0 {
		return
	}
	d.setSlots(runner, q, member)
	granted, late, _ := q.queue.Next(at(d.now))
	for _, e := range granted {
		d.send(runner, q.queued[e.ID])
		delete(q.queued, e.ID)
	}
	d.refuse(q, late)
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
	for _, q := range append(runner.own, &runner.simQueue) {
		again = append(again, d.clear(q)...)
	}
	runner.waiting, runner.running, runner.delayed, runner.reading = nil, nil, nil, 0
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

// burst returns rate, and factor times it from burstStart on until a time.
func burst(rate, factor float64, until time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= burstStart && now < until {
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
func compare(t *testing.T, sources []source, from, to time.Duration, event func(d *deployment), key func(r *simRequest) string) (before, after map[string]float64) {
	t.Helper()
	for _, ordered := range []bool{false, true} {
		d := newDeployment(ordered, sources)
		d.run(10*time.Second, event)
		shares := d.inTime(from, to, key)
		late, refused := d.failures(from, to)
		t.Logf("ordered %t: in time %v; late %d, refused %d of %d", ordered, shares, late, refused, len(d.all))
		before, after = after, shares
	}
	return before, after
}
