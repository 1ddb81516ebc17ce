package tracker

import (
	"math"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Demand describes a request for the choice of a runner.
type Demand struct {
	Asked   string          // runner that has been asked to load the copy; empty for none
	Copy    placer.Copy     // zero for a plain service
	Crowd   time.Duration   // prefill time at once above which a runner is crowded, as it stalls the running requests; 0 for no bound
	Full    map[string]bool // runners that have refused it for lack of a request slot
	Load    time.Duration   // time to load an adapter from the weight store
	Return  time.Duration   // time to load an adapter that the runner held before
	Service string
	Tokens  int             // length of the prompt
	Tried   map[string]bool // runners that are excluded
}

// takes reports whether the runner is eligible for the request at all.
func (s *state) takes(id string, d Demand, now time.Time) bool {
	return s.Service == d.Service && !s.Leaving && !d.Tried[id] && !now.Before(s.suspended)
}

// Takes reports whether any runner is eligible for a request, whatever adapters it
// holds.
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

// Candidates returns the eligible runners for a request, as input to the router.
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

// stand sets whether the copy is resident or being loaded at the runner, and how
// long it takes until it can be used there.
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
		c.Ready = s.room + times.Return // from the runner's host memory, without queueing for the weight store
	}
	switch {
	case s.otherVersion(d.Copy):
		c.Ready += replaceTime
	case s.ID == d.Asked:
		c.Ready = min(c.Ready, s.room+times.Load) // it is in the load queue already
	}
}

// replaceTime is added to the time until a copy can be used if the runner holds
// another version of the adapter, which must become idle before it can be evicted.
const replaceTime = time.Second

func (s *state) otherVersion(c placer.Copy) bool {
	for held := range s.held {
		if held.Model == c.Model && held.Adapter == c.Adapter && held.Version != c.Version {
			return true
		}
	}
	return false
}

// fullCost is added to the backlog of a runner that has refused the request for
// lack of a request slot. It exceeds the backlog of any runner with a free slot, so
// that the runner is tried again only if there is no such runner.
const fullCost = 10 * time.Second

// backlog estimates how long a request waits at the runner: for the prefill of the
// prompts before it, and for a request slot if all are taken.
func (f *Fleet) backlog(s *state, d Demand) time.Duration {
	p := f.pace(d.Service)
	load := s.own.Plus(s.others)
	wait := max(float64(load.Unread)*p.read, time.Until(s.until).Seconds()) + s.full(p)
	if d.Copy == (placer.Copy{}) && s.Slots > 0 {
		// Concurrent requests to a plain service (one without adapters) share
		// the processor of the runner and slow each other down before any queues.
		wait += float64(load.Running) / float64(s.Slots) * p.run
	}
	return time.Duration(wait * float64(time.Second))
}

// full returns the estimated seconds until a request slot is free.
func (s *state) full(p *pace) float64 {
	running := s.own.Running + s.others.Running
	if s.Slots == 0 || running < s.Slots {
		return 0
	}
	return float64(running-s.Slots+1) / float64(s.Slots) * p.run
}

// Run returns the estimated run time of a request to a service.
func (f *Fleet) Run(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).run * float64(time.Second))
}

// Places returns the estimated time until a runner has a free request slot.
func (f *Fleet) Places(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return 0
	}
	return time.Duration(s.full(f.pace(s.Service)) * float64(time.Second))
}

// Paces returns the latency model of a service as estimated so far: the seconds to
// the first token of a short prompt on an idle runner, and the seconds of prefill
// per prompt token.
func (f *Fleet) Paces(service string) (base, read float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pace(service)
	return p.base, p.read
}

// Reading records the remaining prefill time of a runner, as reported by its
// leader.
func (f *Fleet) Reading(id string, backlog time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.runners[id]; ok {
		s.until = time.Now().Add(backlog)
	}
}

// Base returns the estimated time to the first token of a short prompt on an idle
// runner.
func (f *Fleet) Base(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.pace(service).base * float64(time.Second))
}

// Read returns the estimated prefill time of a prompt on an idle runner.
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
