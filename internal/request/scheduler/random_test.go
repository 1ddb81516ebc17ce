package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

var (
	playFirst = flag.Uint64("play.first", 0, "first seed of the random plays")
	playSeeds = flag.Uint64("play.seeds", 40, "number of seeds to play")
)

// A safeguard is a rule of the queue that a play can disable, to check that it is needed.
type safeguard string

const (
	allSafeguards   safeguard = ""
	noAccounts      safeguard = "accounts take turns"
	noAging         safeguard = "waiting entries become more urgent"
	noBound         safeguard = "the queue is bounded"
	noDisplacement  safeguard = "entries are displaced"
	noExtendedShare safeguard = "extended entries get a share of the time"
	noGrantsCounted safeguard = "recent grants count as running"
	noPriorities    safeguard = "more urgent entries go first"
	noRefusal       safeguard = "late entries are refused"
)

// A play offers random requests to a queue, in front of a runner whose load is reported late.
type play struct {
	q        Queue
	rng      *rand.Rand
	disabled safeguard
	now      time.Time
	fault    string

	total    int // slots of the runner; 0 for no limit
	runTime  time.Duration
	share    float64
	maxGap   time.Duration
	stretch  time.Duration // factor of the time limits
	overload float64
	takenUp  float64 // fraction of the requests that have an extension
	accounts int
	longest  int // prompt

	waiting  map[ID]*playEntry
	extended time.Time // when the prefill of the extended entries ends in half of the time
	runs     []*playRun
	reported map[string]int
	excess   int              // most requests at the runner beyond its slots
	turn     map[string]int   // tokens granted of priority 0 by account since turnFrom
	together map[string]bool  // accounts that have had waiting entries of priority 0 since then
	starving [Levels]starving // by priority
}

// A starving counts what has happened since an entry of a priority was granted.
type starving struct {
	grants int       // of other priorities
	offers int       // of this one
	since  time.Time // of the first offer
}

type playEntry struct {
	Entry

	at    time.Time
	limit time.Duration // within which it has to start
}

type playRun struct {
	reporter  string
	from, end time.Time
}

const (
	playStep    = 2 * time.Millisecond
	playReports = 150 * time.Millisecond
)

// runPlay plays a seed and returns the first fault that it finds.
func runPlay(seed uint64, disabled safeguard) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := &play{
		rng: rng, disabled: disabled, now: start, runTime: time.Duration(100+rng.IntN(700)) * time.Millisecond, share: 0.3 + 1.7*rng.Float64(),
		stretch: 1, overload: 0.3 + 2.5*rng.Float64(), accounts: 1 + rng.IntN(6), longest: 500 + rng.IntN(4000),
		waiting: make(map[ID]*playEntry), reported: make(map[string]int), turn: make(map[string]int),
	}
	p.takenUp = []float64{0, 0.2, 0.9}[rng.IntN(3)]
	if rng.IntN(3) > 0 {
		p.total = 4 + rng.IntN(16)
	}
	if rng.IntN(3) > 0 {
		p.maxGap = time.Duration(100+rng.IntN(300)) * time.Millisecond
	}
	if seed%16 == 5 {
		p.stretch, p.overload, p.longest, p.total = 40, 2.5, 700, 0 // fills the queue
	}
	span := 6 * time.Second
	if p.stretch > 1 {
		span = 2500 * time.Millisecond // the queue is full for most of it
	}
	for end := start.Add(span); p.now.Before(end) && p.fault == ""; p.now = p.now.Add(playStep) {
		p.step()
	}
	return p.fault
}

func (p *play) step() {
	p.report()
	p.checkRunner()
	granted, late, again := p.q.Next(p.now)
	if p.q.Len() > 0 {
		p.checkNext(again)
	}
	p.limitGrants()
	for i := range late {
		p.leave(late[i].ID)
	}
	for i := range granted {
		p.checkGranted(&granted[i])
	}
	for id, e := range p.waiting {
		if p.now.After(e.at.Add(e.limit + playStep)) {
			p.fail("entry %d is neither granted nor refused after its limit", id)
		}
	}
	p.checkStarving()
	perStep := p.overload * p.capacity() * playStep.Seconds()
	for p.rng.Float64() < perStep {
		perStep--
		p.offer()
	}
	for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
		if p.rng.IntN(20000) == 0 {
			p.q.Remove(id)
			p.leave(id)
		}
	}
}

// capacity returns how many requests a second the runner serves.
func (p *play) capacity() float64 {
	perPrompt := p.prefill(p.longest/2).Seconds() / min(1, p.share)
	if p.total == 0 {
		return 1 / perPrompt
	}
	return min(1/perPrompt, float64(p.total)/p.runTime.Seconds())
}

func (*play) prefill(tokens int) time.Duration { return time.Duration(tokens) * 20 * time.Microsecond }

// report brings the reports that are due, and the state of the runner, up to date.
func (p *play) report() {
	p.runs = slices.DeleteFunc(p.runs, func(r *playRun) bool { return !p.now.Before(r.end) })
	for i := range 5 {
		reporter := fmt.Sprint("front-", i)
		if (p.now.Sub(start)+time.Duration(i)*30*time.Millisecond)%playReports >= playStep {
			continue
		}
		n := 0
		for _, r := range p.runs {
			if r.reporter == reporter && !p.now.Add(-4*time.Millisecond).Before(r.from) {
				n++
			}
		}
		p.reported[reporter] = n
		p.q.Reported(reporter, p.now)
	}
	sum := 0
	for _, n := range p.reported {
		sum += n
	}
	p.q.Slots = Slots{Reported: sum, ReportAge: playReports / 2, RunTime: p.runTime, Total: p.total}
}

// offer offers a random request.
func (p *play) offer() {
	priority := []int{0, 0, 0, 1, 1, 2}[p.rng.IntN(6)]
	account := min(p.rng.IntN(p.accounts), p.rng.IntN(p.accounts)) // the first ones send more
	e := Entry{
		Account: fmt.Sprint("account ", account), Priority: priority, Reporter: fmt.Sprint("front-", p.rng.IntN(5)), Tokens: 1 + p.rng.IntN(p.longest),
	}
	e.Prompt = admitter.Prompt{MaxGap: p.maxGap, PrefillTime: p.prefill(e.Tokens), Share: p.share, Timeout: p.stretch * []time.Duration{450, 900, 1800}[priority] * time.Millisecond}
	if p.rng.Float64() < p.takenUp {
		e.Prompt.Extension = 2 * e.Prompt.Timeout
	}
	if s := &p.starving[priority]; s.offers == 0 {
		s.since = p.now
	}
	p.starving[priority].offers++
	offered := &playEntry{Entry: e, at: p.now, limit: e.startLimit()}
	switch p.disabled {
	case noAccounts:
		e.Account = ""
	case noPriorities:
		e.Priority = 0
	case noExtendedShare:
		p.q.Extensions = admitter.Extensions{}
	default:
	}
	before := p.q.Len()
	answer, displaced := p.q.Offer(e, p.now)
	p.limitGrants()
	if answer.Decision == Queued {
		w := p.q.entries[p.q.index(answer.ID)]
		offered.limit = w.startBy.Sub(w.offeredAt)
	}
	if answer.Decision != Refused {
		p.checkExtension(offered)
	}
	switch answer.Decision {
	case Granted:
		p.granted(offered)
	case Queued:
		p.waiting[answer.ID] = offered
	case Refused:
		if p.disabled == noRefusal || p.disabled == noBound && before >= Capacity {
			answer.Decision, answer.ID = Queued, p.q.lastID
			p.keep(answer.ID, offered)
		}
	}
	for _, r := range displaced {
		gone := p.waiting[r.ID]
		p.leave(r.ID)
		if p.disabled == noDisplacement {
			p.keep(r.ID, gone)
		}
	}
	if p.disabled == noAging && answer.Decision == Queued {
		p.q.entries[p.q.index(answer.ID)].offeredAt = p.now.Add(time.Hour)
	}
	if p.q.Len() > Capacity {
		p.fail("%d entries wait", p.q.Len())
	}
	if answer.Decision == Queued {
		p.checkInTime(answer.ID)
	}
}

// keep puts an entry back into the queue that was refused.
func (p *play) keep(id ID, e *playEntry) {
	p.q.entries = append(p.q.entries, &waiting{Entry: e.Entry, id: id, offeredAt: e.at, dueBy: e.at.Add(e.startLimit()), startBy: e.at.Add(e.limit)})
	p.waiting[id] = e
}

func (p *play) limitGrants() {
	if p.disabled == noGrantsCounted {
		p.q.granted = nil
	}
}

// granted sends a request, which reaches the runner a few milliseconds later.
func (p *play) granted(e *playEntry) {
	from := p.now.Add(time.Duration(1+p.rng.IntN(6)) * time.Millisecond)
	factor := 0.7 + 0.6*p.rng.Float64()
	p.runs = append(p.runs, &playRun{reporter: e.Reporter, from: from, end: from.Add(time.Duration(factor * float64(p.runTime)))})
	if e.Priority == 0 {
		p.turn[e.Account] += e.Tokens
	}
	for i := range p.starving {
		p.starving[i].grants++
	}
	p.starving[e.Priority] = starving{}
}

func (p *play) leave(id ID) {
	delete(p.waiting, id)
}

// checkGranted checks an entry that was granted after it waited.
func (p *play) checkGranted(r *Removal) {
	e, ok := p.waiting[r.ID]
	if !ok {
		p.fail("entry %d is granted twice, or after it was refused", r.ID)
		return
	}
	p.leave(r.ID)
	waited := p.now.Sub(e.at)
	if waited > e.limit {
		p.fail("granted after %s, later than its limit", waited)
	}
	level := e.Priority
	for left := e.startLimit() / 2; level > 0 && e.startLimit()-waited < left+playStep; left /= 2 {
		level--
	}
	for _, other := range p.waiting {
		if other.Priority < level {
			p.fail("an entry of priority %d is granted before one of priority %d", e.Priority, other.Priority)
		}
	}
	p.granted(e)
}

// checkExtension checks that an admitted entry waits longer than its time limit only as far as it may, and only
// while entries that may do so take at most half of the time.
func (p *play) checkExtension(e *playEntry) {
	if e.Prompt.Extension == 0 {
		return
	}
	if p.extended.Before(p.now) {
		p.extended = p.now
	}
	p.extended = p.extended.Add(2 * e.Prompt.PrefillTime)
	most, ahead := e.startLimit()+e.Prompt.Extension, p.extended.Sub(p.now)
	if e.limit > most || e.limit > e.startLimit() && ahead > e.Prompt.Timeout+e.Prompt.Extension {
		p.fail("an entry waits for up to %s, and may for %s; those like it take %s at half of the time", e.limit, most, ahead)
	}
}

// checkNext checks that the first entry may not be granted before the next call.
func (p *play) checkNext(again time.Duration) {
	p.q.sort(p.now)
	if wait := p.q.delay(p.q.PrefillSchedule, p.q.entries[0].paced(), 0, p.now); wait <= 0 || again <= 0 || again > wait {
		p.fail("the first entry may be granted in %s, and the next call is in %s", wait, again)
	}
}

// checkInTime checks that the entries from an offered one on start in time.
func (p *play) checkInTime(offered ID) {
	p.q.sort(p.now)
	schedule, after, at := p.q.PrefillSchedule, false, p.now
	first := make(map[int]bool)
	for ahead, w := range p.q.entries {
		rescued := w.level() > 0 && !first[w.level()] // it is granted when it has become more urgent
		first[w.level()] = true
		after = after || w.id == offered
		prompt := w.paced()
		prompt.SlotWait = p.q.Slots.wait(p.q.Slots.occupied(len(p.q.granted)) + float64(ahead))
		wait := max(schedule.Delay(prompt, p.now), schedule.Backlog(p.now)-sendAhead)
		from := p.now.Add(wait)
		if aged := w.agedAt(w.level()); rescued && ahead > 0 && aged.Before(from) {
			from = aged
		}
		if at.Before(from) {
			at = from
		}
		if !rescued && after && at.After(w.startBy) {
			p.fail("entry %d waits although it starts %s too late", w.id, at.Sub(w.startBy))
		}
		schedule.Add(prompt, at)
	}
}

// checkRunner checks that the runner is not sent many more requests than it has slots, and that
// the accounts with waiting entries of the highest priority get about the same.
func (p *play) checkRunner() {
	if over := len(p.runs) - p.total; p.total > 0 {
		p.excess = max(p.excess, over)
		if limit := waitingAtRunner + 2 + p.total/2; over > limit {
			p.fail("%d requests at a runner with %d slots", len(p.runs), p.total)
		}
	}
	now := make(map[string]bool)
	for _, e := range p.waiting {
		if e.Priority == 0 {
			now[e.Account] = true
		}
	}
	for account := range p.together {
		if !now[account] {
			p.together = nil // a new period begins
			break
		}
	}
	if len(p.together) < 2 || len(now) > len(p.together) {
		p.together, p.turn = now, make(map[string]int)
		return
	}
	low, high := 1<<30, 0
	for account := range p.together {
		low, high = min(low, p.turn[account]), max(high, p.turn[account])
	}
	if high-low > 2*p.longest {
		p.fail("of accounts that wait, one was granted %d tokens and another one %d; the longest prompt has %d", high, low, p.longest)
	}
}

// checkStarving checks that no priority waits for long while others are served.
func (p *play) checkStarving() {
	if p.stretch > 1 {
		return // no entry becomes more urgent within the play
	}
	for i, s := range p.starving {
		if s.grants > 150 && s.offers > 10 && p.now.Sub(s.since) > 2500*time.Millisecond {
			p.fail("of priority %d none of %d was granted, and %d others were", i, s.offers, s.grants)
		}
	}
}

func (p *play) fail(format string, args ...any) {
	if p.fault == "" {
		p.fault = fmt.Sprintf("%s: ", p.now.Sub(start)) + fmt.Sprintf(format, args...)
	}
}

// Guards against prompts that are granted out of order, twice or too late, that wait in vain,
// or that overload a runner, for any order of requests.
func TestQueueKeepsItsRules(t *testing.T) {
	for seed := *playFirst; seed < *playFirst+*playSeeds; seed++ {
		if fault := runPlay(seed, allSafeguards); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// The test above must fail without any one of the safeguards, or it does not test them.
func TestEachSafeguardOfTheQueueIsNeeded(t *testing.T) {
	for _, disabled := range []safeguard{noAccounts, noAging, noBound, noDisplacement, noExtendedShare, noGrantsCounted, noPriorities, noRefusal} {
		t.Run(string(disabled), func(t *testing.T) {
			for seed := range max(60, *playSeeds) {
				if fault := runPlay(seed, disabled); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Error("no fault in any seed")
		})
	}
}
