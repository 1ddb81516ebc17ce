package tracker

import (
	"math"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Demand describes a request for the choice of a runner.
type Demand struct {
	LoadingRunner string          // runner that has been asked to load the copy; empty for none
	Copy          placer.Copy     // zero for a plain service
	MaxGap        time.Duration   // maximum gap between events of the requests running there; 0 for no limit
	MaxPrefill    time.Duration   // limit of backlog plus prefill time, above which a runner is congested: prefill stalls its running requests; 0 for no limit
	Refused       map[string]bool // runners that have refused it for lack of capacity
	LoadTime      time.Duration   // time to load an adapter from the weight store
	ReloadTime    time.Duration   // time to load an adapter that the runner held before
	Continues     bool            // its caller has a part of the stream, and its adapter is loaded before others
	Ordered       bool            // the leaders and the runners serve more urgent requests first
	Priority      int             // 0 is the most urgent
	Service       string
	Tokens        int             // length of the prompt
	Excluded      map[string]bool // runners that are excluded
	Pin           VersionPin      // software version of the runner
}

// eligible reports whether the runner is eligible for the request at all.
func (s *runnerState) eligible(id string, d Demand, now time.Time) bool {
	return s.available(id, d, now) && !now.Before(s.stated.restUntil) && !now.Before(s.stated.deniedUntil)
}

// available reports whether the runner is eligible for the request, apart from the times at
// which it wants none from this instance.
func (s *runnerState) available(id string, d Demand, now time.Time) bool {
	return s.Service == d.Service && d.Pin.Allows(s.Runner) && !s.Leaving && !s.stated.leaving && !d.Excluded[id] && !now.Before(s.suspendedUntil)
}

// AnyEligible reports whether any runner is eligible for a request, whatever adapters it
// holds.
func (f *Fleet) AnyEligible(d Demand, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.runners {
		if s.eligible(id, d, now) {
			return true
		}
	}
	return false
}

// Candidates returns the eligible runners for a request, as input to the router.
func (f *Fleet) Candidates(d Demand, now time.Time) []router.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.latency(d.Service)
	prefill := m.prefillTime(d.Tokens)
	var all servicePace
	if f.paced {
		all = f.servicePace(d.Service, now)
	}
	paced := all.runners > 0
	candidates := make([]router.Candidate, 0, len(f.runners))
	var limited []router.Candidate
	for id, s := range f.runners {
		if !s.eligible(id, d, now) {
			continue
		}
		pace := unknownPace
		if paced {
			pace = s.paceFactors(all, now)
		}
		c := router.Candidate{
			Runner: id, OtherDomain: s.Domain != f.Domain, Batch: s.Slots, Running: s.ownLoad.Running + s.otherLoad.Running,
			Backlog: f.backlog(s, d, pace), Failing: s.currentFailureRate(now), Resident: true,
		}
		if d.Refused[id] {
			c.Backlog += refusalPenalty
		}
		c.Congested = d.MaxPrefill > 0 && c.Backlog+stretched(pace, prefill) > d.maxPrefillAt(pace)
		if paced {
			c.Own = stretched(pace, m.firstToken(d.Tokens))
			c.UsualFactor = pace.usual
		}
		if d.Copy != (placer.Copy{}) {
			queueWait := f.loadQueueWait[s.Domain].Last
			if d.Continues {
				queueWait = f.loadQueueWait[s.Domain].Continued
			}
			s.setReadiness(&c, d, queueWait, f.loadTimesIn(s.Domain, d), now)
		}
		c.Loading = c.Loading || !c.Resident && id == d.LoadingRunner
		if !c.Resident && !c.Loading && f.leaderless[s.Domain] {
			continue
		}
		if !c.Resident && s.stated.limit.Limited {
			limited = append(limited, c)
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		return limited // most requests for the copy would get no token after its load
	}
	return candidates
}

// maxPrefillAt returns MaxPrefill at a runner. The rest of a maximum gap is for the tokens of an
// event, which take longer or shorter there.
func (d Demand) maxPrefillAt(pace paceFactors) time.Duration {
	if pace == unknownPace || d.MaxGap == 0 {
		return d.MaxPrefill
	}
	return d.MaxGap - time.Duration(pace.now*float64(d.MaxGap-d.MaxPrefill))
}

// setReadiness sets whether the copy is resident or being loaded at the runner, and how
// long it takes until it can be used there.
func (s *runnerState) setReadiness(c *router.Candidate, d Demand, queueWait time.Duration, times LoadTimes, now time.Time) {
	if at, held := s.held[d.Copy]; held {
		c.Resident = !now.Before(at)
		c.Loading = !c.Resident
		c.ReadyIn = max(0, at.Sub(now))
		return
	}
	c.Resident = false
	c.HeldBefore = s.evicted.Has(d.Copy)
	c.ReadyIn = max(s.adapterSlotWait, queueWait) + times.Load
	if c.HeldBefore {
		c.ReadyIn = s.adapterSlotWait + times.Reload // from the runner's host memory, without queueing for the weight store
	}
	switch {
	case s.otherVersion(d.Copy):
		c.ReadyIn += versionReplaceTime
	case s.ID == d.LoadingRunner:
		c.ReadyIn = min(c.ReadyIn, s.adapterSlotWait+times.Load) // it is in the load queue already
	}
}

// versionReplaceTime is added to the time until a copy can be used if the runner holds
// another version of the adapter, which must become idle before it can be evicted.
const versionReplaceTime = time.Second

func (s *runnerState) otherVersion(c placer.Copy) bool {
	for held := range s.held {
		if held.Model == c.Model && held.Adapter == c.Adapter && held.Version != c.Version {
			return true
		}
	}
	return false
}

// refusalPenalty is added to the backlog of a runner that has refused the request for
// lack of capacity. It exceeds the backlog of any runner that has capacity, so that
// the runner is tried again only if there is no such runner.
const refusalPenalty = 10 * time.Second

// backlog estimates how long a request waits at the runner: for the prefill of the
// prompts before it, and for a request slot if all are taken. The leader's report of the
// prefill includes the pace already.
func (f *Fleet) backlog(s *runnerState, d Demand, pace paceFactors) time.Duration {
	m := f.latency(d.Service)
	load := s.ownLoad.Plus(s.otherLoad)
	wait := max(pace.stretch(float64(load.PrefillTokens)*m.prefill), s.prefillWait(d.Priority).Seconds()) + pace.stretch(s.slotWaitOf(d, m))
	if d.Copy == (placer.Copy{}) && s.Slots > 0 {
		// Concurrent requests to a plain service (one without adapters) share
		// the processor of the runner and slow each other down before any queues.
		wait += pace.stretch(float64(load.Running) / float64(s.Slots) * m.run)
	}
	return time.Duration(wait * float64(time.Second))
}

// requestSlotWait returns the estimated seconds until a request slot is free, at the mean pace
// of the service.
func (s *runnerState) requestSlotWait(m *latencyModel) float64 {
	running := s.ownLoad.Running + s.otherLoad.Running
	if s.Slots == 0 || running < s.Slots {
		return 0
	}
	return float64(running-s.Slots+1) / float64(s.Slots) * m.run
}

// RunTime returns the estimated run time of a request to a service, at a runner with the mean
// pace.
func (f *Fleet) RunTime(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.latency(service).run * float64(time.Second))
}

// RequestSlotWait returns the estimated time until a runner has a free request slot.
func (f *Fleet) RequestSlotWait(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return 0
	}
	wait := f.paceFactors(s, time.Now()).stretch(s.requestSlotWait(f.latency(s.Service)))
	return time.Duration(wait * float64(time.Second))
}

// Latency returns the latency model of a service as estimated so far: the seconds to
// the first token of a short prompt on an idle runner, and the seconds of prefill
// per prompt token.
func (f *Fleet) Latency(service string) (base, prefill float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.latency(service)
	return m.base, m.prefill
}

// BaseLatency returns the estimated time to the first token of a short prompt on an idle
// runner.
func (f *Fleet) BaseLatency(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.latency(service).base * float64(time.Second))
}

func (s *runnerState) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

func (f *Fleet) latency(service string) *latencyModel {
	f.init()
	m, ok := f.latencies[service]
	if !ok {
		m = newLatencyModel()
		f.latencies[service] = m
	}
	return m
}
