package tracker

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
)

// A Pace is what is known of the pace of a runner.
type Pace struct {
	gauger.Estimate

	Latest gauger.Statement
}

// A servicePace is the mean over the runners of a service that state a pace.
type servicePace struct {
	gauger.Estimate

	at      time.Time // when it was computed
	runners int
}

// servicePaceMaxAge is how long the mean over the runners of a service is used. It changes
// slowly, and each choice of a runner needs it.
const servicePaceMaxAge = 100 * time.Millisecond

// paceFactors are the expected times of work at a runner, relative to the mean over the runners
// of its service.
type paceFactors struct {
	now   float64 // during the next gauger.Fresh
	later float64 // after that
	usual float64 // without passing slowness; 0 if the runner states no pace
}

// unknownPace is the factors of a runner that states no pace.
var unknownPace = paceFactors{now: 1, later: 1}

// stretch returns how long work takes at the runner that takes this many seconds at the mean
// over the service's runners.
func (p paceFactors) stretch(seconds float64) float64 {
	if p == unknownPace {
		return seconds
	}
	fresh := gauger.Fresh.Seconds()
	if seconds*p.now <= fresh {
		return seconds * p.now
	}
	return fresh + (seconds-fresh/p.now)*p.later
}

// unstretch returns how long work that took this long at the runner takes at the mean over the
// service's runners.
func (p paceFactors) unstretch(took time.Duration) time.Duration {
	if p == unknownPace {
		return took
	}
	if took <= gauger.Fresh {
		return time.Duration(float64(took) / p.now)
	}
	return time.Duration(float64(gauger.Fresh)/p.now + float64(took-gauger.Fresh)/p.later)
}

// AdoptPace records the estimate of a runner's pace that the leader of its failure domain
// published.
func (f *Fleet) AdoptPace(id string, e gauger.Estimate, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gauge(id); g != nil {
		g.Adopt(e, at)
	}
}

// ObservePace records a pace that a runner stated.
func (f *Fleet) ObservePace(id string, s gauger.Statement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gauge(id); g != nil {
		g.Observe(s)
	}
}

// ObserveSlowPace records a pace slower than usual that the leader of a runner's failure domain
// published.
func (f *Fleet) ObserveSlowPace(id string, s gauger.Statement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gauge(id); g != nil {
		g.ObserveSlow(s)
	}
}

// Pace returns what is known of a runner's pace; ok is false if it states none.
func (f *Fleet) Pace(id string, now time.Time) (p Pace, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st, known := f.statements[id]
	if !known || st.pace == nil {
		return Pace{}, false
	}
	e, ok := st.pace.Estimate(now)
	return Pace{Estimate: e, Latest: st.pace.Latest()}, ok
}

// PaceFactor returns the expected time of work at a runner, relative to the mean over the
// runners of its service.
func (f *Fleet) PaceFactor(id string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return 1
	}
	return f.paceFactors(s, now).now
}

// PrefillTimeAt returns the estimated prefill time of a prompt at a runner that is otherwise
// idle.
func (f *Fleet) PrefillTimeAt(r Runner, tokens int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	prefill := f.latency(r.Service).prefillTime(tokens)
	s, ok := f.runners[r.ID]
	if !ok {
		return prefill
	}
	return stretched(f.paceFactors(s, now), prefill)
}

// RunTimeAt returns the estimated run time of a request at a runner, at its mean pace: it is for
// waits of several runs, which outlast passing slowness.
func (f *Fleet) RunTimeAt(r Runner, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := f.latency(r.Service).run
	if s, ok := f.runners[r.ID]; ok {
		run *= f.paceFactors(s, now).later
	}
	return time.Duration(run * float64(time.Second))
}

// StatesPace reports whether any runner of a service states its pace.
func (f *Fleet) StatesPace(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paced && f.servicePace(service, time.Now()).runners > 0
}

// gauge returns the gauge of a runner; nil for an unknown or removed one, whose gauge nothing
// would remove.
func (f *Fleet) gauge(id string) *gauger.Gauge {
	if _, known := f.runners[id]; !known {
		return nil
	}
	st := f.statementsOf(id)
	if st.pace == nil {
		st.pace = &gauger.Gauge{}
		f.paced = true
		clear(f.servicePaces)
	}
	return st.pace
}

// paceFactors returns the factors of a runner.
func (f *Fleet) paceFactors(s *runnerState, now time.Time) paceFactors {
	if s.stated.pace == nil {
		return unknownPace
	}
	return s.paceFactors(f.servicePace(s.Service, now), now)
}

// paceFactors returns the factors of the runner relative to the mean over its service.
func (s *runnerState) paceFactors(all servicePace, now time.Time) paceFactors {
	if s.stated.pace == nil {
		return unknownPace
	}
	e, ok := s.stated.pace.Estimate(now)
	if !ok || all.runners == 0 {
		return unknownPace
	}
	expected, _ := s.stated.pace.Expected(now)
	return paceFactors{now: expected / all.Mean, later: e.Mean / all.Mean, usual: e.Usual / all.Usual}
}

// servicePace returns the mean over the runners of a service.
func (f *Fleet) servicePace(service string, now time.Time) servicePace {
	if known, ok := f.servicePaces[service]; ok && !now.Before(known.at) && now.Sub(known.at) < servicePaceMaxAge && known.runners > 0 {
		return known
	}
	all := servicePace{at: now}
	for _, s := range f.runners {
		if s.Service != service || s.stated.pace == nil {
			continue
		}
		if e, ok := s.stated.pace.Estimate(now); ok {
			all.Mean += e.Mean
			all.Usual += e.Usual
			all.runners++
		}
	}
	if all.runners > 0 {
		all.Mean /= float64(all.runners)
		all.Usual /= float64(all.runners)
	}
	if f.servicePaces == nil {
		f.servicePaces = make(map[string]servicePace)
	}
	f.servicePaces[service] = all
	return all
}

// stretched returns how long work takes at a runner with these factors.
func stretched(p paceFactors, work time.Duration) time.Duration {
	if p == unknownPace {
		return work
	}
	return time.Duration(p.stretch(work.Seconds()) * float64(time.Second))
}
