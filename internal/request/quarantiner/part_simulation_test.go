package quarantiner_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

var partSeeds = flag.Uint64("parts.seeds", 4, "number of seeds of the simulation of prompt parts that crash runners")

// A partShape describes the traffic of one play.
type partShape struct {
	name      string
	instances int
	runners   int
	rate      float64 // sound requests a second
	badRate   float64 // requests a second with each bad part
	shared    float64 // fraction of the sound requests that have the second part of the bad ones
	chain     int     // parts of a prompt
	at        int     // position of the bad part
	badParts  int
	unrelated float64       // crashes a second for other reasons
	history   time.Duration // of sound traffic before the first bad request
	later     time.Duration // after which sound traffic begins in place of before
	own       int           // parts of each prompt that no other one has
}

var partShapes = []partShape{
	{"recorded day", 9, 9, 95, 15, 0.5, 3, 1, 1, 0, 10 * time.Second, 0, 0},
	{"first of two", 4, 8, 40, 20, 0, 2, 0, 1, 0, 10 * time.Second, 0, 0},
	{"second of five, few runners", 4, 6, 40, 20, 0.05, 5, 1, 1, 0, 10 * time.Second, 0, 0},
	{"fourth of five", 9, 16, 100, 10, 1, 5, 3, 1, 0, 10 * time.Second, 0, 0},
	{"two bad parts", 9, 16, 100, 10, 0.3, 3, 1, 2, 0, 10 * time.Second, 0, 0},
	{"rare bad requests", 9, 16, 100, 0.5, 0.5, 3, 1, 1, 0, 10 * time.Second, 0, 0},
	{"unrelated crashes beside", 9, 16, 100, 10, 0.5, 3, 1, 1, 1, 10 * time.Second, 0, 0},
	{"unrelated crashes only", 9, 16, 100, 0, 0.5, 3, 1, 0, 2, 10 * time.Second, 0, 0},
	{"many instances", 60, 100, 500, 20, 0.01, 3, 1, 1, 0.5, 10 * time.Second, 0, 0},
	{"after a restart of all instances", 9, 16, 100, 15, 0.5, 3, 1, 1, 0, 0, 0, 0},
	{"after a restart of all instances, few runners", 4, 6, 40, 20, 1, 3, 1, 1, 0, 0, 0, 0},
	{"bad requests first", 9, 16, 100, 20, 0.5, 3, 1, 1, 0, 0, 3 * time.Second, 0},
	{"bad requests first, the first part is bad", 9, 16, 100, 20, 0.5, 3, 0, 1, 0, 0, 3 * time.Second, 0},
	{"late part of a long prompt", 4, 8, 40, 2, 1, 40, 36, 1, 0, 10 * time.Second, 0, 0},
	{"late part of a long prompt, bad requests first", 9, 16, 100, 20, 1, 40, 36, 1, 0, 0, 3 * time.Second, 0},
	{"late part of a long prompt, bad requests first, few instances", 4, 8, 40, 10, 0.5, 12, 8, 1, 0, 0, 3 * time.Second, 0},
	{"two late parts of long prompts, bad requests first", 9, 16, 100, 10, 1, 20, 15, 2, 0, 0, 3 * time.Second, 0},
	{"late part of the longest prompt", 4, 8, 10, 5, 1, 1400, 1300, 1, 0, 4 * time.Second, 0, 0},
	{"longest prompts of parts that none shares", 3, 6, 6, 4, 1, 3, 1, 1, 0, 4 * time.Second, 0, 1396},
}

const (
	simDetection     = 170 * time.Millisecond // from a crash to its report
	simPropagation   = 150 * time.Millisecond // to the other instances
	simDowntime      = 2 * time.Second
	simTrialInterval = 5 * time.Second
	simClearing      = 150 * time.Millisecond // interval of clearSound
	simBound         = 3 * time.Second        // after the fifth crash
	simSpan          = 12 * time.Second       // of bad requests
)

// A simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A partPlay is one play of a shape.
type partPlay struct {
	partShape

	rng       *rand.Rand
	start     time.Time
	now       time.Duration
	events    simEvents
	nodes     []*simNode
	runners   []*simRunner
	serial    int
	nextTrial time.Duration
	crashes   []time.Duration // under bad requests
	late      int             // bad requests that reached runners later than simBound after the fifth crash
	sound     int             // sound requests sent later than twice that
	soundHeld int             // of these, refused
	everHeld  int             // sound requests refused at any time
	sent      int             // sound requests sent at any time
}

// A simNode is an instance.
type simNode struct {
	ledger    quarantiner.Ledger
	soundness quarantiner.Soundness
}

// A simRunner is a runner. Its incarnation changes with each start.
type simRunner struct {
	number      int
	incarnation int
	down        bool
	runs        map[*simRun]bool
}

// A simRun is one request at a runner.
type simRun struct {
	node     *simNode
	digest   quarantiner.Digest
	parts    []quarantiner.Digest
	bad      bool
	sentAt   time.Duration
	writesAt time.Duration // 0 before
	ended    bool
}

func (p *partPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, simEvent{p.now + d, do})
}

func (p *partPlay) clock() time.Time { return p.start.Add(p.now) }

// every calls do at random times with a mean rate.
func (p *partPlay) every(rate float64, do func()) {
	if rate <= 0 {
		return
	}
	p.after(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		do()
		p.every(rate, do)
	})
}

func playParts(shape partShape, seed uint64) *partPlay {
	p := &partPlay{partShape: shape, rng: rand.New(rand.NewPCG(seed, 3)), start: time.Now()}
	for range shape.instances {
		n := &simNode{}
		p.nodes = append(p.nodes, n)
		var clearSound func()
		clearSound = func() {
			for _, c := range n.ledger.Cases() {
				if c.Digest.IsPart() && n.soundness.Sound(c.Digest, c.Last) {
					p.tell(n, n.ledger.Clear(c.Digest, p.clock()))
				}
			}
			p.after(simClearing, clearSound)
		}
		p.after(time.Duration(p.rng.Int64N(int64(simClearing))), clearSound)
	}
	for n := range shape.runners {
		p.runners = append(p.runners, &simRunner{number: n, runs: make(map[*simRun]bool)})
	}
	p.after(shape.later, func() { p.every(shape.rate, func() { p.send(-1) }) })
	p.after(shape.history, func() {
		p.every(shape.unrelated, func() { p.crash(p.runners[p.rng.IntN(len(p.runners))]) })
		for n := range shape.badParts {
			p.every(shape.badRate, func() { p.send(n) })
		}
	})
	for end := shape.history + simSpan + 10*time.Second/time.Duration(1+int(min(9, shape.badRate))); len(p.events) > 0 && p.events[0].at < end; {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do()
	}
	return p
}

// prompt returns the parts of a prompt that requests share.
func (p *partPlay) prompt(bad int) []quarantiner.Digest {
	var parts []quarantiner.Digest
	for n := range p.chain - 1 {
		name := fmt.Sprint("common", n)
		switch {
		case bad >= 0 && n == p.at:
			name = fmt.Sprint("bad", bad)
		case bad < 0 && n == p.at, bad < 0 && n == 1 && p.rng.Float64() >= p.shared:
			name = fmt.Sprint("other", n, p.rng.IntN(5))
		}
		parts = append(parts, quarantiner.DigestOfPart("llm", name))
	}
	for n := range p.own {
		parts = append(parts, quarantiner.Digest(fmt.Sprint("part-own", p.serial, "/", n)))
	}
	return parts
}

// send sends a request with a bad part, or a sound one.
func (p *partPlay) send(bad int) {
	p.serial++
	run := &simRun{node: p.nodes[p.rng.IntN(len(p.nodes))], digest: quarantiner.Digest(fmt.Sprint(p.serial)), parts: p.prompt(bad), bad: bad >= 0, sentAt: p.now}
	held := false
	for _, d := range append(run.parts, run.digest) {
		if _, quarantined := run.node.ledger.Quarantined(d, p.clock()); quarantined && !p.tries(run, d) {
			held = true
		}
	}
	late := func(bound time.Duration) bool { return len(p.crashes) >= 5 && p.now > p.crashes[4]+bound }
	if !run.bad {
		p.sent++
		if late(2 * simBound) {
			p.sound++
		}
		if held {
			p.everHeld++
			if late(2 * simBound) {
				p.soundHeld++
			}
		}
	}
	if held {
		return
	}
	var up []*simRunner
	for _, r := range p.runners {
		if !r.down {
			up = append(up, r)
		}
	}
	if len(up) == 0 {
		return
	}
	if run.bad && late(simBound) {
		p.late++
	}
	r := up[p.rng.IntN(len(up))]
	r.runs[run] = true
	p.after(50*time.Millisecond+time.Duration(p.rng.Int64N(int64(100*time.Millisecond))), func() { p.write(r, run) })
}

// tries reports whether a request may run as a trial of a quarantined part.
func (p *partPlay) tries(run *simRun, d quarantiner.Digest) bool {
	if run.node != p.nodes[0] || p.now < p.nextTrial || !run.node.ledger.Discriminates(d, run.parts) {
		return false
	}
	p.nextTrial = p.now + simTrialInterval
	return true
}

// write makes a run begin to write its response.
func (p *partPlay) write(r *simRunner, run *simRun) {
	if run.ended {
		return
	}
	run.writesAt = p.now
	if run.bad {
		p.after(40*time.Millisecond, func() {
			if !run.ended {
				p.crashes = append(p.crashes, p.now)
				p.crash(r)
			}
		})
		return
	}
	length := 100*time.Millisecond + time.Duration(p.rng.ExpFloat64()*float64(time.Second))
	sound := func() {
		run.node.soundness.Observe(run.parts, p.clock())
		for _, d := range run.parts {
			p.tell(run.node, run.node.ledger.Clear(d, p.clock()))
		}
	}
	if length > quarantiner.SoundAfter {
		p.after(quarantiner.SoundAfter, func() {
			if !run.ended {
				sound()
			}
		})
	}
	p.after(length, func() {
		if !run.ended && length <= quarantiner.SoundAfter {
			sound()
		}
		run.ended = true
		delete(r.runs, run)
	})
}

// crash crashes a runner. The instances report the runs that broke off.
func (p *partPlay) crash(r *simRunner) {
	if r.down {
		return
	}
	at, id := p.now, fmt.Sprintf("i-%d.%d", r.number, r.incarnation)
	r.down = true
	r.incarnation++
	for run := range r.runs {
		run.ended = true
		p.after(simDetection, func() {
			report := func(d quarantiner.Digest) quarantiner.CrashReport {
				return quarantiner.CrashReport{Digest: d, Runner: id, Age: p.now - at, RunTime: at - run.sentAt}
			}
			reports := []quarantiner.CrashReport{report(run.digest)}
			for _, d := range run.parts {
				writing := run.writesAt > 0 && at-run.writesAt >= quarantiner.SoundAfter
				if !writing && !run.node.soundness.Sound(d, p.clock()) {
					reports = append(reports, report(d))
				}
			}
			p.tell(run.node, run.node.ledger.Apply(reports, p.clock()))
		})
	}
	clear(r.runs)
	p.after(simDowntime, func() { r.down = false })
}

// tell tells all other instances of reports.
func (p *partPlay) tell(from *simNode, reports []quarantiner.CrashReport) {
	if len(reports) == 0 {
		return
	}
	p.after(simPropagation, func() {
		for _, n := range p.nodes {
			if n != from {
				n.ledger.Apply(reports, p.clock())
			}
		}
	})
}

// Guards against prompt parts that go on crashing runners, and against sound ones that are refused in
// their place, whatever the prompts share and whatever else crashes.
func TestBadPartsAreNamed(t *testing.T) {
	for _, shape := range partShapes {
		t.Run(shape.name, func(t *testing.T) {
			late, mostLate, crashes, sound, soundHeld, everHeld, sent := 0, 0, 0, 0, 0, 0, 0
			for seed := range *partSeeds {
				p := playParts(shape, seed)
				late, crashes, sound, soundHeld, everHeld, sent = late+p.late, crashes+len(p.crashes), sound+p.sound, soundHeld+p.soundHeld, everHeld+p.everHeld, sent+p.sent
				mostLate = max(mostLate, p.late)
				if p.late > 3*max(1, shape.badParts) {
					t.Errorf("seed %d: %d bad requests reached runners later than %s after the fifth crash", seed, p.late, simBound)
				}
				if 2*p.soundHeld > p.sound {
					t.Errorf("seed %d: %d of %d sound requests refused", seed, p.soundHeld, p.sound)
				}
			}
			t.Logf("%d plays: %.1f crashes each, %d late arrivals, %d at most; sound requests refused: %d of %d, and %d of %d from %s after the fifth crash",
				*partSeeds, float64(crashes)/float64(*partSeeds), late, mostLate, everHeld, sent, soundHeld, sound, 2*simBound)
		})
	}
}
