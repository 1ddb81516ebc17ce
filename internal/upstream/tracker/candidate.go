package tracker

import (
	"math"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Demand is what the choice of a runner depends on.
type Demand struct {
	Asked   string          // runner where the copy was asked for; empty for none
	Copy    placer.Copy     // zero for a plain service
	Crowd   time.Duration   // of prompts to be read at once that holds up the runs of a runner; 0 for no bound
	Full    map[string]bool // runners without room for it
	Load    time.Duration   // that an adapter takes from the weight store
	Return  time.Duration   // that one takes which the runner held before
	Service string
	Tokens  int             // of the prompt
	Tried   map[string]bool // runners that are out of the question
}

// takes reports whether a runner may take the request at all.
func (s *state) takes(id string, d Demand, now time.Time) bool {
	return s.Service == d.Service && !s.Leaving && !d.Tried[id] && !now.Before(s.suspended)
}

// Takes reports whether any runner may take a request, whatever it holds.
func (f *Fleet) Takes(d Demand, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.runners {
		if s.takes(id, d, now) {
			return true
		}
	}
	return false
}

// Candidates returns the runners that may take a request, for the router.
func (f *Fleet) Candidates(d Demand, now time.Time) []router.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	read := f.pace(d.Service).reading(d.Tokens)
	var candidates []router.Candidate
	for id, s := range f.runners {
		if !s.takes(id, d, now) {
			continue
		}
		c := router.Candidate{
			Runner: id, Away: s.Domain != f.Domain, Batch: s.Slots, Running: s.own.Running + s.others.Running,
			Backlog: f.backlog(s, d), Failing: s.failingAt(now), Resident: true,
		}
		if d.Full[id] {
			c.Backlog += fullCost
		}
		c.Crowded = d.Crowd > 0 && c.Backlog+read > d.Crowd
		if d.Copy != (placer.Copy{}) {
			s.stand(&c, d, f.lines[s.Domain], f.timesOf(s.Domain, d), now)
		}
		c.Loading = c.Loading || !c.Resident && id == d.Asked
		if !c.Resident && !c.Loading && f.idle[s.Domain] {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// stand fills in how a copy stands at the runner, and how long until it can be
// used there.
func (s *state) stand(c *router.Candidate, d Demand, line time.Duration, times Times, now time.Time) {
	if at, held := s.held[d.Copy]; held {
		c.Resident = !now.Before(at)
		c.Loading = !c.Resident
		c.Ready = max(0, at.Sub(now))
		return
	}
	c.Resident = false
	c.Kept = s.kept.Has(d.Copy)
	c.Ready = max(s.room, line) + times.Load
	if c.Kept {
		c.Ready = s.room + times.Return // from the runner's own memory: the weight store's line is not for it
	}
	switch {
	case s.otherVersion(d.Copy):
		c.Ready += replaceTime
	case s.ID == d.Asked:
		c.Ready = min(c.Ready, s.room+times.Load) // it stands in the weight store's line already
	}
}

// replaceTime is what another version of the adapter adds to the time until one
// can be used: it has to be left alone for a while before it makes way.
const replaceTime = time.Second

func (s *state) otherVersion(c placer.Copy) bool {
	for held := range s.held {
		if held.Model == c.Model && held.Adapter == c.Adapter && held.Version != c.Version {
			return true
		}
	}
	return false
}

// fullCost is what is added to the backlog of a runner that has refused a
// request: more than any other runner costs that has room, so that it is asked
// again only if none has.
const fullCost = 10 * time.Second

// backlog estimates how long the runner needs for what is before a request: the
// prompts that it has to read first, and the runs that must end if all places
// are taken.
func (f *Fleet) backlog(s *state, d Demand) time.Duration {
	p := f.pace(d.Service)
	load := s.own.Plus(s.others)
	wait := max(float64(load.Unread)*p.read, time.Until(s.until).Seconds()) + s.full(p)
	if d.Copy == (placer.Copy{}) && s.Slots > 0 {
		// Requests to a plain service share its processor before they queue.
		wait += float64(load.Running) / float64(s.Slots) * p.run
	}
	return time.Duration(wait * float64(time.Second))
}

// full returns how many seconds pass until a place is free.
func (s *state) full(p *pace) float64 {
	running := s.own.Running + s.others.Running
	if s.Slots == 0 || running < s.Slots {
		return 0
	}
	return float64(running-s.Slots+1) / float64(s.Slots) * p.run
}

// Run returns how long a request of a service runs.
func (f *Fleet) Run(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).run * float64(time.Second))
}

// Places returns how long it takes until a runner has a place free.
func (f *Fleet) Places(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return 0
	}
	return time.Duration(s.full(f.pace(s.Service)) * float64(time.Second))
}

// Paces returns the paces of a service as learned: the seconds to a first token
// of a short prompt on a free runner, and for each token of a prompt.
func (f *Fleet) Paces(service string) (base, read float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pace(service)
	return p.base, p.read
}

// Reading takes in how long a runner still reads, as its holder said.
func (f *Fleet) Reading(id string, backlog time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		s.until = time.Now().Add(backlog)
	}
}

// Base returns the time to a first token of a short prompt on a free runner.
func (f *Fleet) Base(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).base * float64(time.Second))
}

// Read returns the time that a prompt takes to be read with nothing before it.
func (f *Fleet) Read(service string, tokens int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pace(service).reading(tokens)
}

func (s *state) failingAt(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-now.Sub(s.failed).Seconds()/failHalf.Seconds())
}

func (f *Fleet) pace(service string) *pace {
	f.init()
	p, ok := f.paces[service]
	if !ok {
		p = newPace()
		f.paces[service] = p
	}
	return p
}
